/**
 * Tracks which daemons exist and which of them this process considers alive.
 *
 * The list of the platform lags behind, so it only tells which daemons may exist. Liveness is derived from traffic and from
 * target reports: a failure raises a suspicion that expires, and any response clears it. The state that operators publish
 * takes precedence over both.
 */
package lagoonrudder.control

import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.Instance
import lagoonrudder.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The changes from the list at generation [base] to the one at [generation]. A [base] of zero means the full list. */
data class InstanceChanges(
    val base: Long,
    val generation: Long,
    val changed: List<Instance>,
    val removed: List<DaemonId>,
)

class MembershipController(
    private val self: DaemonId,
    private val suspicionTimeout: Duration = SUSPICION_TIMEOUT,
) {
    private var listed: Map<DaemonId, Instance> = emptyMap()
    private var generation = 0L
    private val suspectedUntil = mutableMapOf<DaemonId, Duration>()
    private val changedAt = mutableMapOf<DaemonId, Long>()
    private var oldestKnownBase = Long.MAX_VALUE

    /** Replaces the list unless the offered one is not newer. Returns whether it was newer. */
    fun replaceList(
        instances: List<Instance>,
        offeredGeneration: Long,
    ): Boolean {
        if (offeredGeneration <= generation) return false
        val instancesByDaemon = instances.associateBy { it.daemon }
        val changed = (listed.keys + instancesByDaemon.keys).filter { listed[it] != instancesByDaemon[it] }
        if (generation == 0L) oldestKnownBase = offeredGeneration else changed.forEach { changedAt[it] = offeredGeneration }
        replace(instancesByDaemon, offeredGeneration)
        return true
    }

    /** Applies changes from a peer. Returns false if they start after the local generation or contain nothing new. */
    fun apply(changes: InstanceChanges): Boolean {
        if (changes.generation <= generation || changes.base > generation) return false
        val instancesByDaemon = listed - changes.removed.toSet() + changes.changed.associateBy { it.daemon }
        return replaceList(instancesByDaemon.values.toList(), changes.generation)
    }

    /** Returns the changes since [base], the full list if they are no longer known, or null if nothing changed. */
    fun changesSince(base: Long): InstanceChanges? {
        if (base >= generation) return null
        if (base < oldestKnownBase) return InstanceChanges(0, generation, listed.values.toList(), emptyList())
        val daemons = changedAt.filterValues { it > base }.keys
        return InstanceChanges(base, generation, daemons.mapNotNull { listed[it] }, daemons.filter { it !in listed })
    }

    private fun replace(
        instancesByDaemon: Map<DaemonId, Instance>,
        offeredGeneration: Long,
    ) {
        generation = offeredGeneration
        listed = instancesByDaemon
        suspectedUntil.keys.retainAll(instancesByDaemon.keys)
        val oldest = changedAt.values.sortedDescending().getOrNull(MAX_CHANGES) ?: return
        changedAt.values.removeIf { it <= oldest }
        oldestKnownBase = maxOf(oldestKnownBase, oldest)
    }

    fun generation(): Long = generation

    fun instances(): List<Instance> = listed.values.toList()

    fun instance(daemon: DaemonId): Instance? = listed[daemon]

    /** Suspects [daemon] because a connection to it failed or timed out. */
    fun suspect(
        daemon: DaemonId,
        now: Duration,
    ) {
        suspectedUntil[daemon] = now + suspicionTimeout
    }

    /** Clears the suspicion of [daemon] because it responded. */
    fun clearSuspicion(daemon: DaemonId) {
        suspectedUntil.remove(daemon)
    }

    fun isSuspected(
        daemon: DaemonId,
        now: Duration,
    ): Boolean = (suspectedUntil[daemon] ?: Duration.ZERO) > now

    /** Returns the daemons of [domain] that are listed, not leaving and not suspected, and always this process itself. */
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

    /** Returns the daemon of [target], or null if none is listed. A daemon that isn't leaving is preferred to one that is. */
    fun daemonOf(target: TargetId): Instance? {
        val candidates = listed.values.filter { it.role == DaemonRole.TARGET && it.target == target }
        return candidates.firstOrNull { !it.leaving } ?: candidates.firstOrNull()
    }

    /** Returns all target daemons by target. A daemon that isn't leaving is preferred to one that is. */
    fun targetDaemons(): Map<TargetId, Instance> {
        val byTarget = mutableMapOf<TargetId, Instance>()
        for (instance in listed.values) {
            val target = instance.target ?: continue
            val existing = byTarget[target]
            if (existing == null || existing.leaving) byTarget[target] = instance
        }
        return byTarget
    }

    fun dump(now: Duration): DumpSection =
        dumpSection("membership") {
            entry("generation", generation)
            entry("listed", listed.size)
            entry("leaving", listed.values.filter { it.leaving }.map { it.daemon.text })
            entry("suspected", suspectedUntil.filterValues { it > now }.keys.map { it.text })
        }

    private companion object {
        val SUSPICION_TIMEOUT = 3.seconds
        const val MAX_CHANGES = 2_000
    }
}
