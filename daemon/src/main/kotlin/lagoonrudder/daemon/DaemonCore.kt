/**
 * Resources that daemons of both roles share: the control thread with the controllers of configuration and membership, the
 * clients of peers and of the platform, the log and the metrics.
 */
package lagoonrudder.daemon

import io.ktor.client.HttpClient
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import lagoonrudder.control.ConfigurationController
import lagoonrudder.control.ControlThread
import lagoonrudder.control.DisseminationController
import lagoonrudder.control.MembershipController
import lagoonrudder.control.ServingController
import lagoonrudder.daemon.observe.DaemonMetrics
import lagoonrudder.daemon.observe.EventLog
import lagoonrudder.daemon.platform.ConfigurationService
import lagoonrudder.daemon.settings.DaemonSettings
import lagoonrudder.model.Clock
import lagoonrudder.model.IncarnationId
import lagoonrudder.model.Invariants
import lagoonrudder.wire.rpc.RpcClient
import kotlin.random.Random

class DaemonCore(
    val settings: DaemonSettings,
    val options: DaemonOptions,
    val http: HttpClient,
) : AutoCloseable {
    val clock: Clock = options.clock
    val random = Random(options.seed)
    val incarnation = IncarnationId(random.nextLong().toULong().toString(HEXADECIMAL_RADIX))
    val log = EventLog(settings.name.text)
    val invariants =
        Invariants { violation ->
            log.invariantViolation(violation)
            options.onViolation(violation)
        }
    val thread = ControlThread.start(settings.name.text, clock, invariants)
    val configuration = ConfigurationController(invariants)
    val membership = MembershipController(settings.name)
    val dissemination = DisseminationController(settings.name, options.dissemination, random)
    val service = ServingController(settings.domain, settings.slot?.target)
    val metrics = DaemonMetrics(thread, invariants)
    val rpc = RpcClient()
    val platform = ConfigurationService(http, settings.platform.configuration)
    val scope =
        CoroutineScope(
            SupervisorJob() + Dispatchers.Default +
                CoroutineExceptionHandler { _, error -> log.error("coroutine-failed", "error" to error.stackTraceToString()) },
        )

    override fun close() {
        scope.cancel()
        rpc.close()
        thread.close()
    }

    private companion object {
        const val HEXADECIMAL_RADIX = 16
    }
}
