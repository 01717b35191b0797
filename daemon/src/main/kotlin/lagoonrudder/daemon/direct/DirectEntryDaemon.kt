/**
 * The entry daemon in direct mode, which accepts requests from callers and sends them to back ends.
 */
package lagoonrudder.daemon.direct

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import lagoonrudder.control.direct.PlacementController
import lagoonrudder.control.direct.RetryBudgetShare
import lagoonrudder.control.direct.StopController
import lagoonrudder.control.direct.StoreViewChange
import lagoonrudder.control.direct.Topology
import lagoonrudder.control.direct.admission.AdmissionChange
import lagoonrudder.control.direct.admission.AdmissionLevel
import lagoonrudder.http.HttpServer
import lagoonrudder.http.ServerReport
import lagoonrudder.model.ModelId
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightNumber
import lagoonrudder.platform.BackEndHttpClient
import lagoonrudder.platform.CallerRequestHandler
import lagoonrudder.platform.DEFAULT_LIMITS
import lagoonrudder.platform.ReadinessRequestHandler
import lagoonrudder.platform.UNKNOWN_OUTCOME_STATUS
import lagoonrudder.platform.refusalResponse
import lagoonrudder.traffic.FilterChain
import lagoonrudder.traffic.direct.DirectCall
import lagoonrudder.traffic.direct.DirectControl
import lagoonrudder.traffic.direct.LateVersion
import lagoonrudder.traffic.direct.RequestBodyBounds
import lagoonrudder.traffic.direct.RequestBodyBudget
import lagoonrudder.traffic.direct.RequestEnd
import lagoonrudder.traffic.direct.directFilters
import java.util.Locale
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

class DirectEntryDaemon(
    core: DirectCore,
) : DirectDaemon(core),
    DirectDiagnostics {
    private val settings = core.settings
    private val random = Random(System.nanoTime())
    private val placement =
        PlacementController(
            Topology(settings.domain, settings.regions),
            settings.bounds.placement,
            core.storeView,
            core.peers,
            core.slots,
            core.suspicions,
            core.notices,
            random,
            onAdmissionChange = ::logAdmission,
        )
    private val control =
        DirectControl(
            core.thread,
            core.clock,
            core.storeView,
            core.peers,
            placement,
            RetryBudgetShare(settings.bounds.retryBudget),
            core.suspicions,
            core.notices,
            StopController(settings.bounds.stopGrace),
        )
    private val client = PeerClient(core.http)
    private val store = StoreSyncLoop(core, onChange = ::onStoreViewChanged)
    private val peers = GossipLoop(core, client, loads = placement::inFlight, demand = placement::demand, onChange = ::onStoreViewChanged)
    private val chunks = ChunkCache(core, WeightFetcher(core, client))
    private val bodies = RequestBodyBudget(RequestBodyBounds(total = Runtime.getRuntime().maxMemory() / SHARE_FOR_BODIES))
    private var prefetchedVersions = emptyMap<ModelId, WeightNumber>()
    private var callers: HttpServer? = null

    @Volatile
    private var isShuttingDown = false

    /** Limits on requests from callers. Written on the control thread, read on the traffic thread. */
    @Volatile
    private var limits = DEFAULT_LIMITS

    override suspend fun start() {
        val listen = checkNotNull(settings.listen)
        val chain = FilterChain(directFilters(control, BackEndHttpClient(core.http), random, ::recordLateVersion, ::recordRequestEnd))
        val endpoint = PeerEndpoint(core, chunks, peers, ::onStoreViewChanged)
        HttpServer.start(core.loop, core.scope, listen.peers, { HttpServer.PEER_LIMITS }, handler = endpoint)
        val memory = SharedBodyMemory(bodies)
        val readiness = ReadinessRequestHandler { isReady() }
        HttpServer.start(core.loop, core.scope, listen.ready, { HttpServer.PEER_LIMITS }, bodies = memory, handler = readiness)
        val callerHandler = CallerRequestHandler(chain, core.clock)
        callers = HttpServer.start(core.loop, core.scope, listen.callers, { limits }, ::logReport, memory, core.clock, callerHandler)
        startOperatorServer(this)
        core.launchLoop("store") { store.run() }
        core.launchLoop("gossip") { peers.run() }
        core.launchLoop("ticks") { runTicks() }
        core.log.info("started", "role" to "entry", "callers" to listen.callers, "peers" to listen.peers, "store" to settings.store)
    }

    override suspend fun stop() {
        val started = core.clock.elapsed()
        val server = callers ?: return
        isShuttingDown = true
        val schedule = core.thread.decide { control.stop.onStopRequested(started) }
        core.log.info("leaving", "in-hand" to server.activeRequests)
        delay(schedule.drainAt - core.clock.elapsed())
        server.drain()
        delay(schedule.stopReadingAt - core.clock.elapsed())
        // A request that is read just before the process exits would get no other response.
        server.stopReading(refusalResponse(schedule.refusal))
        // Connections end after the requests, so that what is half read gets the refusal and no reset discards the last response.
        while (server.openConnections > 0 && core.clock.elapsed() < schedule.answerAt) delay(SHUTDOWN_CHECK_INTERVAL)
        val cut = server.activeRequests
        server.endRequests(UNKNOWN_OUTCOME_STATUS)
        while (server.openConnections > 0 && core.clock.elapsed() < schedule.exitAt) delay(SHUTDOWN_CHECK_INTERVAL)
        server.close()
        core.log.info("stopped", "in-hand" to cut, "took" to core.clock.elapsed() - started)
    }

    /** Applies a change of the published state. Runs on the control thread. */
    private fun onStoreViewChanged() {
        limits = core.storeView.serving?.limits ?: DEFAULT_LIMITS
        control.onStoreViewChanged()
        val newest = core.storeView.versions.newest
        (newest.entries - prefetchedVersions.entries).forEach { (model, number) ->
            core.scope.launch {
                chunks.cancelUnwanted(model)
                chunks.prefetch(model, number)
            }
        }
        prefetchedVersions = newest
    }

    private suspend fun isReady() = !isShuttingDown && core.thread.decide { core.storeView.confirmed }

    private suspend fun runTicks() {
        while (currentCoroutineContext().isActive) {
            delay(TICK_INTERVAL)
            val (pause, expired, released) = core.thread.decide { Triple(core.noticePause(TICK_INTERVAL), onTick(), releaseKept()) }
            if (!released.isEmpty) core.logChange(released, "restored", core.thread.decide { core.storeView.at })
            expired.forEach { core.log.info("back-end-gone", "target" to it.text, "source" to "lapsed") }
            if (pause != null) {
                core.http.closeIdle(settings.store)
                store.pollNow()
            }
        }
    }

    private fun releaseKept(): StoreViewChange =
        core.storeView.releaseKept(core.clock.elapsed()).also { if (!it.isEmpty) onStoreViewChanged() }

    private fun onTick(): List<TargetId> {
        val now = core.clock.elapsed()
        core.suspicions.onTick(now)
        core.reportKeptConfiguration()
        placement.dispatchQueued(now)
        return core.storeView.expire(now)
    }

    override fun dump() =
        core.dump() + bodies.dump() + placement.dump(core.clock.elapsed()) +
            core.suspicions.dump(core.clock.elapsed()) + core.notices.dump(core.clock.elapsed())

    override fun gauges() =
        core.gauges() +
            mapOf(
                "in_flight" to placement.inFlight().values.sum(),
                "waiting" to placement.queueLength(),
                "parts_accused" to core.suspicions.accusedParts,
            ) + placement.admissionGauges()

    private fun logAdmission(change: AdmissionChange) =
        core.log.info(
            "admission-level",
            "service" to change.service.text,
            "before" to describe(change.before),
            "after" to describe(change.after),
            "demand" to change.demand.joinToString(",") { "${it.level.index}:${it.arrivals}/${it.placed}/${it.refused}/${it.waiting}" },
            "slots" to change.use.slots,
            "busy" to change.use.busy,
            "capacity" to change.capacity,
        )

    private fun describe(admission: AdmissionLevel): String =
        when (admission) {
            AdmissionLevel.Open -> "open"
            is AdmissionLevel.Bound -> "${admission.level.index}:${"%.2f".format(Locale.ROOT, admission.share)}"
        }

    private fun logReport(report: ServerReport) =
        when (report) {
            is ServerReport.Unhandled ->
                core.log.warning("request-unhandled", "caller" to report.caller, "status" to report.status, "reason" to report.reason)
            is ServerReport.ResponseCut ->
                core.log.warning("response-cut", "caller" to report.caller, "target" to report.target, "reason" to report.reason)
        }

    private fun recordLateVersion(
        call: DirectCall,
        late: LateVersion,
    ) = core.log.warning("late-version", "request" to call.request.request.text, *late.fields())

    private fun recordRequestEnd(
        call: DirectCall,
        end: RequestEnd,
    ) {
        val context = call.contextOrNull
        val took = core.clock.elapsed() - call.receivedAt
        core.metrics.recordRequest(codeOf(end), took)
        call.timeToFirstEvent?.let { core.metrics.recordFirstEvent(it) }
        core.log.info(
            "request-ended",
            "request" to call.request.request.text,
            "route" to context?.route?.id?.text,
            "customer" to context?.customer?.id?.text,
            "revision" to context?.revision?.number,
            "late" to context?.isLate,
            "outcome" to codeOf(end),
            "took-ms" to took.inWholeMilliseconds,
            "first-ms" to call.timeToFirstEvent?.inWholeMilliseconds,
            "waited-ms" to call.queueTime.inWholeMilliseconds,
            "number" to call.number?.number,
            "attempts" to call.attempts.joinToString(",") { it.describe() },
            "parts" to sharedPartsOf(call),
            "detail" to detailOf(call, end),
        )
    }

    private fun codeOf(end: RequestEnd): String =
        when (end) {
            is RequestEnd.Decided -> end.outcome.code
            is RequestEnd.Cancelled -> "cancelled"
            is RequestEnd.Failed -> "failed"
        }

    private fun detailOf(
        call: DirectCall,
        end: RequestEnd,
    ): String? =
        when (end) {
            is RequestEnd.Decided -> call.lastFailure?.detail
            is RequestEnd.Cancelled -> end.reason
            is RequestEnd.Failed -> "${end.outcome.code}: ${end.error.stackTraceToString()}"
        }

    private fun sharedPartsOf(call: DirectCall): String {
        val parts = call.request.sharedParts.take(MAX_LOGGED_PARTS)
        return parts.joinToString(",") { it.text }
    }

    private companion object {
        /** The part of the heap, as a divisor, that bodies of requests may use. */
        const val SHARE_FOR_BODIES = 4
        const val MAX_LOGGED_PARTS = 8
        val SHUTDOWN_CHECK_INTERVAL = 50.milliseconds
    }
}
