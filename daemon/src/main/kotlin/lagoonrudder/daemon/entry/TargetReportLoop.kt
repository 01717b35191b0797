/**
 * Keeps one stream of reports open to each target in the subset that this entry daemon may choose from.
 *
 * The reports are heartbeats too: a stream that breaks or stays silent makes its target unknown until it reports again.
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

    /** Opens and closes streams so that they match the subset; runs on the control thread. */
    fun updateSubscriptions() {
        val daemons = control.membership.targetDaemons()
        val wanted =
            control.routing
                .subset()
                .mapNotNull { target -> daemons[target.id]?.let { target.id to it } }
                .toMap()
        val gone = streams.filter { (target, stream) -> wanted[target] != stream.instance }.keys.toList()
        gone.forEach { streams.remove(it)?.job?.cancel() }
        for ((target, instance) in wanted) streams.getOrPut(target) { Stream(instance, core.scope.launch { follow(target, instance) }) }
        core.rpc.retain(
            control.membership
                .instances()
                .map { it.address }
                .toSet() + core.settings.seeds,
        )
    }

    private suspend fun follow(
        target: TargetId,
        instance: Instance,
    ) {
        while (core.scope.isActive) {
            read(target, instance)
            core.thread.decide { control.onDisconnected(target) }
            delay(RECONNECT_PAUSE)
        }
    }

    private suspend fun read(
        target: TargetId,
        instance: Instance,
    ) {
        val peer = Peer(PeerRole.TARGET, instance.address.toString())
        core.rpc
            .reports(instance)
            .withProgressLimits(LIMITS, Step.CHOOSE_TARGET, peer)
            .takeWhile { event ->
                event.fold({ lost(instance, it) }, { taken(target, instance, it) })
            }.collect { }
    }

    private suspend fun lost(
        instance: Instance,
        failure: Failure,
    ): Boolean {
        if (failure is Failure.TimedOut) core.rpc.reset(instance)
        core.thread.decide { control.membership.suspect(instance.daemon, core.clock.elapsed()) }
        core.log.failure("reports-lost", failure, "daemon" to instance.daemon.text)
        return false
    }

    private suspend fun taken(
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
        val LIMITS = ProgressLimits(first = 2.seconds, next = 2.seconds)
        val RECONNECT_PAUSE = 200.milliseconds
    }
}
