/**
 * Resources that both roles of a direct-mode daemon share: the control thread with its controllers, the event loop that
 * carries all connections, the HTTP client, the metrics and the log.
 */
package lagoonrudder.daemon.direct

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import lagoonrudder.control.ControlThread
import lagoonrudder.control.DumpSection
import lagoonrudder.control.direct.BackEndNoticeController
import lagoonrudder.control.direct.BackEndStateController
import lagoonrudder.control.direct.CatchUpController
import lagoonrudder.control.direct.ChunkWriteController
import lagoonrudder.control.direct.DeclaredWeights
import lagoonrudder.control.direct.KeptConfiguration
import lagoonrudder.control.direct.LoadOrderController
import lagoonrudder.control.direct.ManifestController
import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.direct.PeerDaemon
import lagoonrudder.control.direct.StagingController
import lagoonrudder.control.direct.StoreContact
import lagoonrudder.control.direct.StorePosition
import lagoonrudder.control.direct.StoreReaderController
import lagoonrudder.control.direct.StoreViewChange
import lagoonrudder.control.direct.StoreViewController
import lagoonrudder.control.direct.SwitchSchedule
import lagoonrudder.control.direct.VersionAcknowledgement
import lagoonrudder.control.direct.WeightSourceController
import lagoonrudder.control.direct.suspicion.SuspicionChange
import lagoonrudder.control.direct.suspicion.SuspicionController
import lagoonrudder.control.direct.weights.ChunkHoldings
import lagoonrudder.control.direct.weights.TransferRateObserver
import lagoonrudder.daemon.observe.DaemonMetrics
import lagoonrudder.daemon.observe.EventLog
import lagoonrudder.http.HttpClient
import lagoonrudder.http.HttpEventLoop
import lagoonrudder.model.BackEndNotice
import lagoonrudder.model.BackEndRun
import lagoonrudder.model.CallerAccess
import lagoonrudder.model.Clock
import lagoonrudder.model.Invariants
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How often an entry daemon looks for pauses and for what has expired. */
internal val TICK_INTERVAL = 100.milliseconds

/** [startedAt] is the start of the process, from which the limits of versions count that bind it. */
class DirectCore(
    val settings: DirectSettings,
    val clock: Clock,
    startedAt: Duration = clock.elapsed(),
) : AutoCloseable {
    val log = EventLog(settings.name.text)
    val invariants = Invariants { log.invariantViolation(it) }
    val thread = ControlThread.start(settings.name.text, clock, invariants)
    val metrics = DaemonMetrics(thread, invariants)
    val loop = HttpEventLoop("traffic")
    val scope =
        CoroutineScope(
            SupervisorJob() + loop.dispatcher +
                CoroutineExceptionHandler { _, error -> log.error("coroutine-failed", "error" to error.stackTraceToString()) },
        )
    val http = HttpClient(loop, clock)
    val storeView = StoreViewController(invariants, settings.bounds.versionLimit, startedAt + settings.bounds.contact, startedAt)
    val catchUp = CatchUpController(storeView)
    private val pauseDetector = PauseDetector(clock)
    val self = PeerDaemon(settings.name, settings.role, settings.domain, settings.region, settings.listen?.peers)
    val peers = PeerController(self, settings.seeds)
    val storeReader = StoreReaderController(peers, storeView, catchUp)
    val suspicions = SuspicionController(peers) { logSuspicion(it) }
    val notices = BackEndNoticeController { run, notice -> logNotice(run, notice) }
    val slots = BackEndStateController()
    val weightSources = WeightSourceController()
    val transferRates = TransferRateObserver()
    val versionChoiceChanges = AtomicLong()
    private var reportedKept: KeptConfiguration? = null
    val manifests = ManifestController()
    val loadOrders = LoadOrderController()
    val chunkWrites = ChunkWriteController()
    val holdings = ChunkHoldings(peers, storeView, settings.listen?.peers ?: settings.chunks)
    val staging = StagingController(peers, storeView, SwitchSchedule(storeView), settings.regions, holdings)

    /** Starts [loop], which is started again after an error. */
    fun launchLoop(
        name: String,
        loop: suspend () -> Unit,
    ): Job = scope.launch { keepRunning(name, log, loop) }

    /** Logs a change of the published state, which came from [source] at the store position [at]. */
    fun logChange(
        change: StoreViewChange,
        source: String,
        at: StorePosition,
    ) {
        if (change.isEmpty) return
        change.era?.let {
            log.warning(
                "store-era",
                "before" to it.before,
                "after" to it.after,
                "kept" to it.kept,
                "discarded" to it.discarded,
                "source" to source,
            )
        }
        change.serving?.let {
            log.info(
                "configuration-in-force",
                "revision" to it.revision.number,
                "routes" to it.routes.size,
                "customers" to it.customers.size,
                "keys" to if (it.access == CallerAccess.Anyone) "not-needed" else "needed",
                "idle-timeout" to it.limits.idleTimeout,
                "source" to source,
                "at" to at,
            )
        }
        change.evacuated?.let { domains ->
            log.info(
                "domains-evacuated",
                "domains" to domains.map { it.text },
                "source" to source,
                "at" to at,
            )
        }
        change.declared.forEach {
            log.info(
                "version-declared",
                "model" to it.model.text,
                "number" to it.number.number,
                *ageFields(it),
                "source" to source,
                "at" to at,
            )
        }
        (change.added + change.changed).forEach {
            log.info(
                "back-end-listed",
                "target" to it.id.text,
                "service" to it.service.text,
                "address" to it.address,
                "leaving" to it.leaving,
                "number" to it.weights?.number?.number,
                "cold-for" to it.coldFor,
                "source" to source,
                "at" to at,
            )
        }
        change.removed.forEach { log.info("back-end-gone", "target" to it.text, "source" to source, "at" to at) }
        change.unusable.forEach { log.warning("store-item-invalid", "detail" to it, "source" to source, "at" to at) }
    }

    /** The age that decisions count from, and the lowest possible one. */
    private fun ageFields(declared: DeclaredWeights): Array<Pair<String, Any?>> {
        val now = clock.elapsed()
        val minAge = now - declared.acknowledged.latest
        return arrayOf("age-ms" to (now - declared.countsFrom).inWholeMilliseconds, "min-age-ms" to minAge.inWholeMilliseconds)
    }

    /** Logs when a configuration begins or ceases to be in force without the store holding it. Runs on the control thread. */
    fun reportKeptConfiguration() {
        val before = reportedKept
        val kept = storeView.keptConfiguration
        if (kept == before) return
        reportedKept = kept
        if (kept != null) {
            val age = clock.elapsed() - kept.since
            log.warning("configuration-kept", "revision" to kept.revision.number, "store-holds" to kept.holds?.number, "for" to age)
        } else if (before != null) {
            val age = clock.elapsed() - before.since
            log.info("configuration-written-again", "revision" to storeView.serving?.revision?.number, "kept-for" to age)
        }
    }

    private fun logSuspicion(change: SuspicionChange) =
        when (change) {
            is SuspicionChange.Accused -> {
                val suspicion = change.suspicion
                val crashes = suspicion.describe(clock.elapsed())
                log.warning("part-accused", "crashes" to crashes, "episodes" to suspicion.episodes, "answered" to suspicion.wereAnswered)
            }
            is SuspicionChange.Probed -> log.info("part-probed", "crashes" to change.suspicion.describe(clock.elapsed()))
            is SuspicionChange.Cleared -> log.info("part-cleared", "parts" to change.parts.map { it.text })
        }

    private fun logNotice(
        run: BackEndRun,
        notice: BackEndNotice,
    ) = when (notice) {
        BackEndNotice.Leaving -> log.info("back-end-leaving", "target" to run.target.text, "born" to run.born)
        is BackEndNotice.ClosedFor -> log.info("back-end-closed", "target" to run.target.text, "born" to run.born, "for" to notice.duration)
    }

    /**
     * Looks for a pause since the last call, which was to be [expected] ago, and marks the known state as possibly stale after one. Returns
     * the pause; null if there was none. Runs on the control thread, so that nothing is told to peers in between.
     */
    fun noticePause(expected: Duration): Pause? {
        val pause = pauseDetector.check(expected) ?: return null
        storeView.onPaused(pause.duration, pause.uncounted, clock.elapsed())
        log.warning("paused", "for" to pause.duration, "uncounted" to pause.uncounted)
        return pause
    }

    /** Whether this process paused and hasn't noticed yet, so that its clock may not have counted what it tells peers the age of. */
    private val hasUnnoticedPause: Boolean get() = pauseDetector.isOverdue(TICK_INTERVAL)

    /** Returns the store's contact to tell peers of; null after an unnoticed pause. Runs on the control thread. */
    fun contactToTell(): StoreContact? = storeView.storeContact.takeUnless { hasUnnoticedPause }

    /** Returns how long ago the store held nothing that peers don't learn from this daemon; null after an unnoticed pause. */
    fun upToDateAgeToTell(): Duration? = storeView.upToDateAge(clock.elapsed()).takeUnless { hasUnnoticedPause }

    /** Returns what to tell peers of the declared versions; nothing after an unnoticed pause. Runs on the control thread. */
    fun versionsToTell(): List<VersionAcknowledgement> = if (hasUnnoticedPause) emptyList() else storeView.versions.toTell(clock.elapsed())

    /** Returns the dump sections that both roles have. Runs on the control thread. */
    fun dump(): List<DumpSection> =
        listOf(storeView.dump(), peers.dump(clock.elapsed()), slots.dump(clock.elapsed()), catchUp.dump(clock.elapsed()))

    fun gauges(): Map<String, Number> =
        mapOf(
            "configuration_revision" to (storeView.serving?.revision?.number ?: 0),
            "configuration_kept_seconds" to (storeView.keptConfiguration?.let { (clock.elapsed() - it.since).inWholeSeconds } ?: 0),
            "store_revision" to storeView.at.revision.number,
            "store_era" to storeView.at.era.number,
            "catch_up_further_requests" to catchUp.furtherRequests,
            "store_lag_ms" to catchUp.lag(clock.elapsed()).inWholeMilliseconds,
            "confirmed" to if (storeView.confirmed) 1 else 0,
            "back_ends" to storeView.backEnds.size,
            "back_ends_leaving" to storeView.backEnds.count { it.leaving },
            "version_choice_changes" to versionChoiceChanges.get(),
            "peers_alive" to peers.liveEntries(clock.elapsed()).size,
            "chunk_holdings" to holdings.size(clock.elapsed()),
        )

    override fun close() {
        loop.close()
        thread.close()
    }
}
