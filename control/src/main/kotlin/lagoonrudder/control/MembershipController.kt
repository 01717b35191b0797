/**
 * Decides which daemons this process takes for alive.
 *
 * The platform's list lags, so it only says who may exist. Liveness comes from traffic and room reports: a failure raises
 * a suspicion that expires, and any sign of life ends it. What operators publish outranks both.
 */
package lagoonrudder.control

import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.Instance
import lagoonrudder.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What turns the list at generation [base] into that at [generation]. A [base] of zero means the whole list. */
data class InstanceChanges(
    val base: Long,
    val generation: Long,
    val changed: List<Instance>,
    val removed: List<DaemonId>,
)

class MembershipController(
    private val self: DaemonId,
    private val suspicionLife: Duration = SUSPICION_LIFE,
) {
    private var listed: Map<DaemonId, Instance> = emptyMap()
    private var generation = 0L
    private val suspectedUntil = mutableMapOf<DaemonId, Duration>()
    private val changedAt = mutableMapOf<DaemonId, Long>()
    private var changesKnownFrom = Long.MAX_VALUE

    /** Takes over a whole list; one that is not newer is passed over. Returns whether it was newer. */
    fun replaceList(
        instances: List<Instance>,
        offeredGeneration: Long,
    ): Boolean {
        if (offeredGeneration <= generation) return false
        val next = instances.associateBy { it.daemon }
        val changed = (listed.keys + next.keys).filter { listed[it] != next[it] }
        if (generation == 0L) changesKnownFrom = offeredGeneration else changed.forEach { changedAt[it] = offeredGeneration }
        adopt(next, offeredGeneration)
        return true
    }

    /** Takes over changes from a peer; false when they don't start at or before what this process has, or bring nothing. */
    fun apply(changes: InstanceChanges): Boolean {
        if (changes.generation <= generation || changes.base > generation) return false
        val next = listed - changes.removed.toSet() + changes.changed.associateBy { it.daemon }
        return replaceList(next.values.toList(), changes.generation)
    }

    /** What changed after [base]: the whole list when this process doesn't know. Null when nothing did. */
    fun changesSince(base: Long): InstanceChanges? {
        if (base >= generation) return null
        if (base < changesKnownFrom) return InstanceChanges(0, generation, listed.values.toList(), emptyList())
        val daemons = changedAt.filterValues { it > base }.keys
        return InstanceChanges(base, generation, daemons.mapNotNull { listed[it] }, daemons.filter { it !in listed })
    }

    private fun adopt(
        next: Map<DaemonId, Instance>,
        offeredGeneration: Long,
    ) {
        generation = offeredGeneration
        listed = next
        suspectedUntil.keys.retainAll(next.keys)
        val oldest = changedAt.values.sortedDescending().getOrNull(CHANGES_HELD) ?: return
        changedAt.values.removeIf { it <= oldest }
        changesKnownFrom = maxOf(changesKnownFrom, oldest)
    }

    fun generation(): Long = generation

    fun instances(): List<Instance> = listed.values.toList()

    fun instance(daemon: DaemonId): Instance? = listed[daemon]

    /** A connection to [daemon] failed or went silent. */
    fun suspect(
        daemon: DaemonId,
        now: Duration,
    ) {
        suspectedUntil[daemon] = now + suspicionLife
    }

    /** [daemon] answered. */
    fun clearSuspicion(daemon: DaemonId) {
        suspectedUntil.remove(daemon)
    }

    fun isSuspected(
        daemon: DaemonId,
        now: Duration,
    ): Boolean = (suspectedUntil[daemon] ?: Duration.ZERO) > now

    /** The daemons of [domain] that are listed, not leaving and not suspected; always with this process itself. */
    fun liveDaemons(
        domain: DomainId,
        now: Duration,
    ): List<DaemonId> {
        val others =
            listed.values
                .filter { it.domain == domain && !it.leaving && it.daemon != self && !isSuspected(it.daemon, now) }
                .map { it.daemon }
        return others + self
    }

    /** The daemon in the slot beside [target], or null when none is listed; a leaving one is passed over for a newer one. */
    fun daemonOf(target: TargetId): Instance? {
        val candidates = listed.values.filter { it.role == DaemonRole.TARGET && it.target == target }
        return candidates.firstOrNull { !it.leaving } ?: candidates.firstOrNull()
    }

    /** All target daemons by target; where two are listed for one target the one that isn't leaving counts. */
    fun targetDaemons(): Map<TargetId, Instance> {
        val found = mutableMapOf<TargetId, Instance>()
        for (instance in listed.values) {
            val target = instance.target ?: continue
            val known = found[target]
            if (known == null || known.leaving) found[target] = instance
        }
        return found
    }

    fun dump(now: Duration): DumpSection =
        dumpSection("membership") {
            entry("generation", generation)
            entry("listed", listed.size)
            entry("leaving", listed.values.filter { it.leaving }.map { it.daemon.text })
            entry("suspected", suspectedUntil.filterValues { it > now }.keys.map { it.text })
        }

    private companion object {
        val SUSPICION_LIFE = 3.seconds
        const val CHANGES_HELD = 2_000
    }
}
