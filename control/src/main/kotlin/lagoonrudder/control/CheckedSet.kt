/**
 * A set that passed the whole check, ready to be put in force.
 *
 * The check and the digests take time that grows with the set, so they run on a traffic thread; the control thread only
 * compares revisions and takes the result over. The type is the proof that the check was made.
 */
package lagoonrudder.control

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import lagoonrudder.model.Failure
import lagoonrudder.model.Peer
import lagoonrudder.model.SnapshotDelta
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.model.Step
import lagoonrudder.model.changesBetween
import lagoonrudder.model.checkObjects

/** [changes] lead from [base] to [set]; [peer] is who offered it. */
class CheckedSet private constructor(
    val set: ObjectSnapshot,
    val base: ObjectSnapshot,
    val changes: SnapshotDelta,
    val peer: Peer,
) {
    companion object {
        /** Checks a whole set that [peer] offered to a process that has [base] in force. */
        fun ofFullSet(
            offered: ObjectSnapshot,
            base: ObjectSnapshot,
            peer: Peer,
        ): Either<Failure, CheckedSet> =
            checkObjects(offered.objects, peer.toString())
                .mapLeft { it.first() }
                .map { CheckedSet(offered, base, changesFrom(base, offered), peer) }

        /** Applies changes that [peer] offered to [base], verifies the digest they lead to, and checks the result. */
        fun ofChanges(
            offered: SnapshotDelta,
            base: ObjectSnapshot,
            peer: Peer,
        ): Either<Failure, CheckedSet> {
            val next = ObjectSnapshot(offered.revision, base.objects.plus(offered.changes))
            val verified = if (next.digest == offered.digest) next.right() else damaged(offered, peer).left()
            return verified.flatMap { ofFullSet(it, base, peer) }
        }

        private fun changesFrom(
            base: ObjectSnapshot,
            set: ObjectSnapshot,
        ) = SnapshotDelta(base.revision, base.digest, set.revision, set.digest, changesBetween(base.objects, set.objects))

        private fun damaged(
            offered: SnapshotDelta,
            peer: Peer,
        ): Failure =
            Failure.Damaged(Step.ACCEPT_CONFIGURATION, peer, "changes to revision ${offered.revision.number} don't lead to its digest")
    }
}

/** Whether [offered] starts from the set that [base] is. */
fun startsFrom(
    offered: SnapshotDelta,
    base: ObjectSnapshot,
): Boolean = offered.base == base.revision && offered.baseDigest == base.digest
