/**
 * Reads the engine and carries out what the switch controller decides.
 */
package lagoonrudder.daemon.target

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.EngineOrder
import lagoonrudder.control.EngineState
import lagoonrudder.control.OrderResult
import lagoonrudder.control.VersionSwitchController
import lagoonrudder.control.SwitchStatus
import lagoonrudder.control.SwitchStep
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
    private var known: IncarnationId? = null
    private var lastStatus: SwitchStatus? = null

    fun start() {
        core.scope.launch {
            while (core.scope.isActive) {
                step()
                noteStatus()
            }
        }
    }

    /** Something changed that may call for another step. */
    fun wake() {
        wakeSignal.trySend(Unit)
    }

    private suspend fun step() {
        val step =
            core.thread.decide {
                control.switch.next(weights.complete(), control.limits.inFlight(), core.clock.elapsed(), core.clock.now())
            }
        core.thread.decide { control.publish() }
        when (step) {
            SwitchStep.NoAction -> rest(READ_INTERVAL)
            SwitchStep.ReadEngine -> readEngine()
            SwitchStep.FetchWeights -> rest(READ_INTERVAL)
            SwitchStep.Drain -> pause(DRAIN_INTERVAL)
            is SwitchStep.QueryTargets -> askOthers(step.targets)
            is SwitchStep.SendOrder -> give(step.order)
            is SwitchStep.AwaitOrderTimeout -> pause(step.until - core.clock.elapsed())
        }
    }

    /** Waits, then reads the engine, which may have started anew without notice. */
    private suspend fun rest(limit: Duration) {
        pause(limit)
        readEngine()
    }

    private suspend fun pause(limit: Duration) {
        withTimeoutOrNull(limit.coerceAtLeast(DRAIN_INTERVAL)) { wakeSignal.receive() }
    }

    private suspend fun readEngine() {
        backEnd.state(READ_LIMIT).fold(
            { failure ->
                core.thread.decide {
                    control.switch.onEngineLost()
                    control.publish()
                }
                core.log.failure("engine-not-read", failure)
                pause(FAILURE_PAUSE)
            },
            { takeState(it) },
        )
    }

    private suspend fun takeState(state: EngineState) {
        val restarted = known != null && known != state.incarnation
        known = state.incarnation
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

    private suspend fun askOthers(targets: List<TargetId>) {
        for (target in targets) {
            val instance = core.thread.decide { core.membership.daemonOf(target) }
            val report = instance?.let { core.rpc.switchReport(it, ASK_LIMIT).getOrNull() }
            core.thread.decide { control.switch.onSwitchReport(target, report?.version, report?.status, core.clock.elapsed()) }
        }
        pause(ASK_INTERVAL)
    }

    private suspend fun give(order: EngineOrder) {
        val result = backEnd.order(order, VersionSwitchController.ORDER_TIMEOUT)
        core.thread.decide { control.switch.onOrderResult(order, result) }
        core.log.info("engine-ordered", "order" to order, "result" to result)
        if (result is OrderResult.Unknown) pause(FAILURE_PAUSE)
    }

    private suspend fun noteStatus() {
        val status = core.thread.decide { control.switch.status() }
        if (status == lastStatus) return
        lastStatus = status
        val version = core.thread.decide { control.wantedVersion()?.id?.text }
        core.log.info("switch-status", "status" to status.name.lowercase(), "version" to version)
        if (status == SwitchStatus.SERVING) core.thread.decide { control.weights.onVersionLoaded() }
        if (status == SwitchStatus.FAILED) core.log.error("switch-failed", "version" to version, "action" to "wave-stopped")
    }

    private companion object {
        val READ_INTERVAL = 1.seconds
        val READ_LIMIT = 1.seconds
        val DRAIN_INTERVAL = 20.milliseconds
        val FAILURE_PAUSE = 300.milliseconds
        val ASK_LIMIT = 500.milliseconds
        val ASK_INTERVAL = 200.milliseconds
    }
}
