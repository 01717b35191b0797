/**
 * What can be exchanged in a daemon without a setting: the clock, the policies, and what happens on a violation.
 */
package lagoonrudder.daemon

import io.ktor.client.HttpClient
import lagoonrudder.control.LoadBalancingPolicy
import lagoonrudder.control.LimitPolicy
import lagoonrudder.control.QueuePolicy
import lagoonrudder.control.ResponseBufferPolicy
import lagoonrudder.control.IdempotencyPolicy
import lagoonrudder.control.SourcePolicy
import lagoonrudder.control.DisseminationPolicy
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
    var choice: LoadBalancingPolicy = LoadBalancingPolicy.FreshRoom()
    var queue: QueuePolicy = QueuePolicy.WeightedFair
    var limit: LimitPolicy = LimitPolicy.Adaptive()
    var sources: SourcePolicy = SourcePolicy.Striped
    var spread: DisseminationPolicy = DisseminationPolicy.Tree()
    var repeats: IdempotencyPolicy = IdempotencyPolicy()
    var send: SendLimits = SendLimits()
    var engine: EngineLimits = EngineLimits()

    /** Takes the place of the reader memory in the settings when it is set. */
    var readers: ResponseBufferPolicy? = null

    /** A client to share between daemons of one process; each has its own when this is null. */
    var http: HttpClient? = null

    /** Called for each violated invariant, after it was logged. */
    var onViolation: (Violation) -> Unit = {}
}
