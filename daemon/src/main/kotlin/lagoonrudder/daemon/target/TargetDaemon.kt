/**
 * The daemon in the slot beside a target instance.
 */
package lagoonrudder.daemon.target

import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import lagoonrudder.control.DumpSection
import lagoonrudder.control.Holder
import lagoonrudder.control.LimitController
import lagoonrudder.control.RepeatController
import lagoonrudder.control.SwitchController
import lagoonrudder.control.WeightController
import lagoonrudder.daemon.Daemon
import lagoonrudder.daemon.DaemonAddresses
import lagoonrudder.daemon.DaemonCore
import lagoonrudder.daemon.PeerEnd
import lagoonrudder.daemon.backend.HttpBackEnd
import lagoonrudder.daemon.configuration.ConfigurationLoop
import lagoonrudder.daemon.operators.DaemonView
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
    DaemonView {
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
            limits = LimitController(core.options.limit, core.invariants),
            repeats = RepeatController(slot.target, core.options.repeats, core.invariants, core.clock.now(), startedAt),
            switch = SwitchController(slot.target, startedAt),
            weights = WeightController(self(), core.options.sources, settings.limits.weights, core.invariants),
            service = core.service,
        )
    private val weights = WeightLoop(core, control, backEnd, origin) { switch.poke() }
    private val switch: SwitchLoop = SwitchLoop(core, control, backEnd, weights)
    private val configuration = ConfigurationLoop(core) { configured() }
    private val chain = FilterChain(targetFilters(control, backEnd, core.clock, core.invariants, core.options.engine))
    private val operators = OperatorServer(core, this)
    private var rpcServer: RpcServer? = null

    override suspend fun start(): DaemonAddresses {
        val end = TargetEnd(control, chain, KeyReservations(control, core.rpc, core.clock), core.clock)
        val rpc = RpcServer.start(settings.listen.rpc, core.scope.coroutineContext, PeerEnd(configuration, weights), end)
        rpcServer = rpc
        val addresses = DaemonAddresses(Address(settings.listen.rpc.host, rpc.port), null, operators.start())
        configuration.start()
        weights.start()
        switch.start()
        core.scope.launch { tick() }
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
        core.log.info("leaving", "in-hand" to core.thread.decide { core.service.inHand() })
        core.thread.decide {
            core.service.leave()
            control.publish()
        }
        core.service.drained.await()
        rpcServer?.leave()
        delay(LAST_ANSWERS)
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
        val room = control.limits.room()
        return "name=${settings.name.text} role=target domain=${settings.domain.text} target=${slot.target.text} ready=${ready()} " +
            "revision=${core.configuration.current.revision.number} version=${control.switch.serving()?.text} " +
            "switch=${control.switch.status().name.lowercase()} limit=${room.limit} in-flight=${room.inFlight} " +
            "violations=${core.invariants.total()}"
    }

    override fun dump(): List<DumpSection> = control.dump()

    /** Until a set names the region of this daemon's failure domain, the domain stands for it. */
    private fun self() = Holder(settings.name, settings.domain, RegionId(settings.domain.text))

    private fun configured() {
        control.configured()
        weights.configured()
        switch.poke()
    }

    private suspend fun tick() {
        while (core.scope.isActive) {
            val paused = core.thread.decide { control.wasPaused(CONFIRM_LIMIT) }
            if (paused) core.scope.launch { confirmAfterPause() }
            delay(TICK)
        }
    }

    private suspend fun confirmAfterPause() {
        core.log.warning("paused", "action" to "confirm-configuration")
        configuration.confirm(CONFIRM_LIMIT)
        core.thread.decide { control.publish() }
    }

    private companion object {
        val TICK = 100.milliseconds
        val CONFIRM_LIMIT = 1.seconds
        val LAST_ANSWERS = 100.milliseconds
    }
}
