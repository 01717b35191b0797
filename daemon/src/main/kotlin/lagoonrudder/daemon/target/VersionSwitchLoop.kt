/**
 * Reads the state of the engine and carries out the steps of a version switch that the switch controller decides.
 */
package lagoonrudder.daemon.target

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.EngineOrder
import lagoonrudder.control.EngineState
import lagoonrudder.control.OrderResult
import lagoonrudder.control.SwitchStatus
import lagoonrudder.control.SwitchStep
import lagoonrudder.control.VersionSwitchController
import lagoonrudder.daemon.DaemonCore
import lagoonrudder.model.IncarnationId
import lagoonrudder.model.TargetId
import lagoonrudder.traffic.target.LocalBackEnd
import lagoonrudder.traffic.target.TargetControl
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class VersionSwitchLoop(
    private val core: DaemonCore,
    private val control: TargetControl,
    private val backEnd: LocalBackEnd,
    private val weights: WeightDistributionLoop,
) {
    private val wakeSignal = Channel<Unit>(Channel.CONFLATED)
    private var lastIncarnation: IncarnationId? = null
    private var lastStatus: SwitchStatus? = null

    fun start() {
        core.scope.launch {
            while (core.scope.isActive) {
                runStep()
                logStatusChange()
            }
        }
    }

    /** Wakes the loop after a change that may require another step. */
    fun wake() {
        wakeSignal.trySend(Unit)
    }

    private suspend fun runStep() {
        val step =
            core.thread.decide {
                control.switch.next(weights.isComplete(), control.limits.inFlight(), core.clock.elapsed(), core.clock.now())
            }
        core.thread.decide { control.publish() }
        when (step) {
            SwitchStep.NoAction -> waitAndReadEngine(ENGINE_READ_INTERVAL)
            SwitchStep.ReadEngine -> readEngine()
            SwitchStep.FetchWeights -> waitAndReadEngine(ENGINE_READ_INTERVAL)
            SwitchStep.Drain -> awaitWakeUp(DRAIN_CHECK_INTERVAL)
            is SwitchStep.QueryTargets -> queryTargets(step.targets)
            is SwitchStep.SendOrder -> sendOrder(step.order)
            is SwitchStep.AwaitOrderTimeout -> awaitWakeUp(step.until - core.clock.elapsed())
        }
    }

    /** Waits, then reads the state of the engine, which may have restarted unnoticed. */
    private suspend fun waitAndReadEngine(timeout: Duration) {
        awaitWakeUp(timeout)
        readEngine()
    }

    private suspend fun awaitWakeUp(timeout: Duration) {
        withTimeoutOrNull(timeout.coerceAtLeast(DRAIN_CHECK_INTERVAL)) { wakeSignal.receive() }
    }

    private suspend fun readEngine() {
        backEnd.state(READ_TIMEOUT).fold(
            { failure ->
                core.thread.decide {
                    control.switch.onEngineLost()
                    control.publish()
                }
                core.log.failure("engine-read-failed", failure)
                awaitWakeUp(RETRY_DELAY)
            },
            { onEngineState(it) },
        )
    }

    private suspend fun onEngineState(state: EngineState) {
        val restarted = lastIncarnation != null && lastIncarnation != state.incarnation
        lastIncarnation = state.incarnation
        core.thread.decide {
            control.switch.onEngineState(state)
            control.limits.onEngineIncarnation(state.incarnation)
            if (restarted) weights.onEngineRestarted()
            control.publish()
        }
        if (!restarted) return
        core.log.warning("engine-restarted", "incarnation" to state.incarnation.text)
        core.scope.launch { weights.redeliverHeldChunks() }
    }

    private suspend fun queryTargets(targets: List<TargetId>) {
        for (target in targets) {
            val instance = core.thread.decide { core.membership.daemonOf(target) }
            val report = instance?.let { core.rpc.switchReport(it, QUERY_TIMEOUT).getOrNull() }
            core.thread.decide { control.switch.onSwitchReport(target, report?.version, report?.status, core.clock.elapsed()) }
        }
        awaitWakeUp(QUERY_INTERVAL)
    }

    private suspend fun sendOrder(order: EngineOrder) {
        val result = backEnd.order(order, VersionSwitchController.ORDER_TIMEOUT)
        core.thread.decide { control.switch.onOrderResult(order, result) }
        core.log.info("engine-order-sent", "order" to order, "result" to result)
        if (result is OrderResult.Unknown) awaitWakeUp(RETRY_DELAY)
    }

    private suspend fun logStatusChange() {
        val status = core.thread.decide { control.switch.status() }
        if (status == lastStatus) return
        lastStatus = status
        val version = core.thread.decide { control.wantedVersion()?.id?.text }
        core.log.info("switch-status", "status" to status.name.lowercase(), "version" to version)
        if (status == SwitchStatus.SERVING) core.thread.decide { control.weights.onVersionLoaded() }
        if (status == SwitchStatus.FAILED) core.log.error("switch-failed", "version" to version, "action" to "wave-stopped")
    }

    private companion object {
        val ENGINE_READ_INTERVAL = 1.seconds
        val READ_TIMEOUT = 1.seconds
        val DRAIN_CHECK_INTERVAL = 20.milliseconds
        val RETRY_DELAY = 300.milliseconds
        val QUERY_TIMEOUT = 500.milliseconds
        val QUERY_INTERVAL = 200.milliseconds
    }
}
