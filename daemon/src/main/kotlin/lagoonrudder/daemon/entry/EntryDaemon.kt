/**
 * The entry daemon, which accepts requests from callers and sends them to targets.
 */
package lagoonrudder.daemon.entry

import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import lagoonrudder.control.AdmissionController
import lagoonrudder.control.DumpSection
import lagoonrudder.control.ResponseBufferController
import lagoonrudder.control.RoutingController
import lagoonrudder.control.ServingState
import lagoonrudder.control.UploadController
import lagoonrudder.daemon.Daemon
import lagoonrudder.daemon.DaemonAddresses
import lagoonrudder.daemon.DaemonCore
import lagoonrudder.daemon.PeerRpcHandler
import lagoonrudder.daemon.configuration.ConfigurationSyncLoop
import lagoonrudder.daemon.front.CallerServer
import lagoonrudder.daemon.front.CompletionDecoder
import lagoonrudder.daemon.operators.DaemonDiagnostics
import lagoonrudder.daemon.operators.OperatorServer
import lagoonrudder.model.Address
import lagoonrudder.model.Outcome
import lagoonrudder.model.RequestId
import lagoonrudder.traffic.FilterChain
import lagoonrudder.traffic.entry.AccountingFilter
import lagoonrudder.traffic.entry.AdmissionFilter
import lagoonrudder.traffic.entry.EntryCall
import lagoonrudder.traffic.entry.EntryControl
import lagoonrudder.traffic.entry.IdentifyFilter
import lagoonrudder.traffic.entry.RelayFilter
import lagoonrudder.traffic.entry.SendFilter
import lagoonrudder.traffic.entry.entryFilters
import lagoonrudder.wire.rpc.RpcServer
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EntryDaemon(
    override val core: DaemonCore,
) : Daemon,
    DaemonDiagnostics {
    private val settings = core.settings
    private val uploads = UploadController(settings.limits.uploadBytes)
    private val control =
        EntryControl(
            thread = core.thread,
            clock = core.clock,
            domain = settings.domain,
            configuration = core.configuration,
            membership = core.membership,
            routing = RoutingController(settings.name.text, settings.domain, core.options.loadBalancing, core.random),
            admission = AdmissionController(core.options.queue, settings.limits.queue, core.invariants),
            readers = ResponseBufferController(core.options.responseBuffers ?: settings.limits.responseBuffers, core.invariants),
            service = core.service,
        )
    private val reports = TargetReportLoop(core, control)
    private val configuration = ConfigurationSyncLoop(core) { onConfigurationChanged() }
    private val callerServer = CallerServer(core, FilterChain(filters()), uploads, checkNotNull(settings.listen.callers))
    private val operators = OperatorServer(core, this)
    private var rpcServer: RpcServer? = null

    override suspend fun start(): DaemonAddresses {
        val rpc = RpcServer.start(settings.listen.rpc, core.scope.coroutineContext, PeerRpcHandler(configuration), null)
        rpcServer = rpc
        val addresses = DaemonAddresses(Address(settings.listen.rpc.host, rpc.port), callerServer.start(), operators.start())
        configuration.start()
        core.scope.launch { runTicks() }
        core.log.info(
            "started",
            "role" to "entry",
            "rpc" to addresses.rpc,
            "callers" to addresses.callers,
            "operators" to addresses.operators,
        )
        return addresses
    }

    override suspend fun stop() {
        core.log.info("leaving", "in-hand" to core.thread.decide { core.service.active() })
        core.thread.decide { core.service.beginShutdown() }
        core.service.drained.await()
        core.log.info("stopped")
        close()
    }

    override fun close() {
        rpcServer?.close()
        core.scope.launch { callerServer.close() }
        operators.close()
        callerServer.close()
        core.close()
    }

    override fun ready(): Boolean = core.service.state(core.configuration.current.objects, mayServe()) is ServingState.Serving

    override fun status(): String =
        "name=${settings.name.text} role=entry domain=${settings.domain.text} ready=${ready()} " +
            "revision=${core.configuration.current.revision.number} in-hand=${core.service.active()} violations=${core.invariants.total()}"

    override fun dump(): List<DumpSection> = control.dump() + uploads.dump()

    private fun mayServe(): Boolean = core.configuration.mayServe(core.clock.elapsed())

    private fun onConfigurationChanged() {
        control.configured()
        reports.updateSubscriptions()
    }

    private suspend fun runTicks() {
        while (core.scope.isActive) {
            val paused =
                core.thread.decide {
                    control.tick()
                    control.wasPaused(CONFIRM_TIMEOUT)
                }
            if (paused) core.scope.launch { confirmAfterPause() }
            delay(TICK_INTERVAL)
        }
    }

    private suspend fun confirmAfterPause() {
        core.log.warning("paused", "action" to "confirm-configuration")
        configuration.confirm(CONFIRM_TIMEOUT)
    }

    private fun filters() =
        entryFilters(
            account = AccountingFilter(control, core.clock, ::recordRequestEnd),
            identify = IdentifyFilter(control, core.clock, CompletionDecoder) { RequestId(UUID.randomUUID().toString()) },
            admit = AdmissionFilter(control),
            relay = RelayFilter(control, core.clock, core.invariants),
            send = SendFilter(control, core.rpc, core.clock, core.options.send),
        )

    private fun recordRequestEnd(
        call: EntryCall,
        outcome: Outcome,
        took: Duration,
    ) {
        core.metrics.recordRequest(outcome.code, took)
        val request = call.contextOrNull()
        core.log.info(
            "request-ended",
            "request" to request?.request?.text,
            "route" to request?.route?.id?.text,
            "customer" to request?.customer?.id?.text,
            "outcome" to outcome.code,
            "took-ms" to took.inWholeMilliseconds,
            "detail" to detailOf(outcome),
        )
    }

    private fun detailOf(outcome: Outcome): String =
        when (outcome) {
            is Outcome.Completed -> "length=${outcome.length}"
            is Outcome.Refused -> "step=${outcome.step.name.lowercase()} peer=${outcome.peer}"
            is Outcome.Unknown -> outcome.failure.describe()
            is Outcome.Broken -> outcome.failure.describe()
        }

    private companion object {
        val TICK_INTERVAL = 100.milliseconds
        val CONFIRM_TIMEOUT = 1.seconds
    }
}
