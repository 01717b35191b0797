package lagoonrudder.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import lagoonrudder.model.RequestId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val one = RequestId("one")
private val two = RequestId("two")

private fun memory(policy: ReaderMemoryPolicy = ReaderMemoryPolicy.Windowed(window = 100, budget = 200)) =
    ReaderMemoryController(policy, strictInvariants())

class ReaderMemoryControllerTest :
    FunSpec({
        test("an answer holds no more than its window and all together no more than the budget") {
            val memory = memory()
            memory.open(one, 10, Duration.ZERO) shouldBe HoldDecision.Hold
            memory.open(two, 10, Duration.ZERO) shouldBe HoldDecision.Hold
            memory.hold(one, 90) shouldBe HoldDecision.Hold
            memory.hold(one, 1) shouldBe HoldDecision.Wait
            memory.hold(two, 41) shouldBe HoldDecision.Wait
            memory.hold(two, 40) shouldBe HoldDecision.Hold
            memory.read(one, 50, 1.seconds)
            memory.hold(two, 50) shouldBe HoldDecision.Hold
        }

        test("the last quarter of the budget is kept for answers that begin") {
            val memory = memory()
            memory.open(one, 100, Duration.ZERO) shouldBe HoldDecision.Hold
            memory.open(two, 50, Duration.ZERO) shouldBe HoldDecision.Hold
            memory.hold(two, 1) shouldBe HoldDecision.Wait
            memory.open(RequestId("three"), 50, Duration.ZERO) shouldBe HoldDecision.Hold
            memory.open(RequestId("four"), 1, Duration.ZERO) shouldBe HoldDecision.Wait
        }

        test("a stalled answer gives up its back end only when others need the room") {
            val memory = memory(ReaderMemoryPolicy.Windowed(window = 100, budget = 1_000))
            memory.open(one, 10, Duration.ZERO)
            memory.hold(one, 50)
            memory.victim(othersWait = false, now = 10.seconds) shouldBe null
            memory.victim(othersWait = true, now = 1.seconds) shouldBe null
            memory.victim(othersWait = true, now = 10.seconds) shouldBe one
            memory.park(one)
            memory.victim(othersWait = true, now = 10.seconds) shouldBe null
        }

        test("what an answer held is given back when it closes") {
            val memory = memory()
            memory.open(one, 10, Duration.ZERO)
            memory.hold(one, 90)
            memory.close(one)
            memory.held() shouldBe 0
        }

        test("random holding and reading stays within the budget and ends at nothing") {
            val random = Random(9)
            val memory = memory(ReaderMemoryPolicy.Windowed(window = 200, budget = 1_000))
            val held = mutableMapOf<RequestId, Long>()
            repeat(20_000) { step ->
                val request = RequestId("r${random.nextInt(30)}")
                val now = 1.seconds * step
                when (random.nextInt(4)) {
                    0 -> if (request !in held && memory.open(request, 10, now) is HoldDecision.Hold) held[request] = 10
                    1 -> if (request in held && memory.hold(request, 20) is HoldDecision.Hold) held[request] = held.getValue(request) + 20
                    2 -> held[request]?.let { amount -> memory.read(request, amount, now).also { held[request] = 0 } }
                    else -> if (held.remove(request) != null) memory.close(request)
                }
                memory.held() shouldBe held.values.sum()
                memory.held() shouldBeLessThanOrEqual 1_000
            }
        }
    })
