/**
 * The filter that sends requests to back ends, and its limits.
 */
package lagoonrudder.traffic.direct

import lagoonrudder.model.Outcome
import lagoonrudder.traffic.Filter
import lagoonrudder.traffic.Next
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of one request. [resume] is the time that a started stream may spend in the queue. [progress] is the time without progress
 * after which another back end is tried for a response that is not a stream; that of a stream depends on its route.
 * [rejections] is the maximum number of back ends that may reject one request.
 */
data class DirectLimits(
    val progress: Duration = 1_200.milliseconds,
    val resume: Duration = 800.milliseconds,
    val rejections: Int = 4,
    val retryAfter: Duration = 1.seconds,
)

class DirectSendFilter(
    private val control: DirectControl,
    private val client: BackEndClient,
    private val limits: DirectLimits,
    private val onLateVersion: (DirectCall, LateVersion) -> Unit,
) : Filter<DirectCall> {
    override suspend fun handle(
        call: DirectCall,
        next: Next<DirectCall>,
    ): Outcome = DirectSendOperation(call, control, client, limits, onLateVersion).run()
}
