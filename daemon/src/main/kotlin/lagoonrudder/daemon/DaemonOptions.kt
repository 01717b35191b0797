/**
 * Options of a daemon that code can set and settings cannot: the clock, the policies, and the handler of violations.
 */
package lagoonrudder.daemon

import io.ktor.client.HttpClient
import lagoonrudder.control.DisseminationPolicy
import lagoonrudder.control.IdempotencyPolicy
import lagoonrudder.control.LimitPolicy
import lagoonrudder.control.LoadBalancingPolicy
import lagoonrudder.control.QueuePolicy
import lagoonrudder.control.ResponseBufferPolicy
import lagoonrudder.control.SourcePolicy
import lagoonrudder.model.Clock
import lagoonrudder.model.SystemClock
import lagoonrudder.model.Violation
import lagoonrudder.traffic.entry.SendLimits
import lagoonrudder.traffic.target.EngineLimits

@DslMarker
annotation class DaemonDsl

@DaemonDsl
class DaemonOptions {
    var clock: Clock = SystemClock()
    var seed: Long = System.nanoTime()
    var loadBalancing: LoadBalancingPolicy = LoadBalancingPolicy.FreshRoom()
    var queue: QueuePolicy = QueuePolicy.WeightedFair
    var limit: LimitPolicy = LimitPolicy.Adaptive()
    var sources: SourcePolicy = SourcePolicy.Striped
    var dissemination: DisseminationPolicy = DisseminationPolicy.Tree()
    var idempotency: IdempotencyPolicy = IdempotencyPolicy()
    var send: SendLimits = SendLimits()
    var engine: EngineLimits = EngineLimits()

    /** Overrides the policy in the settings when it is not null. */
    var responseBuffers: ResponseBufferPolicy? = null

    /** A client to share between daemons of one process; each daemon creates its own when this is null. */
    var http: HttpClient? = null

    /** Called for each violation of an invariant, after it was logged. */
    var onViolation: (Violation) -> Unit = {}
}
