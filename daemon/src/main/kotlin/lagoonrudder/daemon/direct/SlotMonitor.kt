/**
 * Follows the state of the back end beside this daemon through its reports, and announces it to the entry daemons.
 */
package lagoonrudder.daemon.direct

import arrow.core.getOrElse
import lagoonrudder.control.direct.BackEndReport
import lagoonrudder.control.direct.SlotWord
import lagoonrudder.platform.SlotClient

class SlotMonitor(
    private val core: DirectCore,
    private val slot: DirectSlotSettings,
    private val backEnd: SlotClient,
    private val area: StagingArea,
    private val peers: GossipLoop,
) {
    private var reachable = false
    private var isMarkRead = false

    /** The last report that the back end sent. */
    var lastReport: BackEndReport? = null
        private set

    /** Reads the back end's report and announces a changed state; returns null while the back end does not respond. */
    suspend fun report(): BackEndReport? {
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
        if (report.born != lastReport?.born) onRestart()
        logChange(report)
        readMark(report)
        settleOrder(report)
        announce(report, closed = report.loading)
        return report
    }

    /** Closes a back end with weights that may be the mixed ones that an earlier process has kept closed. */
    private suspend fun readMark(report: BackEndReport) {
        val held = report.held
        if (isMarkRead || held == null) return
        val isMarked = area.holdsMark(held.model) ?: return
        isMarkRead = true
        if (!isMarked) return
        core.thread.decide { core.loadOrders.onUnfinishedReplacement() }
        core.log.warning("back-end-closed", "reason" to "replacement-unfinished", "number" to held.number.number, "orders" to report.orders)
    }

    private suspend fun onRestart() {
        area.clear()
        core.thread.decide { core.chunkWrites.onBackEndRestarted() }
    }

    /** Announces the back end with [report]; a closed one gets no new requests. */
    suspend fun announce(
        report: BackEndReport,
        closed: Boolean,
    ) {
        val lastSequence = peers.slot?.sequence ?: 0
        val staysClosed = core.thread.decide { core.loadOrders.isClosed }
        val state = SlotWord(slot.backEnd, report.born, report.held, closed || staysClosed, lastSequence)
        if (peers.slot == state) return
        peers.slot = state.copy(sequence = sequenceAfter(lastSequence))
        peers.announce()
    }

    /** Returns a higher sequence number than [last]; the clock may have been set back since. */
    private fun sequenceAfter(last: Long): Long = maxOf(core.clock.now().toEpochMilliseconds(), last + 1)

    /** Logs what the back end loaded or accepted since its last report, also when it never answered the order that led to it. */
    private fun logChange(report: BackEndReport) {
        val last = lastReport
        lastReport = report
        val isUnchanged = last?.born == report.born && last.orders == report.orders && last.held == report.held
        if (last == null || isUnchanged) return
        core.log.info(
            "back-end-changed",
            "born" to report.born,
            "number" to report.held?.number?.number,
            "orders" to report.orders,
            "loading" to report.loading,
            "staging" to area.manifest?.number?.number,
            "staged" to area.size,
        )
    }

    private suspend fun settleOrder(report: BackEndReport) {
        val (order, settlement) =
            core.thread.decide { core.loadOrders.unsettled to core.loadOrders.onReport(report, core.clock.elapsed()) }
        if (settlement == null) return
        core.log.info(
            "order-settled",
            "number" to order?.manifest?.number?.number,
            "by" to settlement.name.lowercase(),
            "born" to report.born,
            "orders" to report.orders,
        )
    }
}
