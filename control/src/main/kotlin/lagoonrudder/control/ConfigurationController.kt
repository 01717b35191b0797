/**
 * Controls which object set is active in this process.
 *
 * The active revision only increases, and a set that fails validation never replaces a valid one. Two different sets with
 * the same revision raise an alarm, and every process settles on the one with the greater digest, which requires no
 * communication. A process accepts new requests only while its configuration is confirmed: after a start and after a pause
 * it queries peers and the platform first.
 */
package lagoonrudder.control

import lagoonrudder.model.Digest
import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.model.Revision
import lagoonrudder.model.SnapshotDelta
import lagoonrudder.model.Step
import kotlin.time.Duration

/** The result of offering a set. */
sealed class ConfigurationOutcome {
    /**
     * The set became active, and [changes] lead to it from the previous one. If [wonConflict] is true, the previous set
     * had the same revision and another digest.
     */
    data class Accepted(
        val set: ObjectSnapshot,
        val changes: SnapshotDelta,
        val wonConflict: Boolean,
    ) : ConfigurationOutcome()

    /** The set was already active. */
    data object Known : ConfigurationOutcome()

    /**
     * The offer is older than the [active] revision. If [conflicting] is true, it has the same revision and lost to the active
     * set by its digest.
     */
    data class Superseded(
        val active: Revision,
        val conflicting: Boolean,
    ) : ConfigurationOutcome()

    /** Another set became active while the offer was validated, so that it must be validated again. */
    data object BaseChanged : ConfigurationOutcome()
}

/** Whether the process may rely on the active set. */
sealed class Confirmation {
    /** Nothing suggests that the active set is stale. */
    data object Confirmed : Confirmation()

    /** Peers and the platform have been queried since [since]; at [until] the process continues with the set that it has. */
    data class Pending(
        val since: Duration,
        val until: Duration,
    ) : Confirmation()
}

/** An active set and the process-local time at which it became active. */
data class ActiveSet(
    val set: ObjectSnapshot,
    val since: Duration,
)

class ConfigurationController(
    private val invariants: Invariants,
) {
    var current: ObjectSnapshot = ObjectSnapshot.EMPTY
        private set
    var confirmation: Confirmation = Confirmation.Pending(Duration.ZERO, Duration.INFINITE)
        private set
    private val recentChanges = ArrayDeque<SnapshotDelta>()
    private var conflicts = 0
    private var rejections = 0

    /** Activates a validated set unless it is older than the active one, or was validated against another base. */
    fun offer(offered: CheckedSet): ConfigurationOutcome {
        val set = offered.set
        return when {
            set.revision < current.revision -> ConfigurationOutcome.Superseded(current.revision, conflicting = false)
            set.revision == current.revision && set.digest == current.digest -> ConfigurationOutcome.Known
            offered.base !== current -> ConfigurationOutcome.BaseChanged
            set.revision > current.revision -> activate(offered, wonConflict = false)
            else -> resolveConflict(offered)
        }
    }

    /** Counts an offer that could not be decoded, verified or validated. */
    fun onRejected() {
        rejections++
    }

    /**
     * Returns the changes from [base] to the active set, which may combine several revisions, or null if they are no longer
     * held.
     */
    fun changesSince(
        base: Revision,
        baseDigest: Digest,
    ): SnapshotDelta? = recentChanges.firstOrNull { it.base == base && it.baseDigest == baseDigest && it.revision == current.revision }

    /** Holds back new requests until [confirm] is called or [limit] has passed. */
    fun requireConfirmation(
        now: Duration,
        limit: Duration,
    ) {
        confirmation = Confirmation.Pending(now, now + limit)
    }

    /** All queries to peers and the platform were answered or timed out. */
    fun confirm() {
        confirmation = Confirmation.Confirmed
    }

    /** Whether new requests may be accepted at [now]: a set is active, and confirmed or past its time limit. */
    fun mayServe(now: Duration): Boolean {
        val state = confirmation
        val confirmed =
            when (state) {
                Confirmation.Confirmed -> true
                is Confirmation.Pending -> now >= state.until
            }
        return confirmed && current.revision > Revision.NONE
    }

    fun dump(): DumpSection =
        dumpSection("configuration") {
            entry("revision", current.revision.number)
            entry("digest", current.digest.hexadecimal)
            entry("objects", current.objects.byKey.size)
            entry("confirmation", confirmation)
            entry("recent-changes", recentChanges.size)
            entry("twin-alarms", conflicts)
            entry("rejections", rejections)
        }

    private fun resolveConflict(offered: CheckedSet): ConfigurationOutcome {
        conflicts++
        if (offered.set.digest < current.digest) return ConfigurationOutcome.Superseded(current.revision, conflicting = true)
        return activate(offered, wonConflict = true)
    }

    private fun activate(
        offered: CheckedSet,
        wonConflict: Boolean,
    ): ConfigurationOutcome {
        val set = offered.set
        invariants.check(
            set.revision >= current.revision,
            Invariant.CONFIGURATION_NEVER_REVERTS,
            Step.ACCEPT_CONFIGURATION,
            offered.peer,
        ) { "from=${current.revision.number} to=${set.revision.number}" }
        current = set
        recordChanges(offered.changes)
        return ConfigurationOutcome.Accepted(set, offered.changes, wonConflict)
    }

    private fun recordChanges(changes: SnapshotDelta) {
        val extended = recentChanges.map { combine(it, changes) }
        recentChanges.clear()
        recentChanges.addAll(extended)
        recentChanges.addLast(changes)
        while (recentChanges.size > MAX_RECENT_CHANGES || recentChanges.sumOf { it.changes.changed.size } > MAX_RECENT_OBJECTS) {
            if (recentChanges.size == 1) break
            recentChanges.removeFirst()
        }
    }

    private fun combine(
        first: SnapshotDelta,
        second: SnapshotDelta,
    ): SnapshotDelta {
        val changed = first.changes.changed.associateBy { it.key } - second.changes.removed.toSet()
        val removed =
            first.changes.removed.toSet() -
                second.changes.changed
                    .map { it.key }
                    .toSet()
        return first.copy(
            revision = second.revision,
            digest = second.digest,
            changes =
                first.changes.copy(
                    changed = (changed + second.changes.changed.associateBy { it.key }).values.toList(),
                    removed = (removed + second.changes.removed).toList(),
                ),
        )
    }

    private companion object {
        const val MAX_RECENT_CHANGES = 32
        const val MAX_RECENT_OBJECTS = 4_000
    }
}
