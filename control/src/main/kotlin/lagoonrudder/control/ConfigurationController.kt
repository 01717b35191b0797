/**
 * Decides which object set is in force in this process.
 *
 * The revision in force only rises. A set that fails the check never displaces a good one. Two sets with one revision
 * raise an alarm, and every process settles on the one with the greater digest, which needs no exchange. A process
 * serves only while its configuration is confirmed: at its start and after a pause it asks peers and the platform first.
 */
package lagoonrudder.control

import lagoonrudder.model.Digest
import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import lagoonrudder.model.Revision
import lagoonrudder.model.SnapshotDelta
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.model.Step
import kotlin.time.Duration

/** What became of an offered set. */
sealed class ConfigurationOutcome {
    /** The set is in force; [changes] led to it from the one before. */
    data class Accepted(
        val set: ObjectSnapshot,
        val changes: SnapshotDelta,
        val wonConflict: Boolean,
    ) : ConfigurationOutcome()

    /** The set was in force already. */
    data object Known : ConfigurationOutcome()

    /** The offer is older than what is in force, or lost against its twin of the same revision. */
    data class Superseded(
        val active: Revision,
        val conflicting: Boolean,
    ) : ConfigurationOutcome()

    /** Another set came into force while the offer was checked: check it again. */
    data object BaseChanged : ConfigurationOutcome()
}

/** Whether the process may rely on the set in force. */
sealed class Confirmation {
    data object Confirmed : Confirmation()

    /** Peers and platform are being asked since [since]; at [until] the process goes on with what it has. */
    data class Pending(
        val since: Duration,
        val until: Duration,
    ) : Confirmation()
}

/** A set in force and the process-local time at which it came into force. */
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
    private val recent = ArrayDeque<SnapshotDelta>()
    private var alarms = 0
    private var rejections = 0

    /** Offers a checked set; the check was made against the set in force at that time. */
    fun offer(offered: CheckedSet): ConfigurationOutcome {
        val set = offered.set
        return when {
            set.revision < current.revision -> ConfigurationOutcome.Superseded(current.revision, conflicting = false)
            set.revision == current.revision && set.digest == current.digest -> ConfigurationOutcome.Known
            offered.base !== current -> ConfigurationOutcome.BaseChanged
            set.revision > current.revision -> accept(offered, wonConflict = false)
            else -> settleTwins(offered)
        }
    }

    /** An offer that could not be read, verified or checked. */
    fun onRejected() {
        rejections++
    }

    /** The changes from [base] to the set in force, when they are still held; they may combine several revisions. */
    fun changesSince(
        base: Revision,
        baseDigest: Digest,
    ): SnapshotDelta? = recent.firstOrNull { it.base == base && it.baseDigest == baseDigest && it.revision == current.revision }

    /** Starts to ask peers and the platform; new work waits until [confirm] or [limit] has passed. */
    fun requireConfirmation(
        now: Duration,
        limit: Duration,
    ) {
        confirmation = Confirmation.Pending(now, now + limit)
    }

    /** Everyone who was asked has answered or timed out. */
    fun confirm() {
        confirmation = Confirmation.Confirmed
    }

    /** Whether new work may be taken at [now]: a set is in force and nothing suggests that it is stale. */
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
            entry("recent-changes", recent.size)
            entry("twin-alarms", alarms)
            entry("rejections", rejections)
        }

    private fun settleTwins(offered: CheckedSet): ConfigurationOutcome {
        alarms++
        if (offered.set.digest < current.digest) return ConfigurationOutcome.Superseded(current.revision, conflicting = true)
        return accept(offered, wonConflict = true)
    }

    private fun accept(
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
        remember(offered.changes)
        return ConfigurationOutcome.Accepted(set, offered.changes, wonConflict)
    }

    private fun remember(changes: SnapshotDelta) {
        val extended = recent.map { join(it, changes) }
        recent.clear()
        recent.addAll(extended)
        recent.addLast(changes)
        while (recent.size > CHANGES_HELD || recent.sumOf { it.changes.changed.size } > OBJECTS_HELD) {
            if (recent.size == 1) break
            recent.removeFirst()
        }
    }

    private fun join(
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
        const val CHANGES_HELD = 32
        const val OBJECTS_HELD = 4_000
    }
}
