/**
 * Rendezvous hashing: every process that knows the same candidates ranks them in the same order for a subject.
 *
 * When a candidate goes, only the subjects it ranked first for move, each to its own second choice.
 */
package lagoonrudder.model

private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
private const val MIX_FIRST = -4658895280553007687L
private const val MIX_SECOND = -7723592293110705685L

/** The score of [candidate] for [subject]; the same in every process. */
fun rendezvousScore(
    subject: String,
    candidate: String,
): Long {
    var hash = FNV_OFFSET
    for (character in subject) hash = (hash xor character.code.toLong()) * FNV_PRIME
    hash = (hash xor SEPARATOR) * FNV_PRIME
    for (character in candidate) hash = (hash xor character.code.toLong()) * FNV_PRIME
    return mix(hash)
}

/** [candidates] from the highest score for [subject] to the lowest. */
fun <T> rendezvousOrder(
    subject: String,
    candidates: Collection<T>,
    name: (T) -> String,
): List<T> =
    candidates
        .map { it to rendezvousScore(subject, name(it)) }
        .sortedWith(compareByDescending<Pair<T, Long>> { it.second }.thenBy { name(it.first) })
        .map { it.first }

/** The candidate with the highest score for [subject], or null when there is none. */
fun <T> rendezvousFirst(
    subject: String,
    candidates: Collection<T>,
    name: (T) -> String,
): T? = candidates.maxWithOrNull(compareBy<T> { rendezvousScore(subject, name(it)) }.thenByDescending { name(it) })

private const val SEPARATOR = 0x1FL

private fun mix(value: Long): Long {
    var mixed = value
    mixed = (mixed xor (mixed ushr 30)) * MIX_FIRST
    mixed = (mixed xor (mixed ushr 27)) * MIX_SECOND
    return mixed xor (mixed ushr 31)
}
