/**
 * Protocol buffer messages for the exchange of configuration, instances and weights between daemons.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package lagoonrudder.wire.messages

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

@Serializable
class EmptyMessage

/** States the sender's active configuration; the receiver replies with anything newer. */
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

/** A snapshot of the operators' objects as text: the full set if [full], otherwise the changes that lead to it. */
@Serializable
class OfferMessage(
    @ProtoNumber(1) val sender: String,
    @ProtoNumber(2) val full: Boolean = false,
    @ProtoNumber(3) val text: String = "",
)

/** Reply to an [OfferMessage]. [needsFullSet] is true if the receiver lacks the set that the changes are based on. */
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

/** Whether the sender of the reply holds the chunk, expects to hold it later, or won't have it. */
@Serializable
enum class ChunkState { HELD, NOT_YET, NOT_HERE }

@Serializable
class ChunkReply(
    @ProtoNumber(1) val state: ChunkState,
    @ProtoNumber(2) val bytes: ByteArray = ByteArray(0),
)
