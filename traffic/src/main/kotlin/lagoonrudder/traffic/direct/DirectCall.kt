/**
 * A request in the filter chain of the direct mode, with the results of each filter.
 */
package lagoonrudder.traffic.direct

import lagoonrudder.control.direct.DeclaredWeights
import lagoonrudder.control.direct.KnownVersions
import lagoonrudder.model.Clock
import lagoonrudder.model.Failure
import lagoonrudder.model.RegionId
import lagoonrudder.model.Revision
import lagoonrudder.model.ServiceId
import lagoonrudder.model.ServingCustomer
import lagoonrudder.model.ServingRoute
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration

/**
 * The result of [DirectIdentifyFilter]. [deadline] is the time at which the caller or the route stops waiting; [isLate] is set
 * if the caller had waited longer than the route's latency objective before it sent this request, for example because an
 * earlier request was refused. [rank] orders requests by urgency, and [priority] is what back ends are told.
 */
class DirectRequestContext(
    val revision: Revision,
    val route: ServingRoute,
    val customer: ServingCustomer?,
    val service: ServiceId,
    val deadline: Duration,
    val priority: Int,
    val rank: Int,
    val homeRegions: List<Set<RegionId>>,
    val isLate: Boolean,
) {
    /** Returns this context with an earlier [deadline]. */
    fun endingBy(deadline: Duration) =
        DirectRequestContext(revision, route, customer, service, deadline, priority, rank, homeRegions, isLate)

    /** Returns the time left until the deadline. */
    fun timeLeft(clock: Clock): Duration = deadline - clock.elapsed()
}

/** One attempt, its result and the number of events that it received, for the log; [versions] is null for a back end without weights. */
data class AttemptRecord(
    val target: TargetId,
    val result: String,
    val events: Int,
    val versions: AttemptVersions? = null,
)

/**
 * The versions that an attempt met, for the log: what was [known] at the choice of its back end, the version [required] of it then, and
 * the [number] of its response. [headAfter] and [firstEventAfter] count from the choice; null if they did not come.
 */
data class AttemptVersions(
    val required: WeightNumber?,
    val known: KnownVersions,
    val number: WeightNumber?,
    val headAfter: Duration?,
    val firstEventAfter: Duration?,
)

/** A request whose first event came from [target] on an older version than [declared], [age] after its limit began to count. */
data class LateVersion(
    val target: TargetId,
    val declared: DeclaredWeights,
    val age: Duration,
    val versions: AttemptVersions,
    val isResumed: Boolean,
)

class DirectCall(
    val request: DirectRequest,
    val response: CallerResponse,
    val receivedAt: Duration,
) {
    private var identified: DirectRequestContext? = null
    val attempts = mutableListOf<AttemptRecord>()
    var queueTime: Duration = Duration.ZERO
    var timeToFirstEvent: Duration? = null
    var lastFailure: Failure? = null

    /** The version that produced the response, if its back end told one. */
    var number: WeightNumber? = null

    /** Whether an attempt was handed to the client, so that a back end may have the request. */
    var mayBeSent = false

    /** Whether a part of a response was handed to the caller's connection. */
    var hasBegun = false

    val contextOrNull: DirectRequestContext? get() = identified

    /** The result of the identify filter; available to later filters only. */
    val context: DirectRequestContext get() = checkNotNull(identified) { "request context read before the identify filter set it" }

    fun identify(context: DirectRequestContext) {
        identified = context
    }
}
