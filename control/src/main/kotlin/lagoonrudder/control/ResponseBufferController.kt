/**
 * Decides how much this process holds for callers that read slowly.
 *
 * Each answer has a window; the process has one budget for all. A stream that wants to go past its window or the budget
 * waits. When others wait for the budget, the stream that has held the most for the longest gives up its back end and is
 * resumed from its offset when its caller has read what was held.
 */
package lagoonrudder.control

import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import lagoonrudder.model.RequestId
import lagoonrudder.model.Step
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How memory for readers is bounded. */
sealed class ResponseBufferPolicy {
    /** Everything that arrives is held: the baseline. */
    data object Unbounded : ResponseBufferPolicy()

    /** [window] bounds one answer, [budget] all of them, in bytes; a reader that stalls for [patience] may be parked. */
    data class Windowed(
        val window: Long = 64_000,
        val budget: Long = 16_000_000,
        val patience: Duration = 2.seconds,
    ) : ResponseBufferPolicy()
}

sealed class BufferDecision {
    data object Granted : BufferDecision()

    /** The stream waits until its caller has read more. */
    data object Wait : BufferDecision()
}

class ResponseBufferController(
    private val policy: ResponseBufferPolicy,
    private val invariants: Invariants,
) {
    private class Reader(
        var held: Long = 0,
        var lastRead: Duration,
        var parked: Boolean = false,
    )

    private val readers = LinkedHashMap<RequestId, Reader>()
    private var total = 0L
    private var parked = 0L

    /** The bytes held for all readers. */
    fun held(): Long = total

    /** Opens an answer that may hold [base] bytes without asking; [BufferDecision.Wait] when the budget has no room for it. */
    fun open(
        request: RequestId,
        base: Long,
        now: Duration,
    ): BufferDecision {
        readers[request] = Reader(lastRead = now)
        val decision = reserve(request, base, PERCENT)
        if (decision is BufferDecision.Wait) readers.remove(request)
        return decision
    }

    /** Asks to hold [bytes] more for [request]; the last part of the budget is kept for answers that begin. */
    fun reserve(
        request: RequestId,
        bytes: Long,
    ): BufferDecision = reserve(request, bytes, GROWTH_PERCENT)

    private fun reserve(
        request: RequestId,
        bytes: Long,
        percentOfBudget: Int,
    ): BufferDecision {
        val reader = readers[request] ?: return BufferDecision.Wait
        val allowed =
            when (policy) {
                ResponseBufferPolicy.Unbounded -> true
                is ResponseBufferPolicy.Windowed ->
                    reader.held + bytes <= policy.window &&
                        total + bytes <= policy.budget * percentOfBudget / PERCENT
            }
        if (!allowed) return BufferDecision.Wait
        reader.held += bytes
        total += bytes
        checkBudget()
        return BufferDecision.Granted
    }

    /** The caller of [request] has taken [bytes]. */
    fun onRead(
        request: RequestId,
        bytes: Long,
        now: Duration,
    ) {
        val reader = readers[request] ?: return
        reader.held -= bytes
        reader.lastRead = now
        total -= bytes
    }

    /**
     * The stream that should give up its back end now, or null when nobody is stalled or nobody else needs the room:
     * neither the budget is short nor do [othersWait] for a target.
     */
    fun selectVictim(
        othersWait: Boolean,
        now: Duration,
    ): RequestId? =
        when (policy) {
            ResponseBufferPolicy.Unbounded -> null
            is ResponseBufferPolicy.Windowed -> mostCostly(policy, othersWait, now)
        }

    /** The stream gives up its back end. */
    fun park(request: RequestId) {
        parked++
        readers[request]?.parked = true
    }

    /** The caller of a parked stream has read what was held; the stream goes on. */
    fun onResumed(
        request: RequestId,
        now: Duration,
    ) {
        val reader = readers[request] ?: return
        reader.parked = false
        reader.lastRead = now
    }

    fun close(request: RequestId) {
        val reader = readers.remove(request) ?: return
        total -= reader.held
    }

    fun dump(): DumpSection =
        dumpSection("reader-memory") {
            entry("policy", policy)
            entry("readers", readers.size)
            entry("held-bytes", total)
            entry("parked", parked)
        }

    private fun mostCostly(
        policy: ResponseBufferPolicy.Windowed,
        othersWait: Boolean,
        now: Duration,
    ): RequestId? {
        val short = total >= policy.budget * PRESSURE_PERCENT / PERCENT
        if (!short && !othersWait) return null
        return readers
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
