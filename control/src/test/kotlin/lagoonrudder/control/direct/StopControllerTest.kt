package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import lagoonrudder.model.RequestKind
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StopControllerTest :
    FunSpec({
        test("a request that may run once is refused if it could outlast the process, and any other one ends before it") {
            val controller = StopController(8.seconds)
            controller.decide(RequestKind.AtMostOnce, 1_000.seconds) shouldBe StopDecision.Serve
            val schedule = controller.onStopRequested(100.seconds)
            val late = schedule.answerAt + 1.milliseconds
            for (kind in listOf(RequestKind.AtMostOnce, RequestKind.Stream(resumable = false, maxEventGap = null))) {
                controller.decide(kind, schedule.answerAt) shouldBe StopDecision.Serve
                controller.decide(kind, late).shouldBeInstanceOf<StopDecision.Refuse>()
            }
            controller.decide(RequestKind.Idempotent, late) shouldBe StopDecision.ServeUntil(schedule.answerAt)
        }

        test("the phases of a stop fit into any grace period, in their order") {
            for (grace in listOf(100.milliseconds, 1.seconds, 3.seconds, 8.seconds, 60.seconds)) {
                val schedule = StopController(grace).onStopRequested(100.seconds)
                schedule.drainAt shouldBeLessThan schedule.stopReadingAt
                schedule.stopReadingAt shouldBeLessThan schedule.answerAt
                schedule.answerAt shouldBeLessThan schedule.exitAt
                schedule.exitAt shouldBeLessThan 100.seconds + grace
            }
        }

        test("a second stop signal changes nothing") {
            val controller = StopController(8.seconds)
            controller.onStopRequested(100.seconds) shouldBe controller.onStopRequested(105.seconds)
        }
    })
