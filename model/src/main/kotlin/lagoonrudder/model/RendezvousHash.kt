/**
 * Rendezvous hashing: every process that knows the same nodes ranks them in the same order for a key.
 *
 * When a node is removed, only the keys for which it ranked first move, each to its second-ranked node.
 */
package lagoonrudder.model

private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
private const val MIX_FIRST = -4658895280553007687L
private const val MIX_SECOND = -7723592293110705685L

/** Returns the score of [node] for [key], which is the same in every process. */
fun rendezvousScore(
    key: String,
    node: String,
): Long {
    var hash = FNV_OFFSET
    for (character in key) hash = (hash xor character.code.toLong()) * FNV_PRIME
    hash = (hash xor SEPARATOR) * FNV_PRIME
    for (character in node) hash = (hash xor character.code.toLong()) * FNV_PRIME
    return mix(hash)
}

/** Returns [nodes] sorted by descending score for [key]. */
fun <T> rendezvousOrder(
    key: String,
    nodes: Collection<T>,
    name: (T) -> String,
): List<T> =
    nodes
        .map { it to rendezvousScore(key, name(it)) }
        .sortedWith(compareByDescending<Pair<T, Long>> { it.second }.thenBy { name(it.first) })
        .map { it.first }

/** Returns the node with the highest score for [key], or null when [nodes] is empty. */
fun <T> rendezvousFirst(
    key: String,
    nodes: Collection<T>,
    name: (T) -> String,
): T? = nodes.maxWithOrNull(compareBy<T> { rendezvousScore(key, name(it)) }.thenByDescending { name(it) })

private const val SEPARATOR = 0x1FL

private fun mix(value: Long): Long {
    var mixed = value
    mixed = (mixed xor (mixed ushr 30)) * MIX_FIRST
    mixed = (mixed xor (mixed ushr 27)) * MIX_SECOND
    return mixed xor (mixed ushr 31)
}
