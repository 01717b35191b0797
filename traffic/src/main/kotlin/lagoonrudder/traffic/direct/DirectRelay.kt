/**
 * Passes a back end's answer on to the caller and knows how much of it the caller has.
 *
 * An answer that isn't a stream is held back until it is whole or grows past a bound, so that a broken one can still be
 * replaced. Of a stream only whole events are passed on; the events of a second attempt must continue the first.
 */
package lagoonrudder.traffic.direct

import lagoonrudder.model.Clock
import lagoonrudder.model.EventId
import lagoonrudder.model.RequestKind
import lagoonrudder.model.WeightNumber
import java.io.ByteArrayOutputStream

internal class DirectRelay(
    private val call: DirectCall,
    private val clock: Clock,
) {
    private val answer = call.answer
    private var head: ResponseHead? = null
    private var held = ByteArrayOutputStream(0)
    private var splitter = EventSplitter()
    private var passed = 0L
    private var failureKept: Pair<ResponseHead, ByteArray>? = null

    /** Whether the caller has got the start of an answer. */
    var begun = false
        private set

    /** Whether the attempt that is under way has brought anything. */
    var heard = false
        private set

    /** The last event that was passed on. */
    var last: EventId? = null
        private set

    /** The version that made the events passed on so far; a resumed stream goes on with it. */
    var number: WeightNumber? = null
        private set

    val holdsFailure: Boolean get() = failureKept != null && !begun

    fun newAttempt() {
        heard = false
        head = null
        held = ByteArrayOutputStream(0)
        splitter = EventSplitter()
    }

    /** Takes one event of an attempt; returns how the attempt ended, or null while it goes on. */
    suspend fun take(
        event: ResponseEvent,
        kind: RequestKind,
    ): DirectResult? {
        heard = true
        return when (event) {
            is ResponseEvent.Head -> takeHead(event.head)
            is ResponseEvent.Bytes -> takeBytes(event.data, kind)
            ResponseEvent.End -> takeEnd()
            is ResponseEvent.Broken -> DirectResult.Lost(event.detail)
        }
    }

    /** Passes the failure of a back end on and returns its length. */
    suspend fun passFailure(): Long {
        val (head, body) = checkNotNull(failureKept)
        answer.respond(head, body)
        return body.size.toLong()
    }

    private fun takeHead(next: ResponseHead): DirectResult? {
        head = next
        return when (next.execution) {
            Execution.NOT_RUN -> DirectResult.NotRun(reached = true, "status ${next.status}")
            Execution.UNPROVEN -> DirectResult.Lost("status ${next.status} without proof of its origin")
            Execution.RUN -> if (begun && !next.isSuccess) DirectResult.Lost("status ${next.status} on resuming") else null
        }
    }

    private suspend fun takeBytes(
        data: ByteArray,
        kind: RequestKind,
    ): DirectResult? {
        val current = head ?: return DirectResult.Lost("bytes before a head")
        if (kind is RequestKind.Stream && current.isSuccess) return takeEvents(data, current)
        if (begun) {
            pass(data)
            return null
        }
        held.write(data)
        if (held.size() > HOLD_BACK_BYTES) {
            begin(current)
            pass(held.toByteArray())
            held = ByteArrayOutputStream(0)
        }
        return null
    }

    private suspend fun takeEvents(
        data: ByteArray,
        current: ResponseHead,
    ): DirectResult? {
        for (event in splitter.take(data)) {
            val id = event.id
            val before = last
            if (id != null && before != null && id <= before) continue
            if (id != null &&
                before != null &&
                id.number != before.number + 1
            ) {
                return DirectResult.Lost("event ${id.number} after ${before.number}")
            }
            if (!begun) begin(current.copyWithoutLength())
            number = current.number ?: number
            pass(event.bytes)
            if (id != null) last = id
        }
        return if (splitter.overflowed) DirectResult.Lost("an event without an end") else null
    }

    private suspend fun takeEnd(): DirectResult {
        val current = head ?: return DirectResult.Lost("an end before a head")
        if (splitter.midEvent) return DirectResult.Lost("the stream ended inside an event")
        if (!current.isSuccess && !begun) {
            failureKept = current to held.toByteArray()
            if (current.status >= SERVER_FAILURE) return DirectResult.Failed(current.status)
            return DirectResult.Completed(passFailure())
        }
        if (begun) answer.end() else answer.respond(current, held.toByteArray())
        return DirectResult.Completed(passed + held.size())
    }

    private suspend fun begin(head: ResponseHead) {
        begun = true
        call.timeToFirstEvent = clock.elapsed() - call.receivedAt
        answer.begin(head)
    }

    private suspend fun pass(data: ByteArray) {
        passed += data.size
        answer.write(data)
    }

    private fun ResponseHead.copyWithoutLength() = ResponseHead(status, fields, null, execution, number)

    private companion object {
        const val HOLD_BACK_BYTES = 65_536
        const val SERVER_FAILURE = 500
    }
}
