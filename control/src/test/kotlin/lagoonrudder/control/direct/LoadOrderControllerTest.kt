package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val ORDER = LoadOrder(WeightManifest(ModelId("model"), WeightNumber(2), emptyList()), born = 7, ordersBefore = 3)
private val DECLINED = OrderResponse.Declined(409, "busy")

private fun report(
    born: Long = 7,
    orders: Long = 3,
    holds: Long? = null,
): BackEndReport {
    val held = holds?.let { HeldWeights(ModelId("model"), WeightNumber(it), layers = 4) }
    return BackEndReport(born, held, loading = false, orders, running = 0, waiting = 0)
}

/** Guards against an order that is taken for lost although the back end may still accept it. */
class LoadOrderControllerTest :
    FunSpec({
        fun unansweredAt(time: Duration) =
            LoadOrderController().apply {
                onSent(ORDER, time)
                onUnanswered(ORDER, time)
            }

        test("an order without a response stays unsettled while the back end has accepted none since") {
            val orders = unansweredAt(1.seconds)
            orders.onReport(report(), 20.seconds) shouldBe null
            orders.unsettled shouldBe ORDER
        }

        test("a response to the only order settles it") {
            for (response in listOf(OrderResponse.Accepted, OrderResponse.AlreadyApplied, DECLINED)) {
                val orders = LoadOrderController()
                orders.onSent(ORDER, 1.seconds)
                orders.onResponse(response, 1.seconds)
                orders.unsettled shouldBe null
            }
        }

        test("a declined or unsent repetition leaves the first order unsettled") {
            val orders = unansweredAt(1.seconds)
            orders.onSent(ORDER, 3.seconds)
            orders.onResponse(DECLINED, 3.seconds)
            orders.onSent(ORDER, 4.seconds)
            orders.onNotAccepted(4.seconds)
            orders.unsettled shouldBe ORDER
        }

        test("an accepted repetition settles the first order, which the back end will decline") {
            val orders = unansweredAt(1.seconds)
            orders.onSent(ORDER, 3.seconds)
            orders.onResponse(OrderResponse.Accepted, 3.seconds)
            orders.unsettled shouldBe null
        }

        test("a report settles an order when another one was accepted or the back end restarted") {
            unansweredAt(1.seconds).onReport(report(orders = 4), 2.seconds) shouldBe OrderSettlement.ACCEPTED
            unansweredAt(1.seconds).onReport(report(born = 8, orders = 0), 2.seconds) shouldBe OrderSettlement.BACK_END_RESTARTED
        }

        test("an order of an earlier process is possible until one is accepted, the back end restarts, or its life is over") {
            fun isPossibleAfter(
                next: BackEndReport,
                at: Duration,
            ) = LoadOrderController()
                .apply {
                    onReport(report(), 1.seconds)
                    onReport(next, at)
                }.earlierOrderPossible
            isPossibleAfter(report(), 31.seconds) shouldBe true
            isPossibleAfter(report(), 31.seconds + 1.milliseconds) shouldBe false
            isPossibleAfter(report(orders = 4), 2.seconds) shouldBe false
            isPossibleAfter(report(born = 8), 2.seconds) shouldBe false
        }

        test("an order expires after the longest time for which a call is held, counted from its last repetition") {
            val orders = unansweredAt(1.seconds)
            orders.onUnanswered(ORDER, 5.seconds)
            orders.onReport(report(), 35.seconds) shouldBe null
            orders.onReport(report(), 35.seconds + 1.milliseconds) shouldBe OrderSettlement.EXPIRED
            orders.unsettled shouldBe null
        }

        // A late order may load chunks of several versions while they are replaced.
        test("a back end whose chunks are replaced under an order is closed until it holds what this process ordered") {
            fun closedAfter(
                next: BackEndReport,
                at: Duration = 5.seconds,
                whole: Long? = null,
                sent: Boolean = false,
            ) = LoadOrderController()
                .apply {
                    onReport(report(holds = 1), 1.seconds)
                    onUnnamedEarlierOrder()
                    onClosed(whole?.let { WeightNumber(it) })
                    if (sent) onSent(ORDER, 2.seconds)
                    onReport(next, at)
                }.isClosed
            closedAfter(report(holds = 1)) shouldBe true
            closedAfter(report(holds = 5, orders = 4)) shouldBe true
            closedAfter(report(holds = 5, orders = 4), sent = true) shouldBe true
            closedAfter(report(holds = 5, orders = 4), at = 60.seconds) shouldBe true
            closedAfter(report(holds = 2, orders = 4), sent = true) shouldBe false
            closedAfter(report(holds = 2, orders = 4), whole = 2) shouldBe false
            closedAfter(report(holds = 1), at = 32.seconds) shouldBe false
            closedAfter(report(born = 8, orders = 0)) shouldBe false
        }

        test("a replacement that an earlier process has not finished keeps the back end closed however long that takes") {
            fun closedAfter(next: BackEndReport) =
                LoadOrderController()
                    .apply {
                        onUnfinishedReplacement()
                        onReport(report(holds = 1), 1.seconds)
                        onSent(ORDER, 2.seconds)
                        onReport(next, 60.seconds)
                    }.isClosed
            closedAfter(report(holds = 1)) shouldBe true
            closedAfter(report(holds = 2, orders = 4)) shouldBe false
        }

        test("an order of an earlier process whose chunks can't be had is given up only while the back end is closed") {
            val open = unansweredAt(1.seconds).apply { onChunksUnavailable() }
            open.unsettled shouldBe ORDER
            val closed =
                unansweredAt(1.seconds).apply {
                    onClosed(whole = null)
                    onChunksUnavailable()
                }
            closed.unsettled shouldBe null
        }
    })
