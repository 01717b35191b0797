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

private fun memory(policy: ResponseBufferPolicy = ResponseBufferPolicy.Windowed(window = 100, budget = 200)) =
    ResponseBufferController(policy, strictInvariants())

class ResponseBufferControllerTest :
    FunSpec({
        test("an answer holds no more than its window and all together no more than the budget") {
            val memory = memory()
            memory.open(one, 10, Duration.ZERO) shouldBe BufferDecision.Granted
            memory.open(two, 10, Duration.ZERO) shouldBe BufferDecision.Granted
            memory.reserve(one, 90) shouldBe BufferDecision.Granted
            memory.reserve(one, 1) shouldBe BufferDecision.Wait
            memory.reserve(two, 41) shouldBe BufferDecision.Wait
            memory.reserve(two, 40) shouldBe BufferDecision.Granted
            memory.onRead(one, 50, 1.seconds)
            memory.reserve(two, 50) shouldBe BufferDecision.Granted
        }

        test("the last quarter of the budget is kept for answers that begin") {
            val memory = memory()
            memory.open(one, 100, Duration.ZERO) shouldBe BufferDecision.Granted
            memory.open(two, 50, Duration.ZERO) shouldBe BufferDecision.Granted
            memory.reserve(two, 1) shouldBe BufferDecision.Wait
            memory.open(RequestId("three"), 50, Duration.ZERO) shouldBe BufferDecision.Granted
            memory.open(RequestId("four"), 1, Duration.ZERO) shouldBe BufferDecision.Wait
        }

        test("a stalled answer gives up its back end only when others need the room") {
            val memory = memory(ResponseBufferPolicy.Windowed(window = 100, budget = 1_000))
            memory.open(one, 10, Duration.ZERO)
            memory.reserve(one, 50)
            memory.selectVictim(othersWait = false, now = 10.seconds) shouldBe null
            memory.selectVictim(othersWait = true, now = 1.seconds) shouldBe null
            memory.selectVictim(othersWait = true, now = 10.seconds) shouldBe one
            memory.park(one)
            memory.selectVictim(othersWait = true, now = 10.seconds) shouldBe null
        }

        test("what an answer held is given back when it closes") {
            val memory = memory()
            memory.open(one, 10, Duration.ZERO)
            memory.reserve(one, 90)
            memory.close(one)
            memory.held() shouldBe 0
        }

        test("random holding and reading stays within the budget and ends at nothing") {
            val random = Random(9)
            val memory = memory(ResponseBufferPolicy.Windowed(window = 200, budget = 1_000))
            val held = mutableMapOf<RequestId, Long>()
            repeat(20_000) { step ->
                val request = RequestId("r${random.nextInt(30)}")
                val now = 1.seconds * step
                when (random.nextInt(4)) {
                    0 -> if (request !in held && memory.open(request, 10, now) is BufferDecision.Granted) held[request] = 10
                    1 -> if (request in held && memory.reserve(request, 20) is BufferDecision.Granted) held[request] = held.getValue(request) + 20
                    2 -> held[request]?.let { amount -> memory.onRead(request, amount, now).also { held[request] = 0 } }
                    else -> if (held.remove(request) != null) memory.close(request)
                }
                memory.held() shouldBe held.values.sum()
                memory.held() shouldBeLessThanOrEqual 1_000
            }
        }
    })
