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
    ConcurrencyLimitController(policy, strictInvariants()).apply {
        configure(TargetCapacity(16, 1_000))
        onEngineIncarnation(IncarnationId("first"))
    }

/** Fills the limit and ends everything with [result], [rounds] times. */
private fun ConcurrencyLimitController.work(
    rounds: Int,
    result: EngineResult,
    now: Duration = 10.seconds,
) = repeat(rounds) { round ->
    val admitted = (0 until load().limit).map { RequestId("$round-$it") }.onEach { admit(it, 1) shouldBe LimitDecision.Admitted }
    admitted.forEach { onRequestFinished(it, result, now + 1.seconds * round) }
}

class ConcurrencyLimitControllerTest :
    FunSpec({
        test("a fresh target starts small, rises with what it proved, and never exceeds what is published") {
            val limits = controller()
            limits.load().limit shouldBe 2
            limits.work(1, quick)
            limits.load().limit shouldBeGreaterThan 2
            limits.work(30, quick)
            limits.load().limit shouldBe 16
        }

        test("trouble and slow first tokens lower the limit at once") {
            val limits = controller()
            limits.work(30, quick)
            limits.work(1, EngineResult.Failed, 100.seconds)
            limits.load().limit shouldBe 11
            limits.work(1, EngineResult.Answered(2.seconds), 200.seconds)
            limits.load().limit shouldBeLessThan 11
        }

        test("a cold start without notice resets the ramp") {
            val limits = controller()
            limits.work(30, quick)
            limits.onEngineIncarnation(IncarnationId("second"))
            limits.load().limit shouldBe 2
        }

        test("memory for prompts and answers is reserved, given back, and never exceeded") {
            val limits = controller()
            limits.admit(RequestId("a"), 600).shouldBeInstanceOf<LimitDecision.Admitted>()
            limits.admit(RequestId("b"), 600) shouldBe LimitDecision.Queued
            val tooLarge = limits.admit(RequestId("c"), 2_000).shouldBeInstanceOf<LimitDecision.Refused>()
            tooLarge.refusal.shouldBeInstanceOf<Refusal.Invalid>()
            limits.admitNext() shouldBe null
            limits.onRequestFinished(RequestId("a"), EngineResult.Cancelled, 1.seconds)
            limits.admitNext() shouldBe RequestId("b")
        }

        test("those that wait go first come first served, are bounded, and may leave") {
            val limits = controller()
            listOf("a", "b").forEach { limits.admit(RequestId(it), 1) shouldBe LimitDecision.Admitted }
            listOf("c", "d").forEach { limits.admit(RequestId(it), 1) shouldBe LimitDecision.Queued }
            val refused = limits.admit(RequestId("e"), 1).shouldBeInstanceOf<LimitDecision.Refused>()
            refused.refusal.shouldBeInstanceOf<Refusal.Overloaded>()
            limits.load() shouldBe TargetLoad(2, 4, 898)
            limits.withdraw(RequestId("c"))
            limits.onRequestFinished(RequestId("a"), EngineResult.Cancelled, 1.seconds)
            limits.admitNext() shouldBe RequestId("d")
            limits.admitNext() shouldBe null
        }

        test("the fixed baseline gives a fresh target all at once") {
            controller(LimitPolicy.Fixed).load().limit shouldBe 16
        }
    })
