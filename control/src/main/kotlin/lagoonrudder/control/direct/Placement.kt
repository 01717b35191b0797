/**
 * The requests that [PlacementController] places, and what it decides about them.
 */
package lagoonrudder.control.direct

import kotlinx.coroutines.CompletableDeferred
import lagoonrudder.control.direct.admission.UrgencyLevel
import lagoonrudder.control.direct.admission.WaitLimit
import lagoonrudder.model.BackEnd
import lagoonrudder.model.CustomerId
import lagoonrudder.model.DomainId
import lagoonrudder.model.PromptPartId
import lagoonrudder.model.Refusal
import lagoonrudder.model.RegionId
import lagoonrudder.model.ServiceId
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration

/** The failure domain of this daemon, and the region of each failure domain. */
data class Topology(
    val domain: DomainId,
    val regions: Map<DomainId, RegionId>,
)

/** The limits of the deployment: [coldRatio] and [coldAllowance] scale and extend the request rate of a cold back end. */
data class PlacementBounds(
    val coldRatio: Double,
    val coldAllowance: Double,
)

/**
 * The requirements of a request on its back end. [excluded] are the back ends that it must not be sent to again, [number] is the
 * version that produced the start of its response, if any, [promptTokens] the length of its prompt as stated by the caller, and
 * [isLate] is set if its latency objective had passed before it arrived. [wait] limits how long it may be queued, and its caller
 * waits for [timeLeft]. [parts] are those of its prompt that other requests may share, and [mayHaveRun] is set if a back end may have
 * run an earlier attempt.
 */
data class PlacementRequest(
    val service: ServiceId,
    val customer: CustomerId?,
    val rank: Int,
    val homeRegions: List<Set<RegionId>>,
    val excluded: Set<TargetId>,
    val number: WeightNumber?,
    val promptTokens: Int,
    val isLate: Boolean,
    val wait: WaitLimit,
    val timeLeft: Duration,
    val parts: Set<PromptPartId> = emptySet(),
    val mayHaveRun: Boolean = false,
)

/** A request for a back end that was accepted for a decision; [result] completes within [wait]. */
class PlacementTicket(
    val result: CompletableDeferred<Placement>,
    val wait: Duration,
)

/** How long an attempt occupied its back end, and when the first event of its response came; null if none came. */
data class AttemptTimes(
    val held: Duration,
    val firstEvent: Duration?,
)

sealed class Placement {
    /**
     * [number] is the version that the back end must still hold, null if the request may run on each one, and [beginLimit] tells until when
     * the request may begin there. [versions] tells for the log what was known; null for a back end without weights.
     * [level] is the urgency of the request, null if the requests of the service don't differ in rank.
     * With [isProbe] the request finds out whether a part of its prompt crashes back ends.
     */
    data class Placed(
        val backEnd: BackEnd,
        val number: WeightNumber?,
        val beginLimit: BeginLimit,
        val versions: KnownVersions? = null,
        val level: UrgencyLevel? = null,
        val isProbe: Boolean = false,
    ) : Placement()

    data class Refused(
        val refusal: Refusal,
        val reason: String,
    ) : Placement()
}
