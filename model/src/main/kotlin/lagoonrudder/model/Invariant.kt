/**
 * Invariants checked at run time.
 *
 * A violation is counted and reported to a listener, which logs it in production and fails the run in tests.
 */
package lagoonrudder.model

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

enum class Invariant {
    WHOLE_WEIGHTS_ONLY,
    TARGET_WITHIN_LIMIT,
    NO_NEW_WORK_WHEN_OUT,
    WHOLE_OWN_ANSWER,
    REFUSAL_NOT_RUN,
    AT_MOST_ONCE,
    PLANNED_STOP_CUTS_NOTHING,
    CONFIGURATION_NEVER_REVERTS,
    READER_MEMORY_WITHIN_BUDGET,
    QUEUE_WITHIN_BOUND,
    CONTROL_THREAD_ONLY,
    WEIGHT_MEMORY_WITHIN_BUDGET,
}

data class Violation(
    val invariant: Invariant,
    val step: Step,
    val peer: Peer,
    val detail: String,
)

/** Counts violations and passes each one to [listener], which may be called from any thread. */
class Invariants(
    private val listener: (Violation) -> Unit,
) {
    private val counts = ConcurrentHashMap<Invariant, AtomicLong>()

    /** The number of violations of [invariant] since this process started. */
    fun count(invariant: Invariant): Long = counts[invariant]?.get() ?: 0

    /** The number of violations of all invariants since this process started. */
    fun total(): Long = counts.values.sumOf { it.get() }

    fun check(
        holds: Boolean,
        invariant: Invariant,
        step: Step,
        peer: Peer = Peer.SELF,
        detail: () -> String,
    ) {
        if (holds) return
        counts.computeIfAbsent(invariant) { AtomicLong() }.incrementAndGet()
        listener(Violation(invariant, step, peer, detail()))
    }
}
