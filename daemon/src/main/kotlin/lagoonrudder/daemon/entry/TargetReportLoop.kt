/**
 * Keeps one stream of reports open to each target in the subset that this entry daemon may choose from.
 *
 * Reports also serve as heartbeats: when a stream breaks or receives nothing in time, the state of its target is unknown
 * until the next report.
 */
package lagoonrudder.daemon.entry

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.takeWhile
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import lagoonrudder.control.TargetReport
import lagoonrudder.daemon.DaemonCore
import lagoonrudder.model.Failure
import lagoonrudder.model.Instance
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Step
import lagoonrudder.model.TargetId
import lagoonrudder.traffic.ProgressLimits
import lagoonrudder.traffic.entry.EntryControl
import lagoonrudder.traffic.withProgressLimits
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TargetReportLoop(
    private val core: DaemonCore,
    private val control: EntryControl,
) {
    private class Stream(
        val instance: Instance,
        val job: Job,
    )

    private val streams = mutableMapOf<TargetId, Stream>()

    /** Opens and closes streams so that they match the subset. Runs on the control thread. */
    fun updateSubscriptions() {
        val daemons = control.membership.targetDaemons()
        val wanted =
            control.routing
                .subset()
                .mapNotNull { target -> daemons[target.id]?.let { target.id to it } }
                .toMap()
        val obsolete = streams.filter { (target, stream) -> wanted[target] != stream.instance }.keys.toList()
        obsolete.forEach { streams.remove(it)?.job?.cancel() }
        for ((target, instance) in wanted) streams.getOrPut(target) { Stream(instance, core.scope.launch { keepOpen(target, instance) }) }
        core.rpc.retain(
            control.membership
                .instances()
                .map { it.address }
                .toSet() + core.settings.seeds,
        )
    }

    private suspend fun keepOpen(
        target: TargetId,
        instance: Instance,
    ) {
        while (core.scope.isActive) {
            readStream(target, instance)
            core.thread.decide { control.onDisconnected(target) }
            delay(RECONNECT_DELAY)
        }
    }

    private suspend fun readStream(
        target: TargetId,
        instance: Instance,
    ) {
        val peer = Peer(PeerRole.TARGET, instance.address.toString())
        core.rpc
            .reports(instance)
            .withProgressLimits(REPORT_TIMEOUTS, Step.CHOOSE_TARGET, peer)
            .takeWhile { event ->
                event.fold({ onStreamFailed(instance, it) }, { onReport(target, instance, it) })
            }.collect { }
    }

    private suspend fun onStreamFailed(
        instance: Instance,
        failure: Failure,
    ): Boolean {
        if (failure is Failure.TimedOut) core.rpc.reset(instance)
        core.thread.decide { control.membership.suspect(instance.daemon, core.clock.elapsed()) }
        core.log.failure("report-stream-failed", failure, "daemon" to instance.daemon.text)
        return false
    }

    private suspend fun onReport(
        target: TargetId,
        instance: Instance,
        report: TargetReport,
    ): Boolean {
        if (report.target != target) return false
        core.thread.decide {
            control.membership.clearSuspicion(instance.daemon)
            control.onTargetReport(report)
        }
        return true
    }

    private companion object {
        val REPORT_TIMEOUTS = ProgressLimits(first = 2.seconds, next = 2.seconds)
        val RECONNECT_DELAY = 200.milliseconds
    }
}
