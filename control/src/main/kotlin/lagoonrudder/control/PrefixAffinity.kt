/**
 * Which target lately served which prompt prefix.
 *
 * The engines' own cache events come late and with gaps, so this memory is a guess that only adds a bonus to a choice.
 */
package lagoonrudder.control

import lagoonrudder.model.TargetId

internal class PrefixAffinity(
    private val most: Int = 10_000,
) {
    private val targets =
        object : LinkedHashMap<Int, TargetId>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Int, TargetId>): Boolean = size > most
        }

    val size: Int get() = targets.size

    fun remember(
        prefix: Int,
        target: TargetId,
    ) {
        targets[prefix] = target
    }

    fun isWarm(
        prefix: Int,
        target: TargetId,
    ): Boolean = targets[prefix] == target

    fun forget(
        target: TargetId,
        dropped: Collection<Int>,
    ) {
        dropped.forEach { if (targets[it] == target) targets.remove(it) }
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}

private const val PREFIX_CHARACTERS = 256

/** The prefix of [prompt] that engines may hold in their caches, as a hash. */
fun prefixOf(prompt: String): Int = prompt.take(PREFIX_CHARACTERS).hashCode()
