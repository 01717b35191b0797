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
 * What the identify filter found. [endsAt] is when the caller or the route stops waiting; [isLate] tells that the caller has
 * waited longer than the route's objective before it sent this, for example because an earlier request was refused.
 */
class DirectIdentity(
    val revision: Revision,
    val route: ServingRoute,
    val customer: ServingCustomer?,
    val service: ServiceId,
    val endsAt: Duration,
    val priority: Int,
    val homeRegions: List<Set<RegionId>>,
    val isLate: Boolean,
) {
    /** What is left of the caller's and the route's time. */
    fun timeLeft(clock: Clock): Duration = endsAt - clock.elapsed()
}

/** One attempt and how it went, for the log. */
data class AttemptRecord(
    val target: TargetId,
    val result: String,
)

class DirectCall(
    val request: CallerRequest,
    val answer: CallerAnswer,
    val receivedAt: Duration,
) {
    private var known: DirectIdentity? = null
    val attempts = mutableListOf<AttemptRecord>()
    var waited: Duration = Duration.ZERO
    var firstEventAfter: Duration? = null
    var lastFailure: Failure? = null

    val identityOrNull: DirectIdentity? get() = known

    /** What the identify filter found; only filters after it may ask. */
    val identity: DirectIdentity get() = checkNotNull(known) { "asked before the identify filter" }

    fun identify(identity: DirectIdentity) {
        known = identity
    }
}
