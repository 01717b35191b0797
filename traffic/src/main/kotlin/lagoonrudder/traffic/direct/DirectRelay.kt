/**
 * Forwards the response to a caller, from one or more attempts, and tracks how much of it was forwarded.
 *
 * Of a stream that has begun, a later attempt must continue the events: with an event stream of the same status and version, whose
 * first new event follows the last one that was forwarded. Any other response that has begun is never continued by another attempt.
 */
package lagoonrudder.traffic.direct

import lagoonrudder.model.Clock
import lagoonrudder.model.EventId
import lagoonrudder.model.RequestKind
import lagoonrudder.model.WeightNumber

/** Where an event belongs in the stream that the caller receives. */
internal sealed class EventPlace {
    data object Next : EventPlace()

    /** The event was forwarded already. */
    data object Repeated : EventPlace()

    data class Unfit(
        val detail: String,
    ) : EventPlace()
}

internal class DirectRelay(
    private val call: DirectCall,
    private val clock: Clock,
) {
    private val response = call.response
    private var forwarded = 0L
    private var errorResponse: Pair<ResponseHead, ByteArray>? = null

    /** The head that was forwarded to the caller; null until then. */
    private var begun: ResponseHead? = null

    /** The bytes of [lastEvent]. */
    private var lastEventBytes = ByteArray(0)

    /** Whether an event without an id follows [lastEvent], so that no id tells where the stream goes on. */
    private var positionUnknown = false

    /** Whether the start of a response was forwarded to the caller. */
    val started: Boolean get() = begun != null

    /** Whether another attempt may provide the response or the rest of it. */
    val mayContinue: Boolean get() = begun?.let { isStreamOf(it) && !positionUnknown } ?: true

    /** The last event that was forwarded. */
    var lastEvent: EventId? = null
        private set

    /** The version that produced the forwarded events; a resumed stream continues with the same one. */
    var number: WeightNumber? = null
        private set

    val holdsErrorResponse: Boolean get() = errorResponse != null && !started

    /** Returns the relay of a new attempt, which calls [beforeForwarding] each time before the caller gets a part of its response. */
    fun startAttempt(beforeForwarding: suspend () -> Unit) = AttemptRelay(this, clock, beforeForwarding)

    /** Returns whether a response with [head] is the stream that the route of the request gives. */
    fun isStreamOf(head: ResponseHead): Boolean = call.context.route.kind is RequestKind.Stream && head.isSuccess && head.isEventStream

    /** Returns how [next] differs from a head that can continue the response that has begun; null if it does not or none has. */
    fun differenceFromBegun(next: ResponseHead): String? {
        val begun = begun ?: return null
        return when {
            next.status != begun.status -> "status ${next.status}"
            !next.isEventStream -> "no event stream"
            next.number != begun.number -> "version ${next.number?.number} instead of ${begun.number?.number}"
            else -> null
        }
    }

    /** Returns where [event] belongs; [resuming] is set if its attempt has sent no event after those of another one. */
    fun placeOf(
        event: StreamEvent,
        resuming: Boolean,
    ): EventPlace {
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

    /** Forwards the next event of the stream; [head] is that of its attempt. */
    suspend fun forwardEvent(
        event: StreamEvent,
        head: ResponseHead,
    ) {
        if (!started) {
            number = head.number
            begin(head.withoutLength())
        }
        if (!event.isComment) positionUnknown = event.id == null
        forward(event.bytes)
        val id = event.id ?: return
        lastEvent = id
        lastEventBytes = event.bytes
    }

    suspend fun begin(head: ResponseHead) {
        onBegun(head)
        call.timeToFirstEvent = clock.elapsed() - call.receivedAt
        response.begin(head)
    }

    private fun onBegun(head: ResponseHead) {
        begun = head
        call.hasBegun = true
        call.number = head.number
    }

    suspend fun forward(data: ByteArray) {
        forwarded += data.size
        response.write(data)
    }

    /** Ends the response, or gives it as a whole with [head] and [body] if none has begun. Returns its length. */
    suspend fun end(
        head: ResponseHead,
        body: ByteArray,
    ): Long {
        if (started) {
            response.end()
        } else {
            onBegun(head)
            response.respond(head, body)
        }
        return forwarded + body.size
    }

    /** Keeps the error response of a back end, for a request that no other one answers. */
    fun holdErrorResponse(
        head: ResponseHead,
        body: ByteArray,
    ) {
        errorResponse = head to body
    }

    /** Forwards the error response of a back end and returns its length. */
    suspend fun forwardErrorResponse(): Long {
        val (head, body) = checkNotNull(errorResponse)
        onBegun(head)
        response.respond(head, body)
        return body.size.toLong()
    }

    private fun ResponseHead.withoutLength() = ResponseHead(status, fields, null, execution, number, isEventStream, endsWithConnection)
}
