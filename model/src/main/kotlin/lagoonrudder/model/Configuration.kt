/**
 * What operators publish where entry daemons send requests straight to back ends: routes by host and path, services,
 * customers with their keys, and the limits for callers.
 */
package lagoonrudder.model

import kotlin.time.Duration

/** What may be repeated on a route. */
sealed class RequestKind {
    /** May run any number of times. */
    data object Idempotent : RequestKind()

    /** Runs at most once for each request of a caller. */
    data object AtMostOnce : RequestKind()

    /** A stream of events; [maxEventGap] is the longest pause between events of an answer in time. */
    data class Stream(
        val resumable: Boolean,
        val maxEventGap: Duration?,
    ) : RequestKind()

    /** Whether a second back end may run the request after the first may have. */
    val retryable: Boolean
        get() =
            when (this) {
                Idempotent -> true
                AtMostOnce -> false
                is Stream -> resumable
            }
}

/** A part of a route's requests, in proportion to [weight], goes to [service]. */
data class ServiceShare(
    val service: ServiceId,
    val weight: Double,
)

/** [attempts] bounds the back ends that one request may be sent to; an empty set of [homeRegions] means every region. */
data class ServingRoute(
    val id: RouteId,
    val host: String,
    val prefix: String,
    val kind: RequestKind,
    val timeout: Duration,
    val latencyObjective: Duration,
    val priority: Int,
    val attempts: Int,
    val shares: List<ServiceShare>,
    val open: Boolean,
    val homeRegions: Set<RegionId>,
)

/** How the weights of a service's models are cut into pieces. */
data class WeightLayout(
    val models: List<ModelId>,
    val layers: Int,
    val chunkCount: Int,
    val chunkBytes: Int,
)

/** [coldRequestsPerSecond] is what a back end bears just after its start, or null when it has no such bound. */
data class ServingService(
    val id: ServiceId,
    val maxConnections: Int,
    val coldRequestsPerSecond: Double?,
    val weights: WeightLayout?,
    val origin: Address?,
    val originDomain: DomainId?,
)

data class ServingCustomer(
    val id: CustomerId,
    val apiKeys: Set<String>,
    val priority: Int?,
    val homeRegions: Set<RegionId>,
)

/** What a caller may send and how long it may take. */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)

data class ServingConfiguration(
    val revision: Revision,
    val routes: List<ServingRoute>,
    val services: List<ServingService>,
    val customers: List<ServingCustomer>,
    val limits: CallerLimits,
) {
    private val routesByHost = routes.groupBy { it.host }.mapValues { (_, routes) -> routes.sortedByDescending { it.prefix.length } }
    private val customersByKey = customers.flatMap { customer -> customer.apiKeys.map { it to customer } }.toMap()
    private val servicesById = services.associateBy { it.id }

    /** The route of [host] with the longest prefix of [path]. */
    fun route(
        host: String,
        path: String,
    ): ServingRoute? = routesByHost[host]?.firstOrNull { path.startsWith(it.prefix) }

    fun customerByApiKey(key: String): ServingCustomer? = customersByKey[key]

    fun service(id: ServiceId): ServingService? = servicesById[id]

    val requiresApiKeys: Boolean get() = customers.isNotEmpty()
}

/** The weights that a back end holds: the first [layers] layers, without a gap. */
data class HeldWeights(
    val model: ModelId,
    val number: WeightNumber,
    val layers: Int,
)

/** A back end as it registers itself. [born] is the wall-clock millisecond of its start; [coldFor] how long it stays cold. */
data class BackEnd(
    val id: TargetId,
    val service: ServiceId,
    val address: Address,
    val domain: DomainId,
    val slots: Int,
    val leaving: Boolean,
    val coldFor: Duration,
    val born: Long,
    val weights: HeldWeights?,
)

/** One item of the platform's store after it was read. */
sealed class StoreRecord {
    data class Configuration(
        val set: ServingConfiguration,
    ) : StoreRecord()

    /** Nothing new is to be sent to back ends of [domain] while this item is there. */
    data class DomainEvacuation(
        val domain: DomainId,
    ) : StoreRecord()

    /** [number] is the version that back ends of [model] are to hold. */
    data class VersionDeclaration(
        val model: ModelId,
        val number: WeightNumber,
    ) : StoreRecord()

    data class Registered(
        val backEnd: BackEnd,
    ) : StoreRecord()

    /** An item that says nothing usable; [detail] names what is wrong with it. */
    data class Unreadable(
        val detail: String,
    ) : StoreRecord()
}
