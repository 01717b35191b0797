/**
 * The items of the platform's store, as it holds them and decoded.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.StoreRecord

/** An item as the store holds it; [value] is null after its removal. */
class StoreItem(
    val key: String,
    val position: StorePosition,
    val value: ByteArray?,
) {
    /** An item of a store that states no era. */
    constructor(key: String, revision: Long, value: ByteArray?) : this(key, StorePosition.unstated(revision), value)
}

/** Items for a peer: those that changed, or all that there are if [isComplete] is set, so that any other one was removed. */
class StoreItems(
    val items: List<StoreItem>,
    val isComplete: Boolean,
)

/** An item together with its decoded value; [published] is null for a removed item. */
class DecodedItem(
    val item: StoreItem,
    val published: StoreRecord?,
)
