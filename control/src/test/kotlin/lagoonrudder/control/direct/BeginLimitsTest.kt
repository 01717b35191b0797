/**
 * Guards against requests that begin on an older version after its limit, and against giving up those that still begin in time.
 */
package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import lagoonrudder.control.strictInvariants
import lagoonrudder.model.BackEnd
import lagoonrudder.model.ServiceId
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val LIMIT = 8.seconds
private val START = 100.seconds

private class LimitScene(
    val backEnd: BackEnd,
    bindingFrom: Duration = Duration.INFINITE,
) {
    val storeView = StoreViewController(strictInvariants(), LIMIT, bindingFrom)
    val states = BackEndStateController()
    private val limits = BeginLimits(storeView, states)
    private var revision = 2L

    init {
        val set = item("op/config", 1, StoreRecord.Configuration(servingSet(1)))
        storeView.applyChanges(listOf(set, registered(backEnd, 2)), 2, 10.seconds)
    }

    fun declare(
        number: Long,
        now: Duration,
    ) = put(item("op/version/model", ++revision, StoreRecord.VersionDeclaration(MODEL, WeightNumber(number))), now)

    fun register(
        backEnd: BackEnd,
        now: Duration,
    ) = put(registered(backEnd, ++revision), now)

    private fun put(
        change: DecodedItem,
        now: Duration,
    ) {
        // An answer of the store without the change, so that its age is known.
        storeView.applyChanges(emptyList(), revision - 1, now)
        storeView.applyChanges(listOf(change), revision, now)
    }

    fun limit(now: Duration) = limits.limit(backEnd, now)

    /** Returns when a request that never begins is given up, with the number of decisions until then. */
    fun givenUp(sentAt: Duration): Pair<Duration, Int> {
        var now = sentAt
        var decisions = 0
        while (true) {
            decisions++
            when (val limit = limit(now)) {
                is BeginLimit.Open -> {
                    limit.until shouldBeGreaterThan now
                    now = limit.until
                }
                is BeginLimit.Passed -> return now to decisions
            }
        }
    }
}

class BeginLimitsTest :
    FunSpec({
        test("a request is given up at a back end with an older version shortly before the limit of the newer one") {
            val scene = LimitScene(backEnd("a"))
            scene.declare(2, START)
            for (sentAfter in listOf(0, 1_000, 4_000, 6_800)) {
                val (at, decisions) = scene.givenUp(START + sentAfter.milliseconds)
                at shouldBeLessThan START + LIMIT
                at shouldBeGreaterThan START + LIMIT - 500.milliseconds
                decisions shouldBeLessThan 4
            }
        }

        test("a version that was declared after the request was sent limits it from its own declaration") {
            for (declaredAfter in listOf(0, 1_000, 3_900, 4_000, 7_000)) {
                val scene = LimitScene(backEnd("a"))
                val until = scene.limit(START).shouldBeInstanceOf<BeginLimit.Open>().until
                val declaredAt = START + declaredAfter.milliseconds
                // Decisions that fall before the declaration.
                var next = until
                while (next <= declaredAt) next = scene.limit(next).shouldBeInstanceOf<BeginLimit.Open>().until
                scene.declare(2, declaredAt)
                val (at, _) = scene.givenUp(next)
                at shouldBeLessThan declaredAt + LIMIT
                at shouldBeGreaterThan declaredAt + LIMIT - 500.milliseconds
            }
        }

        test("a further declared version does not postpone the limit of the previous one") {
            val scene = LimitScene(backEnd("a"))
            scene.declare(2, START)
            scene.declare(3, START + 6.seconds)
            scene.givenUp(START + 6.seconds).first shouldBeLessThan START + LIMIT
        }

        test("a request may begin at a back end once that holds the declared version, by its status or its registration") {
            val byStatus = LimitScene(backEnd("a"))
            byStatus.declare(2, START)
            val switched = backEnd("a", number = 2)
            byStatus.states.onGossipReceived(SlotWord(switched.address, switched.born, switched.weights, closed = false), START + 7.seconds)
            byStatus.limit(START + LIMIT).shouldBeInstanceOf<BeginLimit.Open>()
            val byRegistration = LimitScene(backEnd("a"))
            byRegistration.declare(2, START)
            byRegistration.register(switched, START + 7.seconds)
            byRegistration.limit(START + LIMIT).shouldBeInstanceOf<BeginLimit.Open>()
        }

        // Such a request waited for up to half of the limit before a version that the daemon had heard of meanwhile ended it.
        test("a request that was sent shortly after the start is decided again when the limits begin to bind the daemon") {
            val scene = LimitScene(backEnd("a"), bindingFrom = START + 3.seconds)
            scene.limit(START).shouldBeInstanceOf<BeginLimit.Open>().until shouldBeLessThan START + 3.seconds
            scene.limit(START + 3.seconds).shouldBeInstanceOf<BeginLimit.Open>().until shouldBe START + 3.seconds + LIMIT / 2
        }

        test("while no newer version is declared the decision is renewed within the limit, and never for a plain service") {
            val scene = LimitScene(backEnd("a"))
            scene.limit(START).shouldBeInstanceOf<BeginLimit.Open>().until shouldBeLessThan START + LIMIT
            val plain = LimitScene(backEnd("a", number = null).copy(service = ServiceId("origin")))
            plain.declare(2, START)
            plain.limit(START + LIMIT) shouldBe BeginLimit.Open(Duration.INFINITE)
        }
    })
