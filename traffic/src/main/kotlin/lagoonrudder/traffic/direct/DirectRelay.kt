/**
 * Forwards a back end's response to the caller and tracks how much of it was forwarded.
 *
 * A response that is not a stream is buffered until it is complete or exceeds a size limit, so that an incomplete one can
 * still be replaced. Of a stream only complete events are forwarded, and a later attempt must continue them: with an event stream
 * of the same status and version, whose first new event follows the last one that was forwarded. Any other response that has
 * begun is never continued by another attempt.
 */
package lagoonrudder.traffic.direct

import lagoonrudder.model.Clock
import lagoonrudder.model.EventId
import lagoonrudder.model.RequestKind
import lagoonrudder.model.WeightNumber
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

internal class DirectRelay(
    private val call: DirectCall,
    private val clock: Clock,
) {
    private val response = call.response
    private var head: ResponseHead? = null
    private var buffered = ByteArrayOutputStream(0)
    private var splitter = EventSplitter()
    private var forwarded = 0L
    private var errorResponse: Pair<ResponseHead, ByteArray>? = null

    /** The head that was forwarded to the caller; null until then. */
    private var begun: ResponseHead? = null

    /** The bytes of [lastEvent]. */
    private var lastEventBytes = ByteArray(0)

    /** Whether an event without an id follows [lastEvent], so that no id tells where the stream goes on. */
    private var positionUnknown = false

    /** Whether the current attempt has still to send the event after [lastEvent], which an earlier attempt sent. */
    private var resuming = false

    /** Whether the start of a response was forwarded to the caller. */
    val started: Boolean get() = begun != null

    /** Whether another attempt may provide the response or the rest of it. */
    val mayContinue: Boolean get() = begun?.let { it.isSuccess && it.isEventStream && isStream && !positionUnknown } ?: true

    /** Whether the current attempt has received anything from its back end. */
    var receivedAny = false
        private set

    /**
     * The time of the last progress of the current attempt: its start, a new event of a stream, or bytes of another response.
     * The head of a stream, a comment or a part of an event is no progress.
     */
    var progressAt = clock.elapsed()
        private set

    /** The time of the first progress of the current attempt after its start; null if it made none. */
    var firstProgressAt: Duration? = null
        private set

    /** The number of events that the current attempt has received, without comments. */
    var eventsInAttempt = 0
        private set

    /** Whether the current attempt received a successful answer beyond its start, so that its back end survived the request. */
    val wentOn: Boolean get() = eventsInAttempt > 1 || isComplete

    private var isComplete = false

    /** The last event that was forwarded. */
    var lastEvent: EventId? = null
        private set

    /** The version that produced the forwarded events; a resumed stream continues with the same one. */
    var number: WeightNumber? = null
        private set

    private val isStream: Boolean get() = call.context.route.kind is RequestKind.Stream

    val holdsErrorResponse: Boolean get() = errorResponse != null && !started

    fun startAttempt() {
        progressAt = clock.elapsed()
        firstProgressAt = null
        receivedAny = false
        eventsInAttempt = 0
        isComplete = false
        head = null
        buffered = ByteArrayOutputStream(0)
        splitter = EventSplitter()
        resuming = lastEvent != null
    }

    /** Processes one event of an attempt; returns the result of the attempt, or null while it continues. */
    suspend fun onEvent(event: ResponseEvent): DirectAttemptResult? {
        receivedAny = true
        return when (event) {
            is ResponseEvent.Head -> onHead(event.head)
            is ResponseEvent.Bytes -> onBytes(event.data)
            ResponseEvent.End -> onEnd()
            is ResponseEvent.Broken -> DirectAttemptResult.Lost(event.detail, disconnected = event.disconnected)
        }
    }

    /** Forwards the error response of a back end and returns its length. */
    suspend fun forwardErrorResponse(): Long {
        val (head, body) = checkNotNull(errorResponse)
        response.respond(head, body)
        return body.size.toLong()
    }

    private fun onHead(next: ResponseHead): DirectAttemptResult? {
        if (head != null) return DirectAttemptResult.Lost("status ${next.status} in a second head after the start of the response")
        head = next
        return when (next.execution) {
            Execution.NOT_RUN -> DirectAttemptResult.NotRun(reached = true, "status ${next.status}")
            Execution.UNPROVEN -> DirectAttemptResult.Lost("status ${next.status} without proof of execution")
            Execution.RUN -> begun?.let { differenceOf(next, it) }?.let { DirectAttemptResult.Lost("$it on resume") }
        }
    }

    /** Returns how [next] differs from a head that can continue the response with head [begun], or null if it does not. */
    private fun differenceOf(
        next: ResponseHead,
        begun: ResponseHead,
    ): String? =
        when {
            next.status != begun.status -> "status ${next.status}"
            !next.isEventStream -> "no event stream"
            next.number != begun.number -> "version ${next.number?.number} instead of ${begun.number?.number}"
            else -> null
        }

    private suspend fun onBytes(data: ByteArray): DirectAttemptResult? {
        val current = head ?: return DirectAttemptResult.Lost("body before the response head")
        if (isStream && current.isSuccess && current.isEventStream) return onStreamBytes(data, current)
        if (started) {
            forward(data)
            recordProgress()
            return null
        }
        recordProgress()
        buffered.write(data)
        if (buffered.size() > MAX_BUFFERED_BYTES) {
            startResponse(current)
            forward(buffered.toByteArray())
            buffered = ByteArrayOutputStream(0)
        }
        return null
    }

    private suspend fun onStreamBytes(
        data: ByteArray,
        current: ResponseHead,
    ): DirectAttemptResult? {
        for (event in splitter.feed(data)) {
            if (!event.isComment) eventsInAttempt++
            when (val place = placeOf(event)) {
                EventPlace.Repeated -> continue
                is EventPlace.Unfit -> return DirectAttemptResult.Lost(place.detail)
                EventPlace.Next -> forwardEvent(event, current)
            }
        }
        return if (splitter.overflowed) DirectAttemptResult.Lost("unterminated event exceeds the size limit") else null
    }

    /** Where an event belongs in the stream that the caller receives. */
    private sealed class EventPlace {
        data object Next : EventPlace()

        /** The event was forwarded already. */
        data object Repeated : EventPlace()

        data class Unfit(
            val detail: String,
        ) : EventPlace()
    }

    private fun placeOf(event: StreamEvent): EventPlace {
        val id = event.id
        val before = lastEvent
        return when {
            event.isComment || before == null -> EventPlace.Next
            id == null -> if (resuming) EventPlace.Unfit("event without an id on resume") else EventPlace.Next
            id < before -> EventPlace.Repeated
            id == before && event.bytes.contentEquals(lastEventBytes) -> EventPlace.Repeated
            id == before -> EventPlace.Unfit("event ${id.number} of another run")
            id.number != before.number + 1 -> EventPlace.Unfit("gap in the stream: event ${id.number} after event ${before.number}")
            else -> EventPlace.Next
        }
    }

    private suspend fun forwardEvent(
        event: StreamEvent,
        current: ResponseHead,
    ) {
        if (!started) {
            number = current.number
            startResponse(current.withoutLength())
        }
        if (!event.isComment) positionUnknown = event.id == null
        forward(event.bytes)
        val id = event.id ?: return
        lastEvent = id
        lastEventBytes = event.bytes
        resuming = false
        recordProgress()
    }

    private suspend fun onEnd(): DirectAttemptResult {
        val current = head ?: return DirectAttemptResult.Lost("end of the response before its head")
        val disconnected = current.endsWithConnection
        if (splitter.hasPartialEvent) return DirectAttemptResult.Lost("stream ended inside an event", disconnected = disconnected)
        if (disconnected && isStream && current.isSuccess && current.isEventStream && eventsInAttempt == 0) {
            return DirectAttemptResult.Lost("connection closed before the first event", disconnected = true)
        }
        // An end proves nothing about the rest of a stream without any event that follows those of another back end.
        if (resuming) return DirectAttemptResult.Lost("stream ended without an event on resume")
        if (!current.isSuccess && !started) {
            errorResponse = current to buffered.toByteArray()
            if (current.status >= FIRST_SERVER_ERROR) return DirectAttemptResult.Failed(current.status)
            return DirectAttemptResult.Completed(forwardErrorResponse())
        }
        isComplete = true
        if (started) response.end() else response.respond(current, buffered.toByteArray())
        return DirectAttemptResult.Completed(forwarded + buffered.size())
    }

    private fun recordProgress() {
        progressAt = clock.elapsed()
        if (firstProgressAt == null) firstProgressAt = progressAt
    }

    private suspend fun startResponse(head: ResponseHead) {
        begun = head
        call.timeToFirstEvent = clock.elapsed() - call.receivedAt
        response.begin(head)
    }

    private suspend fun forward(data: ByteArray) {
        forwarded += data.size
        response.write(data)
    }

    private fun ResponseHead.withoutLength() = ResponseHead(status, fields, null, execution, number, isEventStream, endsWithConnection)

    private companion object {
        const val MAX_BUFFERED_BYTES = 65_536
        const val FIRST_SERVER_ERROR = 500
    }
}
