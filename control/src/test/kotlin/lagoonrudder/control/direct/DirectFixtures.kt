package lagoonrudder.control.direct

import lagoonrudder.model.Address
import lagoonrudder.model.BackEnd
import lagoonrudder.model.CallerAccess
import lagoonrudder.model.CallerLimits
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.ModelId
import lagoonrudder.model.RegionId
import lagoonrudder.model.RequestKind
import lagoonrudder.model.Revision
import lagoonrudder.model.RouteId
import lagoonrudder.model.ServiceId
import lagoonrudder.model.ServiceShare
import lagoonrudder.model.ServingConfiguration
import lagoonrudder.model.ServingRoute
import lagoonrudder.model.ServingService
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightLayout
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

internal val MODEL = ModelId("model")
internal val ENGINES = ServiceId("engines")
internal val NEAR = DomainId("near")
internal val FAR = DomainId("far")
internal val REGIONS = mapOf(NEAR to RegionId("near-region"), FAR to RegionId("far-region"))
internal const val LAYERS = 16
internal val VERSION_LIMIT = 8.seconds

internal fun backEnd(
    name: String,
    domain: DomainId = NEAR,
    number: Long? = 1,
    leaving: Boolean = false,
    born: Long = 1,
) = BackEnd(
    id = TargetId(name),
    service = ENGINES,
    address = Address("10.0.0.${name.hashCode().mod(200) + 1}", 80),
    domain = domain,
    slots = 4,
    leaving = leaving,
    coldFor = Duration.ZERO,
    born = born,
    weights = number?.let { HeldWeights(MODEL, WeightNumber(it), LAYERS) },
)

internal fun servingSet(
    revision: Long,
    cold: Double? = null,
) = ServingConfiguration(
    revision = Revision(revision),
    routes = emptyList(),
    services =
        listOf(
            ServingService(ENGINES, 100, cold, WeightLayout(listOf(MODEL), LAYERS, 2, 8), null, null),
            ServingService(ServiceId("origin"), 100, null, null, Address("10.9.9.9", 80), FAR),
        ),
    access = CallerAccess.Anyone,
    limits = CallerLimits(1_000, 1_000, 1.seconds, 1.seconds),
)

internal fun route(kind: RequestKind) =
    ServingRoute(
        id = RouteId("route"),
        host = "host",
        prefix = "/",
        kind = kind,
        timeout = 6.seconds,
        latencyObjective = 1.seconds,
        priority = 1,
        attempts = 2,
        shares = listOf(ServiceShare(ENGINES, 1.0)),
        open = true,
        homeRegions = emptySet(),
    )

internal fun item(
    key: String,
    revision: Long,
    published: StoreRecord?,
) = DecodedItem(StoreItem(key, revision, if (published == null) null else ByteArray(0)), published)

internal fun registered(
    backEnd: BackEnd,
    revision: Long,
) = item("servers/${backEnd.id.text}", revision, StoreRecord.Registered(backEnd))

internal fun peer(
    name: String,
    domain: DomainId = NEAR,
) = PeerDaemon(DaemonId(name), DaemonRole.ENTRY, domain, REGIONS.getValue(domain), Address("10.1.0.${name.hashCode().mod(200) + 1}", 70))

/** Records the requests in flight that [peer] reports for itself. */
internal fun PeerController.onGossipReceived(
    peer: PeerDaemon,
    inFlight: Map<TargetId, Int>,
    now: Duration,
) = onGossipReceived(peer, LoadReport(inFlight, 1), storeContactAge = null, now)

/** Applies changes of a store that states no era. */
internal fun StoreViewController.applyChanges(
    changes: List<DecodedItem>,
    upTo: Long,
    now: Duration,
    asOf: Duration = now,
) = applyChanges(changes, StorePosition.unstated(upTo), now, asOf)

internal fun StoreViewController.applySnapshot(
    all: List<DecodedItem>,
    upTo: Long,
    now: Duration,
    asOf: Duration = now,
) = applySnapshot(all, StorePosition.unstated(upTo), now, asOf)

internal fun StoreViewController.applySettledChanges(
    changes: List<DecodedItem>,
    upTo: Long,
    now: Duration,
) = applySettledChanges(changes, StorePosition.unstated(upTo), now)

internal fun StoreViewController.applySettledSnapshot(
    all: List<DecodedItem>,
    upTo: Long,
    now: Duration,
) = applySettledSnapshot(all, StorePosition.unstated(upTo), now)

internal fun StoreViewController.itemsSince(after: Long) = itemsSince(StorePosition.unstated(after))

/** Records that the store answers again at [at] after a long outage. */
internal fun StoreViewController.onStoreBack(at: Duration) {
    onStoreHeard(at - 10.seconds)
    onStoreHeard(at)
}
