/**
 * The daemon that runs beside a target instance and controls its engine.
 */
package lagoonrudder.daemon.target

import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import lagoonrudder.control.ConcurrencyLimitController
import lagoonrudder.control.DumpSection
import lagoonrudder.control.IdempotencyController
import lagoonrudder.control.VersionSwitchController
import lagoonrudder.control.WeightFetchController
import lagoonrudder.control.WeightHolder
import lagoonrudder.daemon.Daemon
import lagoonrudder.daemon.DaemonAddresses
import lagoonrudder.daemon.DaemonCore
import lagoonrudder.daemon.PeerRpcHandler
import lagoonrudder.daemon.backend.HttpBackEnd
import lagoonrudder.daemon.configuration.ConfigurationSyncLoop
import lagoonrudder.daemon.operators.DaemonDiagnostics
import lagoonrudder.daemon.operators.OperatorServer
import lagoonrudder.daemon.platform.WeightOrigin
import lagoonrudder.model.Address
import lagoonrudder.model.RegionId
import lagoonrudder.traffic.FilterChain
import lagoonrudder.traffic.target.KeyReservations
import lagoonrudder.traffic.target.TargetControl
import lagoonrudder.traffic.target.targetFilters
import lagoonrudder.wire.rpc.RpcServer
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TargetDaemon(
    override val core: DaemonCore,
) : Daemon,
    DaemonDiagnostics {
    private val settings = core.settings
    private val slot = checkNotNull(settings.slot)
    private val backEnd = HttpBackEnd(core.http, slot.backEnd)
    private val origin = WeightOrigin(core.http, settings.platform.origin)
    private val startedAt = core.clock.elapsed()
    private val control =
        TargetControl(
            thread = core.thread,
            clock = core.clock,
            invariants = core.invariants,
            self = slot.target,
            incarnation = core.incarnation,
            configuration = core.configuration,
            membership = core.membership,
            limits = ConcurrencyLimitController(core.options.limit, core.invariants),
            idempotency = IdempotencyController(slot.target, core.options.idempotency, core.invariants, core.clock.now(), startedAt),
            switch = VersionSwitchController(slot.target, startedAt),
            weights = WeightFetchController(self(), core.options.sources, settings.limits.weights, core.invariants),
            service = core.service,
        )
    private val weights = WeightDistributionLoop(core, control, backEnd, origin) { switch.wake() }
    private val switch: VersionSwitchLoop = VersionSwitchLoop(core, control, backEnd, weights)
    private val configuration = ConfigurationSyncLoop(core) { onConfigurationChanged() }
    private val chain = FilterChain(targetFilters(control, backEnd, core.clock, core.invariants, core.options.engine))
    private val operators = OperatorServer(core, this)
    private var rpcServer: RpcServer? = null

    override suspend fun start(): DaemonAddresses {
        val handler = TargetRpcHandler(control, chain, KeyReservations(control, core.rpc, core.clock), core.clock)
        val rpc = RpcServer.start(settings.listen.rpc, core.scope.coroutineContext, PeerRpcHandler(configuration, weights), handler)
        rpcServer = rpc
        val addresses = DaemonAddresses(Address(settings.listen.rpc.host, rpc.port), null, operators.start())
        configuration.start()
        weights.start()
        switch.start()
        core.scope.launch { runTicks() }
        core.log.info(
            "started",
            "role" to "target",
            "target" to slot.target.text,
            "rpc" to addresses.rpc,
            "operators" to addresses.operators,
        )
        return addresses
    }

    override suspend fun stop() {
        core.log.info("leaving", "in-hand" to core.thread.decide { core.service.active() })
        core.thread.decide {
            core.service.beginShutdown()
            control.publish()
        }
        core.service.drained.await()
        rpcServer?.beginShutdown()
        delay(RESPONSE_FLUSH_TIME)
        core.log.info("stopped")
        close()
    }

    override fun close() {
        rpcServer?.close()
        operators.close()
        core.close()
    }

    override fun ready(): Boolean = control.closed() == null && control.switch.refusal() == null

    override fun status(): String {
        val load = control.limits.load()
        return "name=${settings.name.text} role=target domain=${settings.domain.text} target=${slot.target.text} ready=${ready()} " +
            "revision=${core.configuration.current.revision.number} version=${control.switch.servingVersion()?.text} " +
            "switch=${control.switch.status().name.lowercase()} limit=${load.limit} in-flight=${load.inFlight} " +
            "violations=${core.invariants.total()}"
    }

    override fun dump(): List<DumpSection> = control.dump()

    /** Uses the failure domain in place of its region until a configuration names the region. */
    private fun self() = WeightHolder(settings.name, settings.domain, RegionId(settings.domain.text))

    private fun onConfigurationChanged() {
        control.configured()
        weights.onConfigurationChanged()
        switch.wake()
    }

    private suspend fun runTicks() {
        while (core.scope.isActive) {
            val paused = core.thread.decide { control.wasPaused(CONFIRM_TIMEOUT) }
            if (paused) core.scope.launch { confirmAfterPause() }
            delay(TICK_INTERVAL)
        }
    }

    private suspend fun confirmAfterPause() {
        core.log.warning("paused", "action" to "confirm-configuration")
        configuration.confirm(CONFIRM_TIMEOUT)
        core.thread.decide { control.publish() }
    }

    private companion object {
        val TICK_INTERVAL = 100.milliseconds
        val CONFIRM_TIMEOUT = 1.seconds
        val RESPONSE_FLUSH_TIME = 100.milliseconds
    }
}
