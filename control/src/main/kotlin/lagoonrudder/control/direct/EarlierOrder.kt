/**
 * Tells from the chunks that lie on a back end whether an earlier process, which is gone, may have sent an order that can still
 * be accepted.
 *
 * A process orders a load only when all chunks of a version are staged, and stages no other version until the order is settled.
 * So there is no such order if chunks are missing or belong to several versions. A process that does replace chunks under an order
 * leaves a mark among them, see [LoadOrderController].
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
         * one; [known] holds the manifests of versions that may lie there, the newest one among them. An order for the version [held] would
         * have no effect, and versions before it are never staged.
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
                present.isEmpty() -> if (isEachNewerKnown(known, held)) None else PossibleForUnknownVersion
                present.size > 1 -> None
                // Chunks of this version may have turned bad since its order was sent.
                else -> if (present.single().number == held) None else Possible(present.single())
            }
        }

        /** Whether [known] has all versions after [held] that may have been staged, so that other chunks are those of [held]. */
        private fun isEachNewerKnown(
            known: List<WeightManifest>,
            held: WeightNumber?,
        ): Boolean {
            val newest = known.maxOfOrNull { it.number.number } ?: return false
            if (held == null) return false
            val numbers = known.mapTo(mutableSetOf()) { it.number.number }
            return newest - held.number <= numbers.size && (held.number + 1..newest).all { it in numbers }
        }
    }
}
