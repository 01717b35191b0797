/**
 * Limits the memory that this process uses to buffer responses for slow callers.
 *
 * Each response has a window, and the process has one budget for all. A stream that would exceed its window or the budget
 * waits. While others wait for the budget, the stalled stream that holds the most gives up its back end, and is resumed
 * from its offset when its caller has read the buffered bytes.
 */
package lagoonrudder.control

import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import lagoonrudder.model.RequestId
import lagoonrudder.model.Step
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How the memory for buffered responses is bounded. */
sealed class ResponseBufferPolicy {
    /** Buffers everything that arrives; a baseline for comparison. */
    data object Unbounded : ResponseBufferPolicy()

    /**
     * [window] bounds one response and [budget] all of them, in bytes. A stream whose caller reads nothing for [patience] may be
     * parked.
     */
    data class Windowed(
        val window: Long = 64_000,
        val budget: Long = 16_000_000,
        val patience: Duration = 2.seconds,
    ) : ResponseBufferPolicy()
}

sealed class BufferDecision {
    /** The bytes are reserved. */
    data object Granted : BufferDecision()

    /** The stream must wait until its caller has read more. */
    data object Wait : BufferDecision()
}

class ResponseBufferController(
    private val policy: ResponseBufferPolicy,
    private val invariants: Invariants,
) {
    private class Stream(
        var held: Long = 0,
        var lastRead: Duration,
        var parked: Boolean = false,
    )

    private val streams = LinkedHashMap<RequestId, Stream>()
    private var total = 0L
    private var parked = 0L

    /** Returns the bytes that are buffered or reserved for all callers. */
    fun held(): Long = total

    /** Opens a response with [base] bytes reserved; [BufferDecision.Wait] if they exceed the budget. */
    fun open(
        request: RequestId,
        base: Long,
        now: Duration,
    ): BufferDecision {
        streams[request] = Stream(lastRead = now)
        val decision = reserve(request, base, PERCENT)
        if (decision is BufferDecision.Wait) streams.remove(request)
        return decision
    }

    /** Reserves [bytes] more for [request]; the last part of the budget is kept for responses that begin. */
    fun reserve(
        request: RequestId,
        bytes: Long,
    ): BufferDecision = reserve(request, bytes, GROWTH_PERCENT)

    private fun reserve(
        request: RequestId,
        bytes: Long,
        percentOfBudget: Int,
    ): BufferDecision {
        val stream = streams[request] ?: return BufferDecision.Wait
        val allowed =
            when (policy) {
                ResponseBufferPolicy.Unbounded -> true
                is ResponseBufferPolicy.Windowed ->
                    stream.held + bytes <= policy.window &&
                        total + bytes <= policy.budget * percentOfBudget / PERCENT
            }
        if (!allowed) return BufferDecision.Wait
        stream.held += bytes
        total += bytes
        checkBudget()
        return BufferDecision.Granted
    }

    /** The caller of [request] has read [bytes]. */
    fun onRead(
        request: RequestId,
        bytes: Long,
        now: Duration,
    ) {
        val stream = streams[request] ?: return
        stream.held -= bytes
        stream.lastRead = now
        total -= bytes
    }

    /**
     * Returns the stream that should give up its back end, or null if none is stalled, or if no other request needs the
     * resources: the budget is not nearly used up, and no [othersWait] for a target.
     */
    fun selectVictim(
        othersWait: Boolean,
        now: Duration,
    ): RequestId? =
        when (policy) {
            ResponseBufferPolicy.Unbounded -> null
            is ResponseBufferPolicy.Windowed -> largestStalled(policy, othersWait, now)
        }

    /** Marks the stream as parked: it gives up its back end. */
    fun park(request: RequestId) {
        parked++
        streams[request]?.parked = true
    }

    /** The caller of a parked stream has read the buffered bytes, and the stream continues. */
    fun onResumed(
        request: RequestId,
        now: Duration,
    ) {
        val stream = streams[request] ?: return
        stream.parked = false
        stream.lastRead = now
    }

    fun close(request: RequestId) {
        val stream = streams.remove(request) ?: return
        total -= stream.held
    }

    fun dump(): DumpSection =
        dumpSection("reader-memory") {
            entry("policy", policy)
            entry("readers", streams.size)
            entry("held-bytes", total)
            entry("parked", parked)
        }

    private fun largestStalled(
        policy: ResponseBufferPolicy.Windowed,
        othersWait: Boolean,
        now: Duration,
    ): RequestId? {
        val underPressure = total >= policy.budget * PRESSURE_PERCENT / PERCENT
        if (!underPressure && !othersWait) return null
        return streams
            .filterValues { it.held > 0 && !it.parked && now - it.lastRead > policy.patience }
            .maxByOrNull { it.value.held }
            ?.key
    }

    private fun checkBudget() {
        val budget =
            when (policy) {
                ResponseBufferPolicy.Unbounded -> Long.MAX_VALUE
                is ResponseBufferPolicy.Windowed -> policy.budget
            }
        invariants.check(total <= budget, Invariant.READER_MEMORY_WITHIN_BUDGET, Step.RELAY) { "held=$total budget=$budget" }
    }

    private companion object {
        const val PRESSURE_PERCENT = 70
        const val GROWTH_PERCENT = 75
        const val PERCENT = 100
    }
}
