/**
 * A bounded set of prompt parts that forgets those that were not added for longest.
 */
package lagoonrudder.control.direct.suspicion

import lagoonrudder.model.PromptPartId

internal class RecentParts(
    private val capacity: Int,
) {
    private val parts = LinkedHashSet<PromptPartId>()

    fun addAll(added: Collection<PromptPartId>) {
        for (part in added) {
            parts.remove(part)
            parts.add(part)
        }
        while (parts.size > capacity) parts.remove(parts.first())
    }

    operator fun contains(part: PromptPartId): Boolean = part in parts
}
