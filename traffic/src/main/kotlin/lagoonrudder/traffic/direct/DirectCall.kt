/**
 * A request on its way through the filters of the direct way, with what each filter found out.
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
 * What the identify filter found. [deadline] is when the caller or the route stops waiting; [isLate] tells that the caller has
 * waited longer than the route's objective before it sent this, for example because an earlier request was refused.
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
    /** What is left of the caller's and the route's time. */
    fun timeLeft(clock: Clock): Duration = deadline - clock.elapsed()
}

/** One attempt and how it went, for the log. */
data class AttemptRecord(
    val target: TargetId,
    val result: String,
)

class DirectCall(
    val request: DirectRequest,
    val answer: CallerResponse,
    val receivedAt: Duration,
) {
    private var known: DirectRequestContext? = null
    val attempts = mutableListOf<AttemptRecord>()
    var queueTime: Duration = Duration.ZERO
    var timeToFirstEvent: Duration? = null
    var lastFailure: Failure? = null

    val contextOrNull: DirectRequestContext? get() = known

    /** What the identify filter found; only filters after it may ask. */
    val context: DirectRequestContext get() = checkNotNull(known) { "asked before the identify filter" }

    fun identify(context: DirectRequestContext) {
        known = context
    }
}
