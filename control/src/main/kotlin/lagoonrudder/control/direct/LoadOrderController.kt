/**
 * Decides when the chunks that are staged on a back end may be replaced by those of another version.
 *
 * A back end takes the staged chunks as they are when it accepts an order, which can be long after the order was sent and
 * without an answer to it. While an order may still be accepted, the chunks of its version stay and the same order is sent
 * again. The back end accepts one of these orders at most, since each states how many orders it must have accepted before.
 */
package lagoonrudder.control.direct

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

    /** Whether the back end may still accept an order of a process that ran here before this one. */
    var earlierOrderPossible = true
        private set

    /** The order that was sent without an answer and may still be accepted. */
    val unsettled: LoadOrder? get() = unsettledOrder?.order

    /** Records that [order] is sent; until there is a response it may be accepted at any time. */
    fun onSent(
        order: LoadOrder,
        now: Duration,
    ) {
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
        earlierOrderPossible = false
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
        val isSettled = report.born != first.born || report.orders != first.orders || now - first.at > CALL_LIFETIME
        if (isSettled) onNoEarlierOrder()
    }
}

/** The time after which a call without an answer counts as gone; as long as the platform's longest call, a waiting read. */
internal val CALL_LIFETIME = 30.seconds
