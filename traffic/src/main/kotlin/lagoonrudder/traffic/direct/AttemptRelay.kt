/**
 * Reads the response of one attempt and passes on to the [DirectRelay] of its request what the caller may get.
 *
 * A response that is not a stream is buffered until it is complete or exceeds a size limit, so that an incomplete one can still be
 * replaced. Of a stream only complete events are passed on. Several attempts of a request may be read side by side; nothing reaches
 * the caller twice, since every event goes through the relay. The caller may be slow, so the other attempts end before it gets anything.
 */
package lagoonrudder.traffic.direct

import lagoonrudder.model.Clock
import lagoonrudder.model.WeightNumber
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

internal class AttemptRelay(
    private val relay: DirectRelay,
    private val clock: Clock,
    private val beforeForwarding: suspend () -> Unit,
) {
    private var head: ResponseHead? = null
    private var buffered = ByteArrayOutputStream(0)
    private val splitter = EventSplitter()
    private var isComplete = false

    /** Whether this attempt has still to send the event after the last forwarded one, which an earlier attempt sent. */
    private var resuming = relay.lastEvent != null

    /** Whether anything was received from the back end. */
    var receivedAny = false
        private set

    /** The number of events of a stream, without comments, or of parts of another response that were forwarded to the caller. */
    var forwardedParts = 0
        private set

    /**
     * The time of the last progress: the start, a new event of a stream, or bytes of another response. The head of a stream, a
     * comment or a part of an event is no progress.
     */
    var progressAt = clock.elapsed()
        private set

    /** The time of the first progress after the start; null if there was none. */
    var firstProgressAt: Duration? = null
        private set

    /** The time of the head of the response; null before it. */
    var headAt: Duration? = null
        private set

    /** The time of the first event, without comments, or of the first bytes of another response; null before it. */
    var firstEventAt: Duration? = null
        private set

    /** The version that the head tells. */
    val number: WeightNumber? get() = head?.number

    /** The number of events received, without comments. */
    var events = 0
        private set

    /** Whether the back end has begun to run the request, as its answer shows: the head of a stream may precede the run. */
    val hasBegun: Boolean get() = firstEventAt != null

    /** Whether a successful answer was received beyond its start, so that the back end survived the request. */
    val wentOn: Boolean get() = events > 1 || isComplete

    /** Processes one event; returns the result of the attempt, or null while it continues. */
    suspend fun onEvent(event: ResponseEvent): DirectAttemptResult? {
        receivedAny = true
        return when (event) {
            is ResponseEvent.Head -> onHead(event.head)
            is ResponseEvent.Bytes -> unfit() ?: onBytes(event.data)
            ResponseEvent.End -> unfit() ?: onEnd()
            is ResponseEvent.Broken -> DirectAttemptResult.Lost(event.detail, disconnected = event.disconnected)
        }
    }

    private fun onHead(next: ResponseHead): DirectAttemptResult? {
        if (head != null) return DirectAttemptResult.Lost("status ${next.status} in a second head after the start of the response")
        head = next
        headAt = clock.elapsed()
        return when (next.execution) {
            Execution.NOT_RUN -> DirectAttemptResult.NotRun(reached = true, "status ${next.status}")
            Execution.UNPROVEN -> DirectAttemptResult.Lost("status ${next.status} without proof of execution")
            Execution.RUN -> unfit()
        }
    }

    /** Returns the result if the response that another attempt has begun, also after the head of this one, can't go on with this one. */
    private fun unfit(): DirectAttemptResult? {
        if (forwardedParts > 0) return null
        return head?.let { relay.differenceFromBegun(it) }?.let { DirectAttemptResult.Lost("$it on resume") }
    }

    private suspend fun onBytes(data: ByteArray): DirectAttemptResult? {
        val current = head ?: return DirectAttemptResult.Lost("body before the response head")
        if (relay.isStreamOf(current)) return onStreamBytes(data, current)
        recordEvent()
        if (forwardedParts > 0) {
            forwardedParts++
            relay.forward(data)
            recordProgress()
            return null
        }
        recordProgress()
        buffered.write(data)
        if (buffered.size() > MAX_BUFFERED_BYTES) {
            forwardedParts++
            beforeForwarding()
            relay.begin(current)
            relay.forward(buffered.toByteArray())
            buffered = ByteArrayOutputStream(0)
        }
        return null
    }

    private suspend fun onStreamBytes(
        data: ByteArray,
        current: ResponseHead,
    ): DirectAttemptResult? {
        for (event in splitter.feed(data)) {
            if (!event.isComment) {
                events++
                recordEvent()
            }
            when (val place = relay.placeOf(event, resuming)) {
                EventPlace.Repeated -> continue
                is EventPlace.Unfit -> return DirectAttemptResult.Lost(place.detail)
                EventPlace.Next -> forwardEvent(event, current)
            }
        }
        return if (splitter.overflowed) DirectAttemptResult.Lost("unterminated event exceeds the size limit") else null
    }

    private suspend fun forwardEvent(
        event: StreamEvent,
        current: ResponseHead,
    ) {
        if (!event.isComment) {
            forwardedParts++
            beforeForwarding()
        }
        relay.forwardEvent(event, current)
        if (event.id == null) return
        resuming = false
        recordProgress()
    }

    private suspend fun onEnd(): DirectAttemptResult {
        val current = head ?: return DirectAttemptResult.Lost("end of the response before its head")
        val disconnected = current.endsWithConnection
        if (splitter.hasPartialEvent) return DirectAttemptResult.Lost("stream ended inside an event", disconnected = disconnected)
        if (disconnected && relay.isStreamOf(current) && events == 0) {
            return DirectAttemptResult.Lost("connection closed before the first event", disconnected = true)
        }
        // An end proves nothing about the rest of a stream without any event that follows those of another back end.
        if (resuming) return DirectAttemptResult.Lost("stream ended without an event on resume")
        if (!current.isSuccess && !relay.started) {
            relay.holdErrorResponse(current, buffered.toByteArray())
            if (current.status >= FIRST_SERVER_ERROR) return DirectAttemptResult.Failed(current.status)
            beforeForwarding()
            return DirectAttemptResult.Completed(relay.forwardErrorResponse())
        }
        isComplete = true
        beforeForwarding()
        return DirectAttemptResult.Completed(relay.end(current, buffered.toByteArray()))
    }

    private fun recordEvent() {
        if (firstEventAt == null) firstEventAt = clock.elapsed()
    }

    private fun recordProgress() {
        progressAt = clock.elapsed()
        if (firstProgressAt == null) firstProgressAt = progressAt
    }

    private companion object {
        const val MAX_BUFFERED_BYTES = 65_536
        const val FIRST_SERVER_ERROR = 500
    }
}
