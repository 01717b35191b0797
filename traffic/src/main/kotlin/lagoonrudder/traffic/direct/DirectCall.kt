/**
 * A request in the filter chain of the direct mode, with the results of each filter.
 */
package lagoonrudder.traffic.direct

import lagoonrudder.model.Clock
import lagoonrudder.model.Failure
import lagoonrudder.model.RegionId
import lagoonrudder.model.Revision
import lagoonrudder.model.ServiceId
import lagoonrudder.model.ServingCustomer
import lagoonrudder.model.ServingRoute
import lagoonrudder.model.TargetId
import kotlin.time.Duration

/**
 * The result of [DirectIdentifyFilter]. [deadline] is the time at which the caller or the route stops waiting; [isLate] is set
 * if the caller had waited longer than the route's latency objective before it sent this request, for example because an
 * earlier request was refused.
 */
class DirectRequestContext(
    val revision: Revision,
    val route: ServingRoute,
    val customer: ServingCustomer?,
    val service: ServiceId,
    val deadline: Duration,
    val priority: Int,
    val homeRegions: List<Set<RegionId>>,
    val isLate: Boolean,
) {
    /** Returns this context with an earlier [deadline]. */
    fun endingBy(deadline: Duration) = DirectRequestContext(revision, route, customer, service, deadline, priority, homeRegions, isLate)

    /** Returns the time left until the deadline. */
    fun timeLeft(clock: Clock): Duration = deadline - clock.elapsed()
}

/** One attempt, its result and the number of events that it received, for the log. */
data class AttemptRecord(
    val target: TargetId,
    val result: String,
    val events: Int,
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
