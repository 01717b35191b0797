package lagoonrudder.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import lagoonrudder.model.IncarnationId
import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val quick = EngineResult.Answered(50.milliseconds)

private fun controller(policy: LimitPolicy = LimitPolicy.Adaptive()) =
    LimitController(policy, strictInvariants()).apply {
        configure(TargetCapacity(16, 1_000))
        observe(IncarnationId("first"))
    }

/** Fills the limit and ends everything with [result], [rounds] times. */
private fun LimitController.work(
    rounds: Int,
    result: EngineResult,
    now: Duration = 10.seconds,
) = repeat(rounds) { round ->
    val admitted = (0 until room().limit).map { RequestId("$round-$it") }.onEach { admit(it, 1) shouldBe LimitDecision.Admitted }
    admitted.forEach { finished(it, result, now + 1.seconds * round) }
}

class LimitControllerTest :
    FunSpec({
        test("a fresh target starts small, rises with what it proved, and never exceeds what is published") {
            val limits = controller()
            limits.room().limit shouldBe 2
            limits.work(1, quick)
            limits.room().limit shouldBeGreaterThan 2
            limits.work(30, quick)
            limits.room().limit shouldBe 16
        }

        test("trouble and slow first tokens lower the limit at once") {
            val limits = controller()
            limits.work(30, quick)
            limits.work(1, EngineResult.Trouble, 100.seconds)
            limits.room().limit shouldBe 11
            limits.work(1, EngineResult.Answered(2.seconds), 200.seconds)
            limits.room().limit shouldBeLessThan 11
        }

        test("a cold start without notice resets the ramp") {
            val limits = controller()
            limits.work(30, quick)
            limits.observe(IncarnationId("second"))
            limits.room().limit shouldBe 2
        }

        test("memory for prompts and answers is reserved, given back, and never exceeded") {
            val limits = controller()
            limits.admit(RequestId("a"), 600).shouldBeInstanceOf<LimitDecision.Admitted>()
            limits.admit(RequestId("b"), 600) shouldBe LimitDecision.Waits
            val tooLarge = limits.admit(RequestId("c"), 2_000).shouldBeInstanceOf<LimitDecision.Refused>()
            tooLarge.refusal.shouldBeInstanceOf<Refusal.Invalid>()
            limits.nextAdmitted() shouldBe null
            limits.finished(RequestId("a"), EngineResult.Cancelled, 1.seconds)
            limits.nextAdmitted() shouldBe RequestId("b")
        }

        test("those that wait go first come first served, are bounded, and may leave") {
            val limits = controller()
            listOf("a", "b").forEach { limits.admit(RequestId(it), 1) shouldBe LimitDecision.Admitted }
            listOf("c", "d").forEach { limits.admit(RequestId(it), 1) shouldBe LimitDecision.Waits }
            val refused = limits.admit(RequestId("e"), 1).shouldBeInstanceOf<LimitDecision.Refused>()
            refused.refusal.shouldBeInstanceOf<Refusal.Overloaded>()
            limits.room() shouldBe Room(2, 4, 898)
            limits.leave(RequestId("c"))
            limits.finished(RequestId("a"), EngineResult.Cancelled, 1.seconds)
            limits.nextAdmitted() shouldBe RequestId("d")
            limits.nextAdmitted() shouldBe null
        }

        test("the fixed baseline gives a fresh target all at once") {
            controller(LimitPolicy.Fixed).room().limit shouldBe 16
        }
    })
