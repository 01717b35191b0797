/**
 * The configuration of direct mode, in which entry daemons send requests directly to back ends: routes by host and path,
 * services, customers with their API keys, and limits for callers.
 */
package lagoonrudder.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The retry semantics of the requests on a route. */
sealed class RequestKind {
    /** A request that may run any number of times. */
    data object Idempotent : RequestKind()

    /** A request that must run at most once. */
    data object AtMostOnce : RequestKind()

    /** A stream of events. [maxEventGap] is the maximum time between two events of a response that counts as timely. */
    data class Stream(
        val resumable: Boolean,
        val maxEventGap: Duration?,
    ) : RequestKind() {
        /** Returns the time without an event after which callers abandon a stream on a route with [latencyObjective]. */
        fun callerPatience(latencyObjective: Duration): Duration =
            maxOf(MIN_CALLER_PATIENCE, latencyObjective * PATIENCE_IN_OBJECTIVES, (maxEventGap ?: Duration.ZERO) * PATIENCE_IN_EVENT_GAPS)

        /**
         * Returns how long a back end may go without a new event before another one takes over. It is half of the caller's
         * patience, so that the other half is left to the second back end.
         */
        fun progressTimeout(latencyObjective: Duration): Duration = callerPatience(latencyObjective) / 2

        private companion object {
            /** The longest of these gaps counts, also before the first event. */
            val MIN_CALLER_PATIENCE = 2.seconds
            const val PATIENCE_IN_OBJECTIVES = 4
            const val PATIENCE_IN_EVENT_GAPS = 8
        }
    }

    /** Whether the request may be retried on another back end although the first one may have run it. */
    val retryable: Boolean
        get() =
            when (this) {
                Idempotent -> true
                AtMostOnce -> false
                is Stream -> resumable
            }
}

/** Sends a share of the requests of a route, in proportion to [weight], to [service]. */
data class ServiceShare(
    val service: ServiceId,
    val weight: Double,
)

/**
 * A route, matched by host and path prefix. [attempts] is the maximum number of back ends to which one request may be sent.
 * An empty set of [homeRegions] means every region.
 */
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

/** The layout of the weights of a service's models in layers and chunks. */
data class WeightLayout(
    val models: List<ModelId>,
    val layers: Int,
    val chunkCount: Int,
    val chunkBytes: Int,
)

/** A pool of back ends. [coldRequestsPerSecond] is the rate limit of a cold back end, or null when there is none. */
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

/** Who may call the routes that are not open. */
sealed class CallerAccess {
    /** Anyone: the configuration does not speak of customers, so no request needs an API key. */
    data object Anyone : CallerAccess()

    /** Only [customers], by their API keys. Without customers, or without keys, nobody. */
    data class OnlyCustomers(
        val customers: List<ServingCustomer>,
    ) : CallerAccess()
}

/**
 * Returns the rank of a request, of which the lowest is the most urgent: by the priority of its customer, or of its route if the customer has
 * none, and by that of its route among customers of one priority.
 */
fun rankOf(
    customerPriority: Int?,
    routePriority: Int,
): Int {
    val first = (customerPriority ?: routePriority).coerceIn(-MAX_PRIORITY, MAX_PRIORITY)
    return first * PRIORITY_STEP + routePriority.coerceIn(-MAX_PRIORITY, MAX_PRIORITY)
}

private const val MAX_PRIORITY = 10_000
private const val PRIORITY_STEP = 2 * MAX_PRIORITY + 1

/** Limits on the size and duration of requests from callers. */
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
    val access: CallerAccess,
    val limits: CallerLimits,
) {
    /** The customers that the configuration names. Whether requests need a key is up to [access]. */
    val customers: List<ServingCustomer>
        get() =
            when (access) {
                CallerAccess.Anyone -> emptyList()
                is CallerAccess.OnlyCustomers -> access.customers
            }

    private val routesByHost = routes.groupBy { it.host }.mapValues { (_, routes) -> routes.sortedByDescending { it.prefix.length } }
    private val customersByKey = customers.flatMap { customer -> customer.apiKeys.map { it to customer } }.toMap()
    private val servicesById = services.associateBy { it.id }

    /** Returns the route of [host] whose prefix is the longest that matches [path]. */
    fun route(
        host: String,
        path: String,
    ): ServingRoute? = routesByHost[host]?.firstOrNull { path.startsWith(it.prefix) }

    fun customerByApiKey(key: String): ServingCustomer? = customersByKey[key]

    fun service(id: ServiceId): ServingService? = servicesById[id]

    /** Returns the layout of [model], which all services that serve it share. */
    fun weightLayout(model: ModelId): WeightLayout? = services.mapNotNull { it.weights }.firstOrNull { model in it.models }

    /** Returns whether a request on [route] may run for [customer], the holder of its API key; null if nobody holds it. */
    fun admits(
        route: ServingRoute,
        customer: ServingCustomer?,
    ): Boolean =
        when (access) {
            CallerAccess.Anyone -> true
            is CallerAccess.OnlyCustomers -> route.open || customer != null
        }
}

/** The weights that a back end holds: the first [layers] layers, without gaps. */
data class HeldWeights(
    val model: ModelId,
    val number: WeightNumber,
    val layers: Int,
)

/** The registration of a back end. [born] is its start time in epoch milliseconds, [coldFor] the time for which it stays cold. */
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
) {
    val run: BackEndRun get() = BackEndRun(id, born)
}

/** One run of a back end, from its start to its end. */
data class BackEndRun(
    val target: TargetId,
    val born: Long,
)

/** What a back end says of itself in an answer. */
sealed class BackEndNotice {
    /** It will end soon and wants no further request. */
    data object Leaving : BackEndNotice()

    /** It wants no request from this daemon for [duration]. */
    data class ClosedFor(
        val duration: Duration,
    ) : BackEndNotice()
}

/** A decoded item of the platform's key-value store. */
sealed class StoreRecord {
    data class Configuration(
        val set: ServingConfiguration,
    ) : StoreRecord()

    /** While this item exists, no new requests may be sent to the back ends of [domain]. */
    data class DomainEvacuation(
        val domain: DomainId,
    ) : StoreRecord()

    /** Declares [number] as the version that the back ends of [model] must hold. */
    data class VersionDeclaration(
        val model: ModelId,
        val number: WeightNumber,
    ) : StoreRecord()

    /** [sequence] counts how often a run of the back end has renewed its registration; null if it doesn't say. */
    data class Registered(
        val backEnd: BackEnd,
        val sequence: Long? = null,
    ) : StoreRecord()

    /** An item that could not be decoded. [detail] names the error. */
    data class Unreadable(
        val detail: String,
    ) : StoreRecord()
}
