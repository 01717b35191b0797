/**
 * Brings the weights that are wanted into the back end beside this daemon: draws the pieces, stages them, verifies what is
 * staged, orders the back end to load it, and tells the entry daemons what the back end holds.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import arrow.core.getOrElse
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.direct.BackEndReport
import lagoonrudder.control.direct.Handover
import lagoonrudder.control.direct.OrderResponse
import lagoonrudder.control.direct.SlotWord
import lagoonrudder.control.direct.ScheduledSwitch
import lagoonrudder.control.direct.WeightsToLoad
import lagoonrudder.control.direct.WeightManifest
import lagoonrudder.model.WeightNumber
import lagoonrudder.model.digestOf
import lagoonrudder.platform.SlotClient
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class StagingLoop(
    private val core: DirectCore,
    private val slot: DirectSlotSettings,
    private val peers: GossipLoop,
    private val sources: WeightFetcher,
) {
    private val backEnd = SlotClient(core.http, slot.backEnd)
    private var manifest: WeightManifest? = null
    private val sound = mutableSetOf<Int>()
    private var verifiedAt: Duration? = null
    private var born = 0L
    private var reachable = false

    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            val report = report()
            val weightsToLoad = report?.let { core.thread.decide { core.staging.weightsToLoad(slot.service, it) } }
            if (weightsToLoad == null || report.loading) delay(IDLE_PAUSE) else bring(weightsToLoad, report)
        }
    }

    /** Reads the back end's report and announces what changed; null while it doesn't answer. */
    private suspend fun report(): BackEndReport? {
        val report =
            backEnd.report().getOrElse { failure ->
                if (reachable) core.log.failure("back-end-lost", failure)
                reachable = false
                return null
            }
        if (!reachable) {
            core.log.info(
                "back-end-found",
                "back-end" to slot.backEnd,
                "born" to report.born,
                "number" to report.held?.number?.number,
            )
        }
        reachable = true
        if (report.born != born) restarted(report)
        say(SlotWord(slot.backEnd, report.born, report.held, report.loading))
        return report
    }

    private fun restarted(report: BackEndReport) {
        born = report.born
        sound.clear()
        manifest = null
        verifiedAt = null
    }

    private suspend fun say(word: SlotWord) {
        val before = peers.slot
        if (before == word) return
        peers.slot = word
        peers.announce()
    }

    private suspend fun bring(
        weightsToLoad: WeightsToLoad,
        report: BackEndReport,
    ) {
        val manifest = manifestOf(weightsToLoad, report)
        if (manifest == null) {
            delay(FAILED_PAUSE)
            return
        }
        if (!stage(manifest)) return
        if (!awaitTurn(manifest, report)) return
        if (wasJustVerified() || verify(manifest)) order(manifest, report)
    }

    private suspend fun manifestOf(
        weightsToLoad: WeightsToLoad,
        report: BackEndReport,
    ): WeightManifest? {
        val known = manifest?.takeIf { it.model == weightsToLoad.model && (weightsToLoad.number == null || it.number == weightsToLoad.number) }
        if (known != null) return known
        val begun = manifest?.takeIf { it.model == weightsToLoad.model && it.number > (report.held?.number ?: NONE_HELD) }
        if (begun != null && isStillWanted(begun) && !isOutdated(begun)) return begun
        val from = core.thread.decide { core.staging.sources(weightsToLoad.model, weightsToLoad.number, MANIFEST, core.clock.elapsed()) }
        val drawn = sources.manifest(from, weightsToLoad.model, weightsToLoad.number).getOrElse { return null }
        manifest = drawn
        sound.clear()
        verify(drawn)
        core.log.info(
            "staging",
            "model" to drawn.model.text,
            "number" to drawn.number.number,
            "pieces" to drawn.digests.size,
            "held" to sound.size,
        )
        return drawn
    }

    /** Draws and stages what is missing; false when another version is wanted meanwhile or a piece can't be had. */
    private suspend fun stage(manifest: WeightManifest): Boolean {
        val started = core.clock.elapsed()
        val missing = manifest.digests.indices.filter { it !in sound }
        if (missing.isEmpty()) return true
        val draws = Semaphore(DRAWS_AT_ONCE)
        val staged =
            coroutineScope {
                missing.map { index -> async { draws.withPermit { isStillWanted(manifest) && stageOne(manifest, index) } } }.awaitAll()
            }
        val complete = staged.all { it }
        core.log.info(
            "staged",
            "number" to manifest.number.number,
            "drawn" to staged.count { it },
            "missing" to staged.count { !it },
            "took" to core.clock.elapsed() - started,
        )
        if (!complete) delay(FAILED_PAUSE)
        return complete
    }

    private suspend fun stageOne(
        manifest: WeightManifest,
        index: Int,
    ): Boolean {
        val from = core.thread.decide { core.staging.sources(manifest.model, manifest.number, index, core.clock.elapsed()) }
        val bytes = sources.piece(from, manifest, index).getOrElse { return false }
        val staged = backEnd.stage(manifest.model, index, bytes)
        if (staged is Either.Left) core.log.failure("stage-failed", staged.value, "piece" to index)
        verifiedAt = null
        if (staged is Either.Right) sound += index
        return staged.isRight()
    }

    private suspend fun isStillWanted(manifest: WeightManifest): Boolean =
        core.thread.decide { core.staging.shouldFinishStaging(manifest.model, manifest.number, sound.size, manifest.digests.size) }

    private suspend fun awaitTurn(
        manifest: WeightManifest,
        report: BackEndReport,
    ): Boolean {
        while (isStillWanted(manifest)) {
            if (isOutdated(manifest)) return false
            val scheduledSwitch = scheduledSwitch(manifest, report) ?: return true
            val wait = scheduledSwitch.at - core.clock.elapsed()
            if (wait <= Duration.ZERO) return true
            delay(minOf(wait, TURN_CHECK))
        }
        return false
    }

    private suspend fun scheduledSwitch(
        manifest: WeightManifest,
        report: BackEndReport,
    ): ScheduledSwitch? = core.thread.decide { core.staging.scheduledSwitch(slot.service, slot.backEnd, report, manifest.number) }

    /** Whether a newer version was declared and can be drawn: then this one is passed over. */
    private suspend fun isOutdated(manifest: WeightManifest): Boolean {
        val newest = core.thread.decide { core.storeView.declared(manifest.model)?.number }
        if (newest == null || newest <= manifest.number) return false
        val last = manifest.digests.lastIndex
        val from = core.thread.decide { core.staging.sources(manifest.model, newest, last, core.clock.elapsed()) }
        val canBeDrawn =
            withTimeoutOrNull(NEWER_LIMIT) {
                val newer = sources.manifest(from, manifest.model, newest).getOrElse { return@withTimeoutOrNull false }
                // Entry daemons draw ahead in order, so the last piece is there when the others are.
                sources.piece(from, newer, last).isRight()
            } ?: false
        core.log.info("newer-version", "number" to newest.number, "staged" to manifest.number.number, "can-be-drawn" to canBeDrawn)
        return canBeDrawn
    }

    private fun wasJustVerified() = verifiedAt?.let { core.clock.elapsed() - it < VERIFIED_FOR } ?: false

    /** Reads every staged piece back; what isn't sound is drawn again. */
    private suspend fun verify(manifest: WeightManifest): Boolean {
        for (index in manifest.digests.indices) {
            val staged = backEnd.staged(manifest.model, index).getOrElse { null }
            val isSound = staged != null && digestOf(staged) == manifest.digests[index]
            if (isSound) sound += index else sound -= index
        }
        val isWhole = sound.size == manifest.digests.size
        verifiedAt = core.clock.elapsed().takeIf { isWhole }
        return isWhole
    }

    private suspend fun order(
        manifest: WeightManifest,
        before: BackEndReport,
    ) {
        val handover = scheduledSwitch(manifest, before)?.handover(core.clock.elapsed()) ?: Handover.DRAIN
        val report = (if (before.held == null) unchanged(before) else close(before, handover)) ?: return
        val ordered = core.clock.elapsed()
        when (val answer = backEnd.start(manifest.model, manifest.number, report.orders, handover)) {
            is Either.Left -> core.log.failure("order-unanswered", answer.value, "number" to manifest.number.number)
            is Either.Right -> logOrder(manifest, answer.value, report)
        }
        awaitLoaded(manifest, ordered)
    }

    /** The report of a back end that serves nothing and needs no notice; null when it restarted meanwhile. */
    private suspend fun unchanged(before: BackEndReport): BackEndReport? = report()?.takeIf { it.born == before.born && !it.loading }

    /**
     * Tells the entry daemons to send nothing more and waits until the back end's queue is empty: what still waits there
     * when the order comes would wait until the load has ended. Requests that are to go on elsewhere get some time to end
     * where they are. Null when the back end restarted meanwhile.
     */
    private suspend fun close(
        before: BackEndReport,
        handover: Handover,
    ): BackEndReport? {
        val asked = core.clock.elapsed()
        var report = report() ?: return null
        while (report.born == before.born && !report.loading) {
            say(SlotWord(slot.backEnd, report.born, report.held, closed = true))
            val waited = core.clock.elapsed() - asked
            val isEmpty = report.waiting == 0 && (handover == Handover.DRAIN || report.running == 0)
            if (waited > QUEUE_LIMIT || (isEmpty && waited > NOTICE)) return report
            delay(QUEUE_CHECK)
            report = backEnd.report().getOrElse { return null }
        }
        return null
    }

    private fun logOrder(
        manifest: WeightManifest,
        answer: OrderResponse,
        report: BackEndReport,
    ) {
        val fields = arrayOf("number" to manifest.number.number, "orders" to report.orders, "running" to report.running)
        when (answer) {
            OrderResponse.Accepted -> core.log.info("order-begun", *fields)
            OrderResponse.AlreadyApplied -> core.log.info("order-in-effect", *fields)
            is OrderResponse.Declined -> core.log.warning("order-declined", *fields, "status" to answer.status, "detail" to answer.detail)
        }
    }

    /** Watches the back end until it has loaded or given up; an order without an answer shows in its report. */
    private suspend fun awaitLoaded(
        manifest: WeightManifest,
        ordered: Duration,
    ) {
        while (core.clock.elapsed() - ordered < LOAD_LIMIT) {
            delay(LOAD_CHECK)
            val report = report() ?: return
            if (report.held?.number == manifest.number) {
                core.log.info("loaded", "number" to manifest.number.number, "took" to core.clock.elapsed() - ordered)
                return
            }
            if (!report.loading) return
        }
        core.log.warning("load-unfinished", "number" to manifest.number.number, "after" to core.clock.elapsed() - ordered)
    }

    private companion object {
        const val MANIFEST = -1
        val NONE_HELD = WeightNumber(0)

        /** The link of the slot also carries live requests: one piece is on its way while the one before is staged. */
        const val DRAWS_AT_ONCE = 2

        /** What was read back whole so lately needs no second reading before the order. */
        val VERIFIED_FOR = 300.milliseconds
        val IDLE_PAUSE = 400.milliseconds
        val FAILED_PAUSE = 300.milliseconds
        val TURN_CHECK = 200.milliseconds

        /** A piece that an entry daemon of the region holds comes within a few link times. */
        val NEWER_LIMIT = 400.milliseconds
        val LOAD_CHECK = 60.milliseconds
        val QUEUE_CHECK = 40.milliseconds

        /** By then the entry daemons have heard, and what they sent before has arrived. */
        val NOTICE = 60.milliseconds
        val QUEUE_LIMIT = 600.milliseconds

        /** Running work ends within a few seconds, and loading takes less than one. */
        val LOAD_LIMIT = 8_000.milliseconds
    }
}
