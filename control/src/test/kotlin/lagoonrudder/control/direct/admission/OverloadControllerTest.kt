package lagoonrudder.control.direct.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import lagoonrudder.control.direct.ENGINES
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val OBJECTIVE = 400.milliseconds
private val NOBODY = QueueLengths(0, 0)

private fun limit(objectiveLeft: Duration = OBJECTIVE) = WaitLimit.ForObjective(OBJECTIVE, objectiveLeft, 2.4.seconds, 6.seconds)

/** Returns a controller that saw [released] places become free and [arrived] requests arrive in each second of the last two. */
private fun controller(
    released: Int,
    arrived: Int,
) = OverloadController(Random(1), OverloadPolicies()).apply {
    repeat(2 * arrived) { recordArrival(ENGINES, 8.seconds + 1.seconds * it / arrived) }
    repeat(2 * released) { recordRelease(ENGINES, 1.seconds, 100.milliseconds, answered = true, 8.seconds + 1.seconds * it / released) }
}

class OverloadControllerTest :
    FunSpec({
        test("a request waits if a place is predicted in time for its latency objective") {
            val decision = controller(released = 20, arrived = 20).decide(ENGINES, limit(), QueueLengths(1, 0), 10.seconds)
            decision.shouldBeInstanceOf<WaitDecision.Wait>().inTime shouldBe true
        }

        test("a request that can't be in time waits as long as its caller does if places are left over") {
            val decision = controller(released = 20, arrived = 10).decide(ENGINES, limit(Duration.ZERO), NOBODY, 10.seconds)
            val wait = decision.shouldBeInstanceOf<WaitDecision.Wait>()
            wait.inTime shouldBe false
            wait.limit shouldBeGreaterThan OBJECTIVE
        }

        test("a request is refused at once if those that can be in time take all places") {
            val overload = controller(released = 20, arrived = 60)
            overload.decide(ENGINES, limit(Duration.ZERO), NOBODY, 10.seconds).shouldBeInstanceOf<WaitDecision.Refuse>()
            overload.decide(ENGINES, limit(), QueueLengths(30, 0), 10.seconds).shouldBeInstanceOf<WaitDecision.Refuse>()
        }

        test("a request is refused at once while no place is released") {
            val overload = OverloadController(Random(1), OverloadPolicies())
            overload.decide(ENGINES, limit(), NOBODY, 10.seconds) shouldBe WaitDecision.Refuse(Duration.INFINITE)
        }

        test("callers that are refused together return one after another, as places become free") {
            val overload = controller(released = 25, arrived = 10)
            val returns = (1..8).map { overload.retryAfter(ENGINES, 6.seconds, NOBODY, 10.seconds) }
            returns shouldBe returns.sorted()
            returns.zipWithNext().forEach { (first, second) -> second - first shouldBe 100.milliseconds }
        }

        test("no caller is asked to return later than it would") {
            for (arrived in listOf(5, 20, 100)) {
                val overload = controller(released = 20, arrived = arrived)
                repeat(200) { overload.retryAfter(ENGINES, 3.seconds, NOBODY, 10.seconds) shouldBeLessThanOrEqualTo 1.seconds }
            }
        }

        test("callers for whom no place is predicted are spread over the time before they would return by themselves") {
            val overload = controller(released = 20, arrived = 100)
            val returns = (1..100).map { overload.retryAfter(ENGINES, 6.seconds, NOBODY, 10.seconds) }
            returns.max() - returns.min() shouldBeGreaterThan 400.milliseconds
        }
    })
