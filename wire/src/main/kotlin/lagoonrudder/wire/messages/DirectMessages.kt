/**
 * Protocol buffer messages of the gossip between daemons in direct mode: items of the platform's store, live peers and requests
 * in flight.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package lagoonrudder.wire.messages

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import lagoonrudder.control.direct.LivePeer
import lagoonrudder.control.direct.LoadReport
import lagoonrudder.control.direct.PeerDaemon
import lagoonrudder.control.direct.SlotWord
import lagoonrudder.control.direct.StoreContact
import lagoonrudder.control.direct.StoreEra
import lagoonrudder.control.direct.StoreItem
import lagoonrudder.control.direct.StorePosition
import lagoonrudder.control.direct.StoreRevision
import lagoonrudder.control.direct.WeightManifest
import lagoonrudder.control.direct.admission.LevelDemand
import lagoonrudder.control.direct.admission.UrgencyLevel
import lagoonrudder.control.direct.admission.UrgencyLevels
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.Digest
import lagoonrudder.model.DomainId
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.ModelId
import lagoonrudder.model.RegionId
import lagoonrudder.model.Revision
import lagoonrudder.model.ServiceId
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightNumber
import lagoonrudder.model.addressOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

@Serializable
data class PeerMessage(
    @ProtoNumber(1) val daemon: String,
    @ProtoNumber(2) val entry: Boolean,
    @ProtoNumber(3) val domain: String,
    @ProtoNumber(4) val region: String,
    @ProtoNumber(5) val address: String = "",
)

@Serializable
data class LivePeerMessage(
    @ProtoNumber(1) val peer: PeerMessage,
    @ProtoNumber(2) val ageMilliseconds: Long,
)

@Serializable
data class InFlightMessage(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val inFlight: Int,
)

/** State of the back end of one target. [model] is empty while the back end holds no weights. */
@Serializable
data class SlotMessage(
    @ProtoNumber(1) val backEnd: String,
    @ProtoNumber(2) val born: Long,
    @ProtoNumber(3) val model: String = "",
    @ProtoNumber(4) val number: Long = 0,
    @ProtoNumber(5) val layers: Int = 0,
    @ProtoNumber(6) val closed: Boolean = false,
    @ProtoNumber(7) val sequence: Long = 0,
)

/** An item of the platform's store at [revision] in [era]; [value] is compressed if [deflated] is set. */
@Serializable
class ItemMessage(
    @ProtoNumber(1) val key: String,
    @ProtoNumber(2) val revision: Long,
    @ProtoNumber(3) val removed: Boolean,
    @ProtoNumber(4) val value: ByteArray,
    @ProtoNumber(5) val era: Long = 0,
    @ProtoNumber(6) val deflated: Boolean = false,
)

/** The chunks of one version that [daemon] holds: the lowest bit of the first byte of [chunks] stands for chunk 0. */
@Serializable
class HoldingMessage(
    @ProtoNumber(1) val model: String,
    @ProtoNumber(2) val number: Long,
    @ProtoNumber(3) val chunks: ByteArray,
    @ProtoNumber(4) val daemon: String,
    @ProtoNumber(5) val address: String,
    @ProtoNumber(6) val ageMilliseconds: Long = 0,
)

/** Requests for [service] of one urgency [level] in the last second, and how many of them wait now. */
@Serializable
data class DemandMessage(
    @ProtoNumber(1) val service: String,
    @ProtoNumber(2) val level: Int,
    @ProtoNumber(3) val arrivals: Int = 0,
    @ProtoNumber(4) val placed: Int = 0,
    @ProtoNumber(5) val refused: Int = 0,
    @ProtoNumber(6) val waiting: Int = 0,
)

/** An age that its sender does not know. */
internal const val UNKNOWN_AGE = -1L

/**
 * State that a daemon announces to a peer. [at] is the sender's store revision: [itemsRequested] asks for the items that changed
 * after it, [peersRequested] for the live peers. [loads] are the requests in flight of [loadDaemons] daemons, and the store last
 * answered the sender [storeContactMilliseconds] ago; as far as it knows, the store has kept answering for [storeSinceMilliseconds].
 * [evidenceDigest] is that of the sender's evidence about crashes, which is sent itself only if the receiver's digest differs. [era] is that
 * of [at], and [demand] comes from the daemons of [loads]. [declarations] and [upToDateMilliseconds] mean what they mean in a [GossipReply].
 * [holdings] are what the sender knows of chunks of weights, and [deflatedAccepted] says that items may come compressed. [configuration] is
 * the revision of the configuration in force at the sender, which a restored store need not hold.
 */
@Serializable
data class GossipMessage(
    @ProtoNumber(1) val self: PeerMessage,
    @ProtoNumber(2) val at: Long,
    @ProtoNumber(3) val itemsRequested: Boolean = false,
    @ProtoNumber(4) val loads: List<InFlightMessage> = emptyList(),
    @ProtoNumber(5) val slot: SlotMessage? = null,
    @ProtoNumber(6) val peersRequested: Boolean = false,
    @ProtoNumber(7) val loadDaemons: Int = 1,
    @ProtoNumber(8) val storeContactMilliseconds: Long = UNKNOWN_AGE,
    @ProtoNumber(9) val evidenceDigest: Long = 0,
    @ProtoNumber(10) val evidence: EvidenceMessage? = null,
    @ProtoNumber(11) val storeSinceMilliseconds: Long = UNKNOWN_AGE,
    @ProtoNumber(12) val holdings: List<HoldingMessage> = emptyList(),
    @ProtoNumber(13) val declarations: List<DeclarationMessage> = emptyList(),
    @ProtoNumber(14) val upToDateMilliseconds: Long = UNKNOWN_AGE,
    @ProtoNumber(15) val demand: List<DemandMessage> = emptyList(),
    @ProtoNumber(16) val era: Long = 0,
    @ProtoNumber(17) val deflatedAccepted: Boolean = false,
    @ProtoNumber(18) val configuration: Long = NO_CONFIGURATION,
)

/**
 * The state of the receiver of a [GossipMessage]. The store last answered it [storeContactMilliseconds] ago, and any daemon that it has
 * heard of [storeHeardMilliseconds] ago; it has kept answering for [storeSinceMilliseconds]. [items] are those that changed, or all that
 * there are if [itemsComplete] is set. [declarations] are those of versions whose limits still run and of the newest one whose limit is over,
 * and the store held nothing beyond [at], a position in [era], [upToDateMilliseconds] ago. [holdings], [demand] and [configuration] are as in the message.
 */
@Serializable
data class GossipReply(
    @ProtoNumber(1) val self: PeerMessage,
    @ProtoNumber(2) val at: Long,
    @ProtoNumber(3) val loads: List<InFlightMessage> = emptyList(),
    @ProtoNumber(4) val livePeers: List<LivePeerMessage> = emptyList(),
    @ProtoNumber(5) val items: List<ItemMessage> = emptyList(),
    @ProtoNumber(6) val loadDaemons: Int = 1,
    @ProtoNumber(7) val storeContactMilliseconds: Long = UNKNOWN_AGE,
    @ProtoNumber(8) val evidenceDigest: Long = 0,
    @ProtoNumber(9) val evidence: EvidenceMessage? = null,
    @ProtoNumber(10) val storeHeardMilliseconds: Long = UNKNOWN_AGE,
    @ProtoNumber(11) val itemsComplete: Boolean = false,
    @ProtoNumber(12) val storeSinceMilliseconds: Long = UNKNOWN_AGE,
    @ProtoNumber(13) val declarations: List<DeclarationMessage> = emptyList(),
    @ProtoNumber(14) val upToDateMilliseconds: Long = UNKNOWN_AGE,
    @ProtoNumber(15) val holdings: List<HoldingMessage> = emptyList(),
    @ProtoNumber(16) val demand: List<DemandMessage> = emptyList(),
    @ProtoNumber(17) val era: Long = 0,
    @ProtoNumber(18) val configuration: Long = NO_CONFIGURATION,
)

@Serializable
class ManifestMessage(
    @ProtoNumber(1) val model: String,
    @ProtoNumber(2) val number: Long,
    @ProtoNumber(3) val digests: List<String>,
)

fun PeerDaemon.toMessage() = PeerMessage(daemon.text, role == DaemonRole.ENTRY, domain.text, region.text, address?.toString().orEmpty())

fun PeerMessage.toPeer() =
    PeerDaemon(
        daemon = DaemonId(daemon),
        role = if (entry) DaemonRole.ENTRY else DaemonRole.TARGET,
        domain = DomainId(domain),
        region = RegionId(region),
        address = addressOrNull(address),
    )

fun LivePeer.toMessage() = LivePeerMessage(peer.toMessage(), age.inWholeMilliseconds)

fun LivePeerMessage.toLivePeer() = LivePeer(peer.toPeer(), ageMilliseconds.milliseconds)

fun Map<TargetId, Int>.toMessages() = map { InFlightMessage(it.key.text, it.value) }

private fun List<InFlightMessage>.toLoads(): Map<TargetId, Int> = associate { TargetId(it.target) to it.inFlight }

/** Returns the messages for the demand of at most [MAX_DEMAND_SERVICES] services, those with most arrivals first. */
fun Map<ServiceId, List<LevelDemand>>.toDemandMessages(): List<DemandMessage> =
    entries
        .sortedByDescending { (_, demand) -> demand.sumOf { it.arrivals } }
        .take(MAX_DEMAND_SERVICES)
        .flatMap { (service, demand) ->
            demand.take(UrgencyLevels.MAX_LEVELS).map {
                DemandMessage(service.text, it.level.index, it.arrivals, it.placed, it.refused, it.waiting)
            }
        }

/** Returns the demand by service; levels that no daemon of this version uses are ignored. */
private fun List<DemandMessage>.toDemand(): Map<ServiceId, List<LevelDemand>> =
    filter { it.level in 0 until UrgencyLevels.MAX_LEVELS }
        .groupBy({ ServiceId(it.service) }, { LevelDemand(UrgencyLevel(it.level), it.arrivals, it.placed, it.refused, it.waiting) })

private const val MAX_DEMAND_SERVICES = 8

/** What a daemon without a configuration tells. */
private const val NO_CONFIGURATION = 0L

/** Returns the number for the configuration in force, if there is one. */
fun Revision?.toConfigurationNumber(): Long = this?.number ?: NO_CONFIGURATION

/** The revision of the configuration in force at the sender; null if it has none. */
val GossipMessage.configurationInForce: Revision? get() = revisionOrNull(configuration)

val GossipReply.configurationInForce: Revision? get() = revisionOrNull(configuration)

private fun revisionOrNull(number: Long) = if (number == NO_CONFIGURATION) null else Revision(number)

val GossipMessage.load: LoadReport get() = LoadReport(loads.toLoads(), loadDaemons, demand.toDemand())

val GossipReply.load: LoadReport get() = LoadReport(loads.toLoads(), loadDaemons, demand.toDemand())

val GossipMessage.storeContactAge: Duration? get() = ageOrNull(storeContactMilliseconds)

val GossipReply.storeContactAge: Duration? get() = ageOrNull(storeContactMilliseconds)

/**
 * Returns since when the store has kept answering, by a message that arrived at [receivedAt]. A beginning before the real one would hide
 * an outage, so the time that the message took isn't subtracted.
 */
fun GossipMessage.storeSince(receivedAt: Duration): Duration? = ageOrNull(storeSinceMilliseconds)?.let { receivedAt - it }

/** Returns the store's contact with the sender of a message that arrived at [receivedAt]; null if it doesn't read the store. */
fun GossipMessage.storeContact(receivedAt: Duration): StoreContact? {
    val last = receivedAt - (storeContactAge ?: return null)
    return StoreContact(minOf(storeSince(receivedAt) ?: last, last), last)
}

/**
 * Returns the store's contact with the daemons that the sender has heard of. Its end counts from the request, sent at [sentAt], so that
 * its age never shrinks on its way from daemon to daemon; its beginning counts from the arrival of the reply.
 */
fun GossipReply.storeContact(
    sentAt: Duration,
    receivedAt: Duration,
): StoreContact? {
    val last = sentAt - (ageOrNull(storeHeardMilliseconds) ?: return null)
    val since = ageOrNull(storeSinceMilliseconds)?.let { receivedAt - it }
    return StoreContact(minOf(since ?: last, last), last)
}

/** How long before a message was written its sender was up to date. The message may be old, so only a reply confirms that to a receiver. */
val GossipMessage.upToDateAge: Duration? get() = ageOrNull(upToDateMilliseconds)

/** Returns the last time at which the store is known to have held nothing beyond the revision of this reply to a message sent at [sentAt]. */
fun GossipReply.upToDateAt(sentAt: Duration): Duration? = ageOrNull(upToDateMilliseconds)?.let { sentAt - it - 1.milliseconds }

/** Returns an age as a message carries it. */
fun Duration?.toMilliseconds(): Long = this?.inWholeMilliseconds ?: UNKNOWN_AGE

internal fun ageOrNull(milliseconds: Long): Duration? = milliseconds.takeIf { it != UNKNOWN_AGE }?.milliseconds

fun SlotWord.toMessage() =
    SlotMessage(backEnd.toString(), born, held?.model?.text.orEmpty(), held?.number?.number ?: 0, held?.layers ?: 0, closed, sequence)

/** Returns null if the address of the back end is invalid. */
fun SlotMessage.toGossipSlot(): SlotWord? {
    val held = if (model.isEmpty()) null else HeldWeights(ModelId(model), WeightNumber(number), layers)
    return addressOrNull(backEnd)?.let { SlotWord(it, born, held, closed, sequence) }
}

val GossipMessage.position: StorePosition get() = StorePosition(StoreEra(era), StoreRevision(at))

val GossipReply.position: StorePosition get() = StorePosition(StoreEra(era), StoreRevision(at))

fun StoreItem.toMessage() = ItemMessage(key, position.revision.number, value == null, value ?: ByteArray(0), era = position.era.number)

/** Returns this item with a compressed value, or as it is if that is small. */
fun ItemMessage.deflated(): ItemMessage =
    if (deflated || value.size < MIN_DEFLATED_BYTES) this else ItemMessage(key, revision, removed, deflate(value), era, deflated = true)

fun ItemMessage.toItem() =
    StoreItem(key, StorePosition(StoreEra(era), StoreRevision(revision)), (if (deflated) inflate(value) else value).takeUnless { removed })

/** Below this size compression saves less than a packet. */
private const val MIN_DEFLATED_BYTES = 2_048

fun WeightManifest.toMessage() = ManifestMessage(model.text, number.number, digests.map { it.hexadecimal })

fun ManifestMessage.toManifest() =
    WeightManifest(
        model = ModelId(model),
        number = WeightNumber(number),
        digests = digests.map { Digest.parse(it) ?: throw MalformedMessage("digest: expected 64 hexadecimal digits, found $it") },
    )
