/**
 * The messages of requests between entry daemons and target daemons, in protocol buffers.
 *
 * Field numbers must not change their meaning; new fields get new numbers and a default.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package lagoonrudder.wire.messages

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

@Serializable
class RunMessage(
    @ProtoNumber(1) val request: String,
    @ProtoNumber(2) val attempt: Int,
    @ProtoNumber(3) val customer: String,
    @ProtoNumber(4) val fleet: String,
    @ProtoNumber(5) val revision: Long,
    @ProtoNumber(6) val versions: List<String> = emptyList(),
    @ProtoNumber(7) val offset: Long = 0,
    @ProtoNumber(8) val timeLeftMilliseconds: Long,
    @ProtoNumber(9) val tokens: Long,
    @ProtoNumber(10) val priority: Int = 0,
    @ProtoNumber(11) val permit: PermitMessage? = null,
    @ProtoNumber(12) val generate: GenerateMessage? = null,
    @ProtoNumber(13) val plain: PlainMessage? = null,
)

@Serializable
class PermitMessage(
    @ProtoNumber(1) val key: String,
    @ProtoNumber(2) val number: Long,
)

@Serializable
class GenerateMessage(
    @ProtoNumber(1) val prompt: String,
    @ProtoNumber(2) val maximumTokens: Int,
)

@Serializable
class PlainMessage(
    @ProtoNumber(1) val method: String,
    @ProtoNumber(2) val path: String,
    @ProtoNumber(3) val contentType: String = "",
    @ProtoNumber(4) val body: ByteArray = ByteArray(0),
)

/** Exactly one field is set. */
@Serializable
class EventMessage(
    @ProtoNumber(1) val notRun: RefusalMessage? = null,
    @ProtoNumber(2) val head: HeadMessage? = null,
    @ProtoNumber(3) val bytes: BytesMessage? = null,
    @ProtoNumber(4) val end: EndMessage? = null,
)

@Serializable
class RefusalMessage(
    @ProtoNumber(1) val code: String,
    @ProtoNumber(2) val retryAfterMilliseconds: Long = 0,
    @ProtoNumber(3) val detail: String = "",
    @ProtoNumber(4) val load: TargetLoadMessage? = null,
)

@Serializable
class TargetLoadMessage(
    @ProtoNumber(1) val limit: Int = 0,
    @ProtoNumber(2) val inFlight: Int = 0,
    @ProtoNumber(3) val freeTokens: Long = 0,
)

@Serializable
class HeadMessage(
    @ProtoNumber(1) val request: String,
    @ProtoNumber(2) val attempt: Int,
    @ProtoNumber(3) val version: String = "",
    @ProtoNumber(4) val status: Int,
    @ProtoNumber(5) val contentType: String = "",
)

@Serializable
class BytesMessage(
    @ProtoNumber(1) val offset: Long = 0,
    @ProtoNumber(2) val data: ByteArray = ByteArray(0),
    @ProtoNumber(3) val checksum: Long = 0,
)

@Serializable
class EndMessage(
    @ProtoNumber(1) val length: Long = 0,
    @ProtoNumber(2) val checksum: Long = 0,
    @ProtoNumber(3) val load: TargetLoadMessage? = null,
)

@Serializable
class ReserveMessage(
    @ProtoNumber(1) val request: String,
    @ProtoNumber(2) val fleet: String,
    @ProtoNumber(3) val key: String,
    @ProtoNumber(4) val body: String,
    @ProtoNumber(5) val revision: Long,
)

/** Exactly one field is set. */
@Serializable
class ReserveReply(
    @ProtoNumber(1) val permit: Long? = null,
    @ProtoNumber(2) val alreadyRan: RecordedResponseMessage? = null,
    @ProtoNumber(3) val uncertain: String? = null,
    @ProtoNumber(4) val refused: RefusalMessage? = null,
)

@Serializable
class RecordedResponseMessage(
    @ProtoNumber(1) val held: Boolean = false,
    @ProtoNumber(2) val status: Int = 0,
    @ProtoNumber(3) val contentType: String = "",
    @ProtoNumber(4) val body: ByteArray = ByteArray(0),
)

@Serializable
class ReportMessage(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val incarnation: String,
    @ProtoNumber(3) val load: TargetLoadMessage,
    @ProtoNumber(4) val version: String = "",
    @ProtoNumber(5) val accepting: Boolean = false,
)

@Serializable
class SwitchMessage(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val version: String = "",
    @ProtoNumber(3) val status: String,
)

@Serializable
class SurrenderMessage(
    @ProtoNumber(1) val key: String,
    @ProtoNumber(2) val revision: Long = 0,
)

/** Exactly one field is set. */
@Serializable
class SurrenderReply(
    @ProtoNumber(1) val released: Boolean = false,
    @ProtoNumber(2) val alreadyRan: RecordedResponseMessage? = null,
    @ProtoNumber(3) val uncertain: String? = null,
)
