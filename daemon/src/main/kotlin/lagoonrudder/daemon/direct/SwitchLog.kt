/**
 * Logs each step of the switch of a back end to another version: when it is scheduled, when the back end stops accepting, and what that
 * waited for.
 */
package lagoonrudder.daemon.direct

import lagoonrudder.control.direct.BackEndReport
import lagoonrudder.control.direct.Handover
import lagoonrudder.control.direct.ScheduledSwitch
import lagoonrudder.control.direct.WeightManifest
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class SwitchLog(
    private val core: DirectCore,
) {
    /** The version and the time of the last scheduled switch that was logged. */
    private var logged: Pair<WeightNumber, Duration>? = null

    /** Returns for how many milliseconds the limit of the version of [manifest] has counted; null if it was not declared. */
    suspend fun ageOf(manifest: WeightManifest): Long? =
        core.thread
            .decide { core.storeView.versions.declaration(manifest.model, manifest.number) }
            ?.let { (core.clock.elapsed() - it.countsFrom).inWholeMilliseconds }

    /** Logs a switch when it is first scheduled and whenever its time has moved by much. */
    suspend fun onScheduled(
        manifest: WeightManifest,
        scheduledSwitch: ScheduledSwitch,
    ) {
        val isLogged = logged?.let { (number, at) -> number == manifest.number && (scheduledSwitch.at - at).absoluteValue < NOTABLE_MOVE }
        if (isLogged == true) return
        logged = manifest.number to scheduledSwitch.at
        core.log.info(
            "switch-scheduled",
            "number" to manifest.number.number,
            "declared-ms" to ageOf(manifest),
            "in-ms" to (scheduledSwitch.at - core.clock.elapsed()).inWholeMilliseconds,
            "handover" to scheduledSwitch.handover(scheduledSwitch.at).name.lowercase(),
        )
    }

    /** Logs that the back end with [report] stops accepting, and how long after the time that was scheduled for it. */
    suspend fun onBegun(
        manifest: WeightManifest,
        scheduledSwitch: ScheduledSwitch?,
        handover: Handover,
        report: BackEndReport,
    ) = core.log.info(
        "switch-begun",
        "number" to manifest.number.number,
        "held" to report.held?.number?.number,
        "declared-ms" to ageOf(manifest),
        "scheduled-ms" to scheduledSwitch?.let { (core.clock.elapsed() - it.at).inWholeMilliseconds },
        "handover" to handover.name.lowercase(),
        "running" to report.running,
        "waiting" to report.waiting,
    )

    /** Logs how the wait of a back end that stopped accepting at [closedAt] came to its [end]. */
    fun onDrained(
        closedAt: Duration,
        end: String,
        report: BackEndReport?,
    ) = core.log.info(
        "drained",
        "end" to end,
        "took" to core.clock.elapsed() - closedAt,
        "running" to report?.running,
        "waiting" to report?.waiting,
    )

    private companion object {
        val NOTABLE_MOVE = 500.milliseconds
    }
}
