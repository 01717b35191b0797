/**
 * The messages between daemons about configuration, instances and weights, in protocol buffers.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package lagoonrudder.wire.messages

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

@Serializable
class EmptyMessage

/** What the sender has in force; the other side answers with what is newer. */
@Serializable
class ExchangeMessage(
    @ProtoNumber(1) val revision: Long = 0,
    @ProtoNumber(2) val digest: String = "",
    @ProtoNumber(3) val listGeneration: Long = 0,
)

@Serializable
class ExchangeReply(
    @ProtoNumber(1) val revision: Long = 0,
    @ProtoNumber(2) val digest: String = "",
    @ProtoNumber(3) val offer: OfferMessage? = null,
    @ProtoNumber(4) val instances: InstancesMessage? = null,
)

/** A sealed set as text: the whole of it, or the changes that lead to it. */
@Serializable
class OfferMessage(
    @ProtoNumber(1) val sender: String,
    @ProtoNumber(2) val full: Boolean = false,
    @ProtoNumber(3) val text: String = "",
)

/** Whether the receiver lacks the set that the changes start from. */
@Serializable
class OfferReply(
    @ProtoNumber(1) val needsFullSet: Boolean = false,
)

@Serializable
class InstancesMessage(
    @ProtoNumber(1) val base: Long = 0,
    @ProtoNumber(2) val generation: Long = 0,
    @ProtoNumber(3) val changed: List<InstanceMessage> = emptyList(),
    @ProtoNumber(4) val removed: List<String> = emptyList(),
)

@Serializable
class InstanceMessage(
    @ProtoNumber(1) val daemon: String,
    @ProtoNumber(2) val role: String,
    @ProtoNumber(3) val domain: String,
    @ProtoNumber(4) val target: String = "",
    @ProtoNumber(5) val address: String,
    @ProtoNumber(6) val leaving: Boolean = false,
)

@Serializable
class ChunkMessage(
    @ProtoNumber(1) val version: String,
    @ProtoNumber(2) val chunk: Int,
)

/** Whether the sender has a chunk. */
@Serializable
enum class ChunkState { HELD, NOT_YET, NOT_HERE }

@Serializable
class ChunkReply(
    @ProtoNumber(1) val state: ChunkState,
    @ProtoNumber(2) val bytes: ByteArray = ByteArray(0),
)
