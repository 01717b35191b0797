/**
 * Encodes items of the store for peers, so that large ones take little of the links.
 *
 * Every peer gets the same items within a short time, so the encoded form of each large item is kept until the item changes. Confined
 * to the traffic thread, since encoding a large item takes milliseconds.
 */
package lagoonrudder.daemon.direct

import lagoonrudder.control.direct.StoreItem
import lagoonrudder.model.DaemonRole
import lagoonrudder.platform.forTargetDaemon
import lagoonrudder.wire.messages.ItemMessage
import lagoonrudder.wire.messages.deflated
import lagoonrudder.wire.messages.toMessage

class ItemEncoder {
    private class Encoded(
        val item: StoreItem,
        val message: ItemMessage,
    )

    private data class Form(
        val key: String,
        val role: DaemonRole,
        val deflated: Boolean,
    )

    private val kept = mutableMapOf<Form, Encoded>()

    /** Returns [item] for a peer with [role], compressed if the peer accepts that. */
    fun encode(
        item: StoreItem,
        role: DaemonRole,
        deflatedAccepted: Boolean,
    ): ItemMessage {
        if ((item.value?.size ?: 0) < MIN_KEPT_BYTES) return item.toMessage()
        val form = Form(item.key, role, deflatedAccepted)
        kept[form]?.takeIf { it.item === item }?.let { return it.message }
        val reduced = if (role == DaemonRole.TARGET) forTargetDaemon(item) else item
        val message = reduced.toMessage().let { if (deflatedAccepted) it.deflated() else it }
        kept[form] = Encoded(item, message)
        return message
    }

    private companion object {
        /** Registrations are far smaller, and many. */
        const val MIN_KEPT_BYTES = 4_096
    }
}
