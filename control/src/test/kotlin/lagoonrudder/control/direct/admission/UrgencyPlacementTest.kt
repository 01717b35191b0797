package lagoonrudder.control.direct.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import lagoonrudder.control.direct.BackEndNoticeController
import lagoonrudder.control.direct.BackEndStateController
import lagoonrudder.control.direct.ENGINES
import lagoonrudder.control.direct.FAR
import lagoonrudder.control.direct.LoadReport
import lagoonrudder.control.direct.NEAR
import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.direct.Placement
import lagoonrudder.control.direct.PlacementBounds
import lagoonrudder.control.direct.PlacementController
import lagoonrudder.control.direct.PlacementRequest
import lagoonrudder.control.direct.REGIONS
import lagoonrudder.control.direct.StoreViewController
import lagoonrudder.control.direct.Topology
import lagoonrudder.control.direct.applyChanges
import lagoonrudder.control.direct.backEnd
import lagoonrudder.control.direct.item
import lagoonrudder.control.direct.peer
import lagoonrudder.control.direct.registered
import lagoonrudder.control.direct.route
import lagoonrudder.control.direct.servingSet
import lagoonrudder.control.direct.suspicion.SuspicionController
import lagoonrudder.control.strictInvariants
import lagoonrudder.model.RequestKind
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.TargetId
import lagoonrudder.model.rankOf
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val NOW = 100.seconds

/** Ten engines of four slots, a full one in another region, and a neighbour that has [busy] requests in flight at each and reports [demand]. */
@OptIn(ExperimentalCoroutinesApi::class)
private class UrgencyScene(
    busy: Int,
    demand: List<LevelDemand>,
    ranks: List<Int> = listOf(0, 1),
) {
    private val peers = PeerController(peer("self"), emptyList())
    private val storeView = StoreViewController(strictInvariants())
    val placement =
        PlacementController(
            Topology(NEAR, REGIONS),
            PlacementBounds(1.5, 5.0),
            storeView,
            peers,
            BackEndStateController(),
            SuspicionController(peers),
            BackEndNoticeController(),
            Random(1),
        )

    init {
        val routes = ranks.map { route(RequestKind.Stream(resumable = true, maxEventGap = null)).copy(priority = it) }
        val configuration = servingSet(1).copy(routes = routes)
        storeView.applyChanges(listOf(item("op/config", 1, StoreRecord.Configuration(configuration))), 1, 10.seconds)
        storeView.applyChanges((0 until 10).map { registered(backEnd("engine-$it"), it + 2L) }, 50, 10.seconds)
        val full = backEnd("engine-far", FAR)
        storeView.applyChanges(listOf(registered(full, 60)), 60, 10.seconds)
        val inFlight = (0 until 10).associate { TargetId("engine-$it") to busy } + (full.id to 2 * full.slots)
        peers.onGossipReceived(peer("neighbour"), LoadReport(inFlight, 1, mapOf(ENGINES to demand)), null, NOW)
    }

    fun place(rank: Int): Placement? {
        val wait = WaitLimit.ForObjective(400.milliseconds, 400.milliseconds, 2.4.seconds, 6.seconds)
        val request =
            PlacementRequest(
                ENGINES,
                null,
                rankOf(null, rank),
                emptyList(),
                emptySet(),
                null,
                0,
                isLate = false,
                wait,
                timeLeft = 6.seconds,
            )
        return place(request)
    }

    /** A request that waits because the only engine which it may use is full. */
    fun waitInOtherRegion(rank: Int): Placement? {
        val homeRegions = listOf(setOf(REGIONS.getValue(FAR)))
        val wait = WaitLimit.Within(1.seconds)
        return place(
            PlacementRequest(
                ENGINES,
                null,
                rankOf(null, rank),
                homeRegions,
                emptySet(),
                null,
                0,
                isLate = false,
                wait,
                timeLeft = 6.seconds,
            ),
        )
    }

    private fun place(request: PlacementRequest): Placement? {
        val result = placement.place(request, NOW).result
        return if (result.isCompleted) result.getCompleted() else null
    }
}

private val BURST = listOf(LevelDemand(UrgencyLevel(0), 10, 10, 0, 0), LevelDemand(UrgencyLevel(1), 200, 30, 170, 0))

class UrgencyPlacementTest :
    FunSpec({
        test("a burst of less urgent requests at other daemons is cut here as well, and leaves free slots to the more urgent ones") {
            val scene = UrgencyScene(busy = 4, BURST)
            val lessUrgent = (1..20).map { scene.place(1) }
            lessUrgent.count { it is Placement.Placed } shouldBeLessThan 6
            lessUrgent.count { it is Placement.Refused && "not admitted" in it.reason } shouldBeGreaterThan 13
            repeat(5) { scene.place(0).shouldBeInstanceOf<Placement.Placed>().level shouldBe UrgencyLevel(0) }
        }

        test("nobody is refused while a quarter of the slots is free, whatever other daemons report") {
            val scene = UrgencyScene(busy = 2, BURST)
            repeat(10) { scene.place(1).shouldBeInstanceOf<Placement.Placed>() }
        }

        test("a more urgent request that may only use a full engine elsewhere doesn't hold back others while slots are free") {
            val scene = UrgencyScene(busy = 2, BURST)
            scene.waitInOtherRegion(0) shouldBe null
            scene.place(1).shouldBeInstanceOf<Placement.Placed>()
        }

        test("a slot is left to more urgent requests that wait at a daemon nearby") {
            val waiting = listOf(LevelDemand(UrgencyLevel(0), 30, 40, 0, 1_000_000))
            (UrgencyScene(busy = 4, waiting).place(1) is Placement.Placed) shouldBe false
            (UrgencyScene(busy = 4, waiting).place(0) is Placement.Placed) shouldBe true
        }

        test("where all requests have one rank, nothing is refused by urgency and nothing is reported") {
            val scene = UrgencyScene(busy = 4, BURST, ranks = listOf(1, 1))
            repeat(5) { scene.place(1).shouldBeInstanceOf<Placement.Placed>().level shouldBe null }
            scene.placement.demand(NOW) shouldBe emptyMap()
        }
    })
