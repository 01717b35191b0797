/**
 * Tells from the chunks that lie on a back end whether an earlier process, which is gone, may have sent an order that can still
 * be accepted.
 *
 * A process orders a load only when all chunks of a version are staged, and stages no other version until the order is settled.
 * So there is no such order if chunks are missing or belong to several versions.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.Digest
import lagoonrudder.model.WeightNumber

sealed class EarlierOrder {
    data object None : EarlierOrder()

    /** There may be an order for the version of [manifest]. */
    data class Possible(
        val manifest: WeightManifest,
    ) : EarlierOrder()

    /** There may be an order for a version whose manifest is not known. */
    data object PossibleForUnknownVersion : EarlierOrder()

    companion object {
        /**
         * Returns the order that may be in transit. [staged] holds the digests of the chunks on the back end, null for a missing
         * one; [known] holds the manifests of versions that may lie there. An order for the version [held] would have no effect.
         */
        fun of(
            staged: List<Digest?>,
            known: List<WeightManifest>,
            held: WeightNumber?,
        ): EarlierOrder {
            if (null in staged) return None
            val present = known.filter { manifest -> manifest.digests.indices.any { staged.getOrNull(it) == manifest.digests[it] } }
            val complete = present.firstOrNull { it.digests == staged }
            return when {
                complete != null -> if (complete.number == held) None else Possible(complete)
                present.isEmpty() -> PossibleForUnknownVersion
                present.size > 1 -> None
                // Chunks of this version may have turned bad since its order was sent.
                else -> if (present.single().number == held) None else Possible(present.single())
            }
        }
    }
}
