/**
 * Decides when the chunks that are staged on a back end may be replaced by those of another version.
 *
 * A back end takes the staged chunks as they are when it accepts an order, which can be long after the order was sent and
 * without an answer to it. While an order may still be accepted, the chunks of its version stay and the same order is sent
 * again. The back end accepts one of these orders at most, since each states how many orders it must have accepted before.
 *
 * A process that has started may find chunks that an order of the process before it may still load. Where it can't repeat that order,
 * it replaces the chunks while the back end is closed: whatever the order loads, no request runs on it. An order of its own that is
 * accepted excludes the earlier one, and loads chunks that were verified.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** An order to load the chunks of [manifest]. The back end that started at [born] has accepted [ordersBefore] orders before it. */
data class LoadOrder(
    val manifest: WeightManifest,
    val born: Long,
    val ordersBefore: Long,
)

/** Why an order without an answer can no longer be accepted. */
enum class OrderSettlement {
    /** The back end has accepted one of the orders that state the same number of earlier ones, and would decline the others. */
    ACCEPTED,

    /** The process that received the order is gone. */
    BACK_END_RESTARTED,

    /** The last order without an answer was sent too long ago. */
    EXPIRED,
}

/** What is known of an order that a process which ran here before may have sent without an answer. */
sealed class EarlierOrderState {
    /** There may be one. */
    data object Unexamined : EarlierOrderState()

    /** There may be one for a version that can't be named. Chunks may be replaced once the back end is closed. */
    data object Unnamed : EarlierOrderState()

    /**
     * There may be one, and what it loads need not belong together. The back end is closed until it holds [whole], or a version that this
     * process has ordered; [whole] is null if nothing complete is staged. If [hasLoaded], the order may have been accepted already.
     */
    data class Closed(
        val whole: WeightNumber?,
        val hasLoaded: Boolean = false,
    ) : EarlierOrderState()

    /** No such order can be accepted any more. */
    data object Settled : EarlierOrderState()
}

class LoadOrderController {
    private class FirstReport(
        val born: Long,
        val orders: Long,
        val at: Duration,
    )

    private class Unsettled(
        val order: LoadOrder,
        val unansweredAt: Duration,
    )

    private var unsettledOrder: Unsettled? = null
    private var firstReport: FirstReport? = null

    private var lastSent: LoadOrder? = null

    var earlierOrder: EarlierOrderState = EarlierOrderState.Unexamined
        private set

    /** Whether the back end may still accept an order of a process that ran here before this one. */
    val earlierOrderPossible: Boolean get() = earlierOrder != EarlierOrderState.Settled

    /** Whether no request may run on the back end, whatever it reports to hold. */
    val isClosed: Boolean get() = earlierOrder is EarlierOrderState.Closed

    /** The order that was sent without an answer and may still be accepted. */
    val unsettled: LoadOrder? get() = unsettledOrder?.order

    /** Records that [order] is sent; until there is a response it may be accepted at any time. */
    fun onSent(
        order: LoadOrder,
        now: Duration,
    ) {
        lastSent = order
        if (unsettledOrder?.order != order) unsettledOrder = Unsettled(order, now)
    }

    /** Records that [order] got no response, at [now]. */
    fun onUnanswered(
        order: LoadOrder,
        now: Duration,
    ) {
        unsettledOrder = Unsettled(order, now)
    }

    /** Records the [response] to an order that was sent at [sentAt]. */
    fun onResponse(
        response: OrderResponse,
        sentAt: Duration,
    ) = when (response) {
        OrderResponse.Accepted, OrderResponse.AlreadyApplied -> unsettledOrder = null
        is OrderResponse.Declined -> onNotAccepted(sentAt)
    }

    /**
     * Records that the order that was sent at [sentAt] was declined or never left this process. This says nothing about an
     * equal one that was sent before it and got no response.
     */
    fun onNotAccepted(sentAt: Duration) {
        if (unsettledOrder?.unansweredAt == sentAt) unsettledOrder = null
    }

    /** Records that no order of an earlier process can be accepted any more. */
    fun onNoEarlierOrder() {
        earlierOrder = EarlierOrderState.Settled
    }

    /** Records that an order of an earlier process may be in transit, for a version that can't be named. */
    fun onUnnamedEarlierOrder() {
        if (earlierOrder == EarlierOrderState.Unexamined) earlierOrder = EarlierOrderState.Unnamed
    }

    /** Records that the back end is closed, since an order of an earlier process may load chunks other than the complete ones of [whole]. */
    fun onClosed(whole: WeightNumber?) {
        if (earlierOrderPossible && !isClosed) earlierOrder = EarlierOrderState.Closed(whole)
    }

    /** Records that an earlier process was replacing chunks under an order, which may have been accepted since. */
    fun onUnfinishedReplacement() {
        if (earlierOrderPossible) earlierOrder = EarlierOrderState.Closed(whole = null, hasLoaded = true)
    }

    /** Gives up an order of an earlier process whose chunks can't be had. They may be replaced, since the back end is closed. */
    fun onChunksUnavailable() {
        if (isClosed) unsettledOrder = null
    }

    /** Returns how the unsettled order was settled according to [report]; null if it was not, or if there is none. */
    fun onReport(
        report: BackEndReport,
        now: Duration,
    ): OrderSettlement? {
        checkEarlierOrder(report, now)
        val unsettled = unsettledOrder ?: return null
        val settlement =
            when {
                report.born != unsettled.order.born -> OrderSettlement.BACK_END_RESTARTED
                report.orders > unsettled.order.ordersBefore -> OrderSettlement.ACCEPTED
                now - unsettled.unansweredAt > CALL_LIFETIME -> OrderSettlement.EXPIRED
                else -> return null
            }
        unsettledOrder = null
        return settlement
    }

    private fun checkEarlierOrder(
        report: BackEndReport,
        now: Duration,
    ) {
        val first = firstReport ?: FirstReport(report.born, report.orders, now).also { firstReport = it }
        val hasRestarted = report.born != first.born
        val hasAccepted = report.orders != first.orders
        val isExpired = now - first.at > CALL_LIFETIME
        val isSettled =
            when (val state = earlierOrder) {
                EarlierOrderState.Unexamined, EarlierOrderState.Unnamed -> hasRestarted || hasAccepted || isExpired
                is EarlierOrderState.Closed ->
                    hasRestarted || (if (hasAccepted) isWhole(report, state) else isExpired && !state.hasLoaded)
                EarlierOrderState.Settled -> return
            }
        if (isSettled) onNoEarlierOrder()
    }

    /** Whether what the back end has loaded was complete when it accepted the order, whoever has sent that. */
    private fun isWhole(
        report: BackEndReport,
        state: EarlierOrderState.Closed,
    ): Boolean {
        val number = report.held?.number ?: return false
        return number == state.whole || number == lastSent?.manifest?.number
    }
}

/** The time after which a call without an answer counts as gone; as long as the platform's longest call, a waiting read. */
internal val CALL_LIFETIME = 30.seconds
