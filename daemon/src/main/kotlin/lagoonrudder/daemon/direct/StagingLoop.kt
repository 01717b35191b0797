/**
 * Deploys the wanted weights to the back end beside this daemon: fetches the chunks, stages and verifies them, orders the
 * back end to load them, and announces to the entry daemons which weights the back end holds.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import arrow.core.getOrElse
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.direct.BackEndReport
import lagoonrudder.control.direct.EarlierOrderState
import lagoonrudder.control.direct.Handover
import lagoonrudder.control.direct.LoadOrder
import lagoonrudder.control.direct.OrderResponse
import lagoonrudder.control.direct.ScheduledSwitch
import lagoonrudder.control.direct.WeightManifest
import lagoonrudder.control.direct.WeightsToLoad
import lagoonrudder.control.direct.weights.DEFAULT_LOAD_TIME
import lagoonrudder.control.direct.weights.VersionChoice
import lagoonrudder.control.direct.weights.VersionSupply
import lagoonrudder.model.Failure
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.WeightNumber
import lagoonrudder.platform.SlotClient
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class StagingLoop(
    private val core: DirectCore,
    private val slot: DirectSlotSettings,
    peers: GossipLoop,
    private val fetcher: WeightFetcher,
) {
    private val backEnd = SlotClient(core.http, slot.backEnd)
    internal val area = StagingArea(core, backEnd)
    private val monitor = SlotMonitor(core, slot, backEnd, area, peers)
    private val earlierOrders = EarlierOrderCheck(core, area, fetcher)
    private val switchLog = SwitchLog(core)
    private val choiceLog = VersionChoiceLog(core)
    private val checkRequests = Channel<Unit>(Channel.CONFLATED)
    private val closing = Mutex()

    /** What the back end holds, or is about to hold after it accepted an order. */
    private var held: HeldWeights? = null

    /** Older versions that no source delivers, or that were skipped for one that can be fetched. */
    private val skipped = mutableSetOf<WeightNumber>()

    /** How long the last load took, with the running requests that it waited for. */
    private var loadTime: Duration? = null

    /** Checks at once whether other weights are wanted. May be called on any thread. */
    fun checkNow() {
        checkRequests.trySend(Unit)
    }

    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            val report = monitor.report()
            held = report?.held
            val unsettled = core.thread.decide { core.loadOrders.unsettled }
            val weightsToLoad = report?.let { core.thread.decide { core.staging.weightsToLoad(slot.service, it) } }
            when {
                report == null || report.loading -> awaitCheck()
                unsettled != null -> repeatOrder(unsettled.manifest, report)
                weightsToLoad != null -> stageAndLoad(weightsToLoad, report)
                else -> awaitCheck()
            }
        }
    }

    private suspend fun awaitCheck() {
        withTimeoutOrNull(IDLE_POLL_INTERVAL) { checkRequests.receive() }
    }

    private suspend fun stageAndLoad(
        weightsToLoad: WeightsToLoad,
        report: BackEndReport,
    ) {
        val manifest = manifestOf(weightsToLoad, report)
        if (manifest == null) {
            delay(RETRY_DELAY)
            return
        }
        if (!stage(manifest)) return
        if (!awaitScheduledSwitch(manifest, report)) return
        if (area.isReadyToLoad(manifest)) orderLoad(manifest, report) else delay(RETRY_DELAY)
    }

    /**
     * Sends an order again that got no response, after replacing chunks that were damaged since. Chunks of another version
     * are not staged meanwhile, because the back end may still accept the order. It stays open for requests, since nobody
     * knows when it will, unless an earlier process sent that order.
     */
    private suspend fun repeatOrder(
        manifest: WeightManifest,
        report: BackEndReport,
    ) {
        if (area.manifest != manifest) area.begin(manifest)
        val isComplete = area.verify(manifest) || (stage(manifest) && area.verify(manifest))
        if (isComplete) {
            reportOfSameRun(report)?.let { sendOrder(manifest, it, Handover.DRAIN) }
        } else {
            core.thread.decide { core.loadOrders.onChunksUnavailable() }
        }
        delay(RETRY_DELAY)
    }

    private suspend fun manifestOf(
        weightsToLoad: WeightsToLoad,
        report: BackEndReport,
    ): WeightManifest? {
        val current =
            area.manifest?.takeIf { it.model == weightsToLoad.model && (weightsToLoad.number == null || it.number == weightsToLoad.number) }
        if (current != null) return current
        val inProgress = area.manifest?.takeIf { it.model == weightsToLoad.model && it.number > (held?.number ?: NO_VERSION) }
        if (inProgress != null && isStillWanted(inProgress) && !isOutdated(inProgress)) return inProgress
        val sources =
            core.thread.decide { core.staging.sources(weightsToLoad.model, weightsToLoad.number, MANIFEST_INDEX, core.clock.elapsed()) }
        val fetched = fetcher.manifest(sources, weightsToLoad.model, weightsToLoad.number).getOrElse { return null }
        if (!earlierOrders.mayReplaceChunks(fetched, report)) return null
        area.begin(fetched)
        core.log.info(
            "staging",
            "model" to fetched.model.text,
            "number" to fetched.number.number,
            "pieces" to fetched.digests.size,
            "held" to area.size,
        )
        return fetched
    }

    /**
     * Fetches and stages the missing chunks. One that can't be had yet is asked for again after the others. Returns false if some
     * are still missing: when another version has become the wanted one, or after a time in which the back end may have restarted.
     */
    private suspend fun stage(manifest: WeightManifest): Boolean {
        val started = core.clock.elapsed()
        val missing = ArrayDeque(area.missing(manifest))
        if (missing.isEmpty()) return true
        val total = missing.size
        coroutineScope { repeat(MAX_CONCURRENT_FETCHES) { launch { stageAll(manifest, missing, started) } } }
        core.log.info(
            "staged",
            "number" to manifest.number.number,
            "drawn" to total - missing.size,
            "missing" to missing.size,
            "took" to core.clock.elapsed() - started,
            "declared-ms" to switchLog.ageOf(manifest),
        )
        if (missing.isNotEmpty()) replaceIfDoubted(manifest)
        return missing.isEmpty()
    }

    /** Reads [manifest] again if chunks contradict it; the chunks that match a better one stay. */
    private suspend fun replaceIfDoubted(manifest: WeightManifest) {
        val better = readAgainIfDoubted(manifest)
        if (better != manifest) area.begin(better)
    }

    private suspend fun readAgainIfDoubted(manifest: WeightManifest): WeightManifest {
        if (!isDoubted(manifest)) return manifest
        val sources = core.thread.decide { core.staging.sources(manifest.model, manifest.number, MANIFEST_INDEX, core.clock.elapsed()) }
        return fetcher.readAgain(sources, manifest)
    }

    private suspend fun isDoubted(manifest: WeightManifest): Boolean =
        core.thread.decide { core.manifests.shouldReadAgain(manifest, core.clock.elapsed()) }

    private suspend fun stageAll(
        manifest: WeightManifest,
        missing: ArrayDeque<Int>,
        started: Duration,
    ) {
        while (true) {
            val index = missing.removeFirstOrNull() ?: return
            if (isStillWanted(manifest) && stageChunk(manifest, index)) continue
            area.onFailedAttempt(index)
            missing.addLast(index)
            if (core.clock.elapsed() - started > STAGE_LIMIT || !isStillWanted(manifest)) return
            if (isDoubted(manifest) || isOutdated(manifest)) return
            delay(CHUNK_RETRY_DELAY)
        }
    }

    private suspend fun stageChunk(
        manifest: WeightManifest,
        index: Int,
    ): Boolean {
        if (area.isLast(manifest, index)) return false
        val attempts = area.attempts(index)
        val sources = core.thread.decide { core.staging.sources(manifest.model, manifest.number, index, core.clock.elapsed(), attempts) }
        val bytes =
            fetcher.chunk(sources, manifest, index).getOrElse { failure ->
                if (failure is Failure.NotHeld) skipped += manifest.number
                return false
            }
        if (!mayReplaceChunks(manifest) || area.isLast(manifest, index)) return false
        return area.put(manifest, index, bytes)
    }

    /**
     * Returns whether chunks of [manifest] may be stored now. If an order of an earlier process may load them together with others, the
     * back end is closed first, and the chunks are marked.
     */
    private suspend fun mayReplaceChunks(manifest: WeightManifest): Boolean =
        closing.withLock {
            val (earlier, pinned) = core.thread.decide { core.loadOrders.earlierOrder to core.loadOrders.unsettled?.manifest }
            when (earlier) {
                EarlierOrderState.Unexamined, EarlierOrderState.Settled -> true
                EarlierOrderState.Unnamed, is EarlierOrderState.Closed ->
                    manifest == pinned || area.isMarked || (closeForReplacement() && area.mark(manifest.model))
            }
        }

    /** Closes the back end; returns whether no request waits there. */
    private suspend fun closeForReplacement(): Boolean {
        val report = monitor.lastReport ?: return false
        core.thread.decide { core.loadOrders.onClosed(whole = null) }
        core.log.info("back-end-closed", "reason" to "replacement", "number" to report.held?.number?.number, "orders" to report.orders)
        return closeAndDrain(report, Handover.DRAIN)?.waiting == 0
    }

    /** Whether [manifest] is worth fetching. The chunks of an order that may still be accepted are, whatever was declared since. */
    private suspend fun isStillWanted(manifest: WeightManifest): Boolean =
        core.thread.decide { core.loadOrders.unsettled?.manifest } == manifest || choose(manifest).isWorthFetching(manifest.number)

    /** Chooses between [manifest], as far as it is staged, and the newest version. */
    private suspend fun choose(manifest: WeightManifest): VersionChoice {
        val staged = area.size.takeIf { area.manifest == manifest } ?: 0
        val (supply, choice) =
            core.thread.decide {
                val now = core.clock.elapsed()
                val missing = (manifest.digests.size - staged) * core.staging.chunkSize(manifest.model)
                val supply =
                    VersionSupply(
                        held = held?.takeIf { it.model == manifest.model }?.number,
                        missing = mapOf(manifest.number to missing),
                        copySize = core.staging.copySize(manifest.model),
                        rate = core.transferRates.rate(now),
                        loadTime = loadTime ?: DEFAULT_LOAD_TIME,
                        refused = skipped.toSet(),
                    )
                supply to core.staging.chooseVersion(manifest.model, supply, now)
            }
        choiceLog.onChoice(manifest.model, supply, choice)
        return choice
    }

    private suspend fun awaitScheduledSwitch(
        manifest: WeightManifest,
        report: BackEndReport,
    ): Boolean {
        while (isStillWanted(manifest)) {
            if (isOutdated(manifest)) return false
            if (core.thread.decide { core.loadOrders.isClosed }) return true
            val scheduledSwitch = scheduledSwitch(manifest, report) ?: return true
            switchLog.onScheduled(manifest, scheduledSwitch)
            val wait = scheduledSwitch.at - core.clock.elapsed()
            if (wait <= Duration.ZERO) return true
            delay(minOf(wait, SCHEDULE_CHECK_INTERVAL))
        }
        return false
    }

    private suspend fun scheduledSwitch(
        manifest: WeightManifest,
        report: BackEndReport,
    ): ScheduledSwitch? = core.thread.decide { core.staging.scheduledSwitch(slot.service, slot.backEnd, report, manifest.number) }

    /**
     * Whether a newer version was declared and can be fetched, so that [manifest] is skipped. It is not skipped if the newer version can't
     * serve before the one that the back end holds stops counting.
     */
    private suspend fun isOutdated(manifest: WeightManifest): Boolean {
        val newest = core.thread.decide { core.storeView.versions.newest[manifest.model] }
        if (newest == null || newest <= manifest.number || !choose(manifest).isNewestInTime) return false
        val last = manifest.digests.lastIndex
        val sources = core.thread.decide { core.staging.sources(manifest.model, newest, last, core.clock.elapsed()) }
        val canBeFetched =
            withTimeoutOrNull(NEWER_VERSION_TIMEOUT) {
                val newer = fetcher.manifest(sources, manifest.model, newest).getOrElse { return@withTimeoutOrNull false }
                // Entry daemons prefetch chunks in order, so the last one is available only when the others are.
                fetcher.chunk(sources, newer, last).onLeft { readAgainIfDoubted(newer) }.isRight()
            } ?: false
        if (canBeFetched) skipped += manifest.number
        core.log.info("newer-version", "number" to newest.number, "staged" to manifest.number.number, "can-be-fetched" to canBeFetched)
        return canBeFetched
    }

    private suspend fun orderLoad(
        manifest: WeightManifest,
        before: BackEndReport,
    ) {
        val scheduledSwitch = scheduledSwitch(manifest, before)
        val handover = scheduledSwitch?.handover(core.clock.elapsed()) ?: Handover.DRAIN
        if (before.held != null) switchLog.onBegun(manifest, scheduledSwitch, handover, before)
        val report = (if (before.held == null) reportOfSameRun(before) else closeAndDrain(before, handover)) ?: return
        if (area.isReadyToLoad(manifest)) sendOrder(manifest, report, handover)
    }

    private suspend fun sendOrder(
        manifest: WeightManifest,
        report: BackEndReport,
        handover: Handover,
    ) {
        val order = LoadOrder(manifest, report.born, report.orders)
        val orderedAt = core.clock.elapsed()
        core.thread.decide { core.loadOrders.onSent(order, orderedAt) }
        val fields =
            arrayOf<Pair<String, Any?>>(
                "number" to manifest.number.number,
                "born" to report.born,
                "orders" to report.orders,
                "running" to report.running,
                "verified-before" to area.timeSinceVerification,
                "declared-ms" to switchLog.ageOf(manifest),
            )
        val result = backEnd.start(order, handover) { area.isStillReadyToLoad(manifest) }
        when (result) {
            is Either.Left -> {
                core.thread.decide { recordFailure(order, result.value, orderedAt) }
                core.log.failure(if (isSent(result.value)) "order-unanswered" else "order-not-sent", result.value, *fields)
            }
            is Either.Right -> {
                core.thread.decide { core.loadOrders.onResponse(result.value, orderedAt) }
                logOrder(result.value, fields)
            }
        }
        val isAccepted = result.getOrNull() == OrderResponse.Accepted
        coroutineScope {
            var isLoading = isAccepted
            launch { stageNext(manifest, report) { isLoading } }
            awaitLoaded(manifest, orderedAt, report.held)
            isLoading = false
        }
    }

    /**
     * Stages a version that is newer than the one of [ordered], for as long as the back end drains or loads that one: it has taken over the
     * chunks of the order that it accepted after [before].
     */
    private suspend fun stageNext(
        ordered: WeightManifest,
        before: BackEndReport,
        isLoading: () -> Boolean,
    ) {
        while (isLoading()) {
            delay(LOAD_CHECK_INTERVAL)
            val report = monitor.lastReport
            if (report == null || report.born != before.born) return
            // Until a report shows that the order was accepted, an earlier process may still have one in transit.
            if (report.orders <= before.orders || !report.loading) continue
            held = HeldWeights(ordered.model, ordered.number, report.held?.layers ?: 0)
            val newest = core.thread.decide { core.storeView.versions.newest[ordered.model] }
            if (newest == null || newest <= ordered.number) continue
            val manifest = manifestOf(WeightsToLoad(ordered.model, newest), report)
            if (manifest != null && manifest.number > ordered.number && stage(manifest)) return
            delay(RETRY_DELAY)
        }
    }

    /** Returns the report of a back end that serves nothing, so needs no draining; null when it restarted or is loading. */
    private suspend fun reportOfSameRun(before: BackEndReport): BackEndReport? =
        monitor.report()?.takeIf { it.born == before.born && !it.loading }

    /**
     * Announces the back end as closed, so that the entry daemons send no more requests, and waits until its queue is empty:
     * requests that are still queued when the order arrives would wait until the load has ended. Running requests that are
     * to resume on another back end get some time to complete here. Returns null when the back end restarted meanwhile.
     */
    private suspend fun closeAndDrain(
        before: BackEndReport,
        handover: Handover,
    ): BackEndReport? {
        val closedAt = core.clock.elapsed()
        var report = monitor.report() ?: return null.also { switchLog.onDrained(closedAt, "unreachable", null) }
        while (report.born == before.born && !report.loading) {
            monitor.announce(report, closed = true)
            val waited = core.clock.elapsed() - closedAt
            val isEmpty = report.waiting == 0 && (handover == Handover.DRAIN || report.running == 0)
            if (waited > QUEUE_DRAIN_TIMEOUT || (isEmpty && waited > GOSSIP_PROPAGATION_TIME)) {
                switchLog.onDrained(closedAt, if (isEmpty) "empty" else "timeout", report)
                return report
            }
            delay(QUEUE_CHECK_INTERVAL)
            report = backEnd.report().getOrElse { return null.also { switchLog.onDrained(closedAt, "unreachable", null) } }
        }
        switchLog.onDrained(closedAt, if (report.loading) "loading" else "restarted", report)
        return null
    }

    /** Runs on the control thread. */
    private fun recordFailure(
        order: LoadOrder,
        failure: Failure,
        orderedAt: Duration,
    ) = if (isSent(failure)) core.loadOrders.onUnanswered(order, orderedAt) else core.loadOrders.onNotAccepted(orderedAt)

    /** Whether an order that failed with [failure] may have reached the back end. */
    private fun isSent(failure: Failure): Boolean = failure !is Failure.Unreachable && failure !is Failure.Declined

    private fun logOrder(
        result: OrderResponse,
        fields: Array<Pair<String, Any?>>,
    ) {
        when (result) {
            OrderResponse.Accepted -> core.log.info("order-begun", *fields)
            OrderResponse.AlreadyApplied -> core.log.info("order-already-applied", *fields)
            is OrderResponse.Declined -> core.log.warning("order-declined", *fields, "status" to result.status, "detail" to result.detail)
        }
    }

    /** Polls the back end until it has loaded or given up. Its report also tells whether an unanswered order took effect. */
    private suspend fun awaitLoaded(
        manifest: WeightManifest,
        orderedAt: Duration,
        heldBefore: HeldWeights?,
    ) {
        while (core.clock.elapsed() - orderedAt < LOAD_TIMEOUT) {
            delay(LOAD_CHECK_INTERVAL)
            val report = monitor.report() ?: return
            if (report.held?.number == manifest.number) {
                val took = core.clock.elapsed() - orderedAt
                if (heldBefore != null) loadTime = took
                core.log.info("loaded", "number" to manifest.number.number, "took" to took, "declared-ms" to switchLog.ageOf(manifest))
                return
            }
            if (!report.loading) return
        }
        core.log.warning("load-timed-out", "number" to manifest.number.number, "after" to core.clock.elapsed() - orderedAt)
    }

    private companion object {
        const val MANIFEST_INDEX = -1
        val NO_VERSION = WeightNumber(0)

        /** The link of the slot also carries requests, so one chunk is fetched while the previous one is staged. */
        const val MAX_CONCURRENT_FETCHES = 2

        val IDLE_POLL_INTERVAL = 400.milliseconds
        val RETRY_DELAY = 150.milliseconds
        val CHUNK_RETRY_DELAY = 60.milliseconds

        /** How long chunks that can't be had are waited for before the back end's report is read again. */
        val STAGE_LIMIT = 1_500.milliseconds
        val SCHEDULE_CHECK_INTERVAL = 200.milliseconds

        /** A chunk that an entry daemon of the region has cached arrives within a few round trips. */
        val NEWER_VERSION_TIMEOUT = 400.milliseconds
        val LOAD_CHECK_INTERVAL = 60.milliseconds
        val QUEUE_CHECK_INTERVAL = 40.milliseconds

        /** After this time the entry daemons have received the announcement, and requests sent before it have arrived. */
        val GOSSIP_PROPAGATION_TIME = 60.milliseconds
        val QUEUE_DRAIN_TIMEOUT = 600.milliseconds

        /** Running requests end within a few seconds, and loading takes less than one. */
        val LOAD_TIMEOUT = 8_000.milliseconds
    }
}
