/**
 * Connects the servers of this process to the budget of memory that the bodies of requests may use.
 */
package lagoonrudder.daemon.direct

import lagoonrudder.http.BodyMemory
import lagoonrudder.traffic.direct.BodyDecision
import lagoonrudder.traffic.direct.RequestBodyBudget
import kotlin.time.Duration

internal class SharedBodyMemory(
    private val bodies: RequestBodyBudget,
) : BodyMemory {
    override fun reserve(
        bytes: Long,
        before: Long,
    ): Duration? =
        when (val decision = bodies.reserve(bytes, before)) {
            BodyDecision.Granted -> null
            is BodyDecision.Refused -> decision.retryAfter
        }

    override fun release(bytes: Long) = bodies.release(bytes)
}
