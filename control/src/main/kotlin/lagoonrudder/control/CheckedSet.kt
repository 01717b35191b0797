/**
 * An object set that passed validation and can be activated.
 *
 * Validation and digests take time that grows with the set, so they run on a traffic thread; the control thread only
 * compares revisions and replaces the active set. An instance of the type proves that the set was validated.
 */
package lagoonrudder.control

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import lagoonrudder.model.Failure
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.model.Peer
import lagoonrudder.model.SnapshotDelta
import lagoonrudder.model.Step
import lagoonrudder.model.changesBetween
import lagoonrudder.model.checkObjects

/** A valid [set] that [peer] offered. [changes] lead to it from [base]. */
class CheckedSet private constructor(
    val set: ObjectSnapshot,
    val base: ObjectSnapshot,
    val changes: SnapshotDelta,
    val peer: Peer,
) {
    companion object {
        /** Validates a full set that [peer] offered to a process whose active set is [base]. */
        fun ofFullSet(
            offered: ObjectSnapshot,
            base: ObjectSnapshot,
            peer: Peer,
        ): Either<Failure, CheckedSet> =
            checkObjects(offered.objects, peer.toString())
                .mapLeft { it.first() }
                .map { CheckedSet(offered, base, changesFrom(base, offered), peer) }

        /** Applies changes that [peer] offered to [base], verifies the digest of the result, and validates it. */
        fun ofChanges(
            offered: SnapshotDelta,
            base: ObjectSnapshot,
            peer: Peer,
        ): Either<Failure, CheckedSet> {
            val result = ObjectSnapshot(offered.revision, base.objects.plus(offered.changes))
            val verified = if (result.digest == offered.digest) result.right() else digestMismatch(offered, peer).left()
            return verified.flatMap { ofFullSet(it, base, peer) }
        }

        private fun changesFrom(
            base: ObjectSnapshot,
            set: ObjectSnapshot,
        ) = SnapshotDelta(base.revision, base.digest, set.revision, set.digest, changesBetween(base.objects, set.objects))

        private fun digestMismatch(
            offered: SnapshotDelta,
            peer: Peer,
        ): Failure =
            Failure.Damaged(
                Step.ACCEPT_CONFIGURATION,
                peer,
                "digest mismatch after applying the changes to revision ${offered.revision.number}",
            )
    }
}

/** Whether [offered] applies to [base]. */
fun startsFrom(
    offered: SnapshotDelta,
    base: ObjectSnapshot,
): Boolean = offered.base == base.revision && offered.baseDigest == base.digest
