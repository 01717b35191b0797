/**
 * Connects the servers of this process to the controller that decides how much memory the bodies of requests may use.
 */
package lagoonrudder.daemon.direct

import lagoonrudder.control.direct.BodyDecision
import lagoonrudder.control.direct.RequestBodyController
import lagoonrudder.http.BodyMemory
import kotlin.time.Duration

internal class SharedBodyMemory(
    private val bodies: RequestBodyController,
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
