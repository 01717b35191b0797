/**
 * Records which target last served a prompt prefix.
 *
 * The cache events of the engines arrive late and with gaps, so these records are only a hint, used as a bonus in the
 * selection of a target.
 */
package lagoonrudder.control

import lagoonrudder.model.TargetId

internal class PrefixAffinity(
    private val maxPrefixes: Int = 10_000,
) {
    private val targetByPrefix =
        object : LinkedHashMap<Int, TargetId>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Int, TargetId>): Boolean = size > maxPrefixes
        }

    val size: Int get() = targetByPrefix.size

    fun remember(
        prefix: Int,
        target: TargetId,
    ) {
        targetByPrefix[prefix] = target
    }

    fun isWarm(
        prefix: Int,
        target: TargetId,
    ): Boolean = targetByPrefix[prefix] == target

    fun forget(
        target: TargetId,
        dropped: Collection<Int>,
    ) {
        dropped.forEach { if (targetByPrefix[it] == target) targetByPrefix.remove(it) }
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}

private const val PREFIX_CHARACTERS = 256

/** Returns a hash of the prefix of [prompt] that engines may hold in their prefix caches. */
fun prefixOf(prompt: String): Int = prompt.take(PREFIX_CHARACTERS).hashCode()
