/**
 * Protocol buffer messages about when declared versions of weights were acknowledged.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package lagoonrudder.wire.messages

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import lagoonrudder.control.direct.VersionAcknowledgement
import lagoonrudder.model.EventTime
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A version that was acknowledged at least [minAgeMilliseconds] and at most [maxAgeMilliseconds] before the message was written; the latter
 * is [UNKNOWN_AGE] if it may be of any age.
 */
@Serializable
data class DeclarationMessage(
    @ProtoNumber(1) val model: String,
    @ProtoNumber(2) val number: Long,
    @ProtoNumber(3) val minAgeMilliseconds: Long,
    @ProtoNumber(4) val maxAgeMilliseconds: Long,
)

fun VersionAcknowledgement.toMessage(now: Duration) =
    DeclarationMessage(
        model.text,
        number.number,
        (now - time.latest).inWholeMilliseconds,
        (now - time.earliest + 1.milliseconds).takeIf { it.isFinite() }.toMilliseconds(),
    )

/**
 * Returns the declarations in a reply that was received at [receivedAt] to a message sent at [sentAt]. The reply was written at an unknown
 * time in between.
 */
fun GossipReply.declared(
    sentAt: Duration,
    receivedAt: Duration,
): List<VersionAcknowledgement> =
    declarations.map {
        val maxAge = ageOrNull(it.maxAgeMilliseconds) ?: Duration.INFINITE
        val time = EventTime(sentAt - maxAge, receivedAt - it.minAgeMilliseconds.milliseconds)
        VersionAcknowledgement(ModelId(it.model), WeightNumber(it.number), time)
    }

/**
 * Returns the declarations in a message that arrived at [receivedAt]. It may have been under way for any time, so it bounds only the latest
 * time of an acknowledgement. A receiver for which that isn't enough asks, and learns the earliest time from the reply.
 */
fun GossipMessage.declared(receivedAt: Duration): List<VersionAcknowledgement> =
    declarations.map {
        val time = EventTime(-Duration.INFINITE, receivedAt - it.minAgeMilliseconds.milliseconds)
        VersionAcknowledgement(ModelId(it.model), WeightNumber(it.number), time)
    }
