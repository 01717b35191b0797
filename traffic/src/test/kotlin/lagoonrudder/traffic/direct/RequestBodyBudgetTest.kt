package lagoonrudder.traffic.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private val BOUNDS = RequestBodyBounds(total = 1_000, forLarge = 700, smallBody = 100, retryAfter = 2.seconds)
private val REFUSED = BodyDecision.Refused(2.seconds)

/** Guards against a process that runs out of memory under many large request bodies. */
class RequestBodyBudgetTest :
    FunSpec({
        test("bodies share one budget, and what is released can be reserved again") {
            val bodies = RequestBodyBudget(BOUNDS)
            bodies.reserve(400, before = 0) shouldBe BodyDecision.Granted
            bodies.reserve(400, before = 0) shouldBe REFUSED
            bodies.refused shouldBe 1
            bodies.release(400)
            bodies.reserve(400, before = 0) shouldBe BodyDecision.Granted
            bodies.held shouldBe 400
        }

        test("large bodies leave room for small ones") {
            val bodies = RequestBodyBudget(BOUNDS)
            bodies.reserve(700, before = 0) shouldBe BodyDecision.Granted
            repeat(3) { bodies.reserve(100, before = 0) shouldBe BodyDecision.Granted }
            bodies.reserve(1, before = 0) shouldBe REFUSED
        }

        test("a body that grows is large once all of it is") {
            val bodies = RequestBodyBudget(BOUNDS)
            bodies.reserve(650, before = 0) shouldBe BodyDecision.Granted
            bodies.reserve(100, before = 0) shouldBe BodyDecision.Granted
            bodies.reserve(1, before = 100) shouldBe REFUSED
        }

        test("the bytes held never exceed the budget") {
            val random = Random(1)
            val bodies = RequestBodyBudget(BOUNDS)
            val held = mutableListOf<Long>()
            repeat(10_000) {
                val bytes = random.nextLong(0, 400)
                if (bodies.reserve(bytes, before = 0) == BodyDecision.Granted) held += bytes
                if (random.nextBoolean() && held.isNotEmpty()) bodies.release(held.removeAt(random.nextInt(held.size)))
                bodies.held shouldBe held.sum()
                (bodies.held <= BOUNDS.total) shouldBe true
            }
        }
    })
