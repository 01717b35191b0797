package lagoonrudder.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import lagoonrudder.model.Digest
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.TargetId
import lagoonrudder.model.digestOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val epoch = Instant.fromEpochMilliseconds(1_800_000_000_000)
private val one = TargetId("one")
private val two = TargetId("two")
private val body = digestOf("fee".encodeToByteArray())

/** The key with [number] that was issued [at] this process time. */
private fun keyAt(
    at: Duration,
    number: Int = 1,
): IdempotencyKey {
    val time = (epoch + at).toEpochMilliseconds().toString(16).padStart(12, '0')
    return IdempotencyKey("${time.take(8)}-${time.drop(8)}-7000-8000-${number.toString(16).padStart(12, '0')}")
}

/** A key issued at [at] that [owner] owns among [targets]. */
private fun keyOwnedBy(
    owner: TargetId,
    targets: List<TargetId>,
    at: Duration,
): IdempotencyKey = (1..1_000).map { keyAt(at, it) }.first { ownerOf(it, targets) == owner }

private class Owner(
    val self: TargetId,
    startedAt: Duration = Duration.ZERO,
) {
    val controller = IdempotencyController(self, IdempotencyPolicy(), strictInvariants(), epoch + startedAt, startedAt)

    fun configure(
        targets: List<TargetId>,
        at: Duration,
    ) = controller.configure(targets, at, epoch + at)

    fun reserve(
        key: IdempotencyKey,
        at: Duration,
        cleared: Set<TargetId> = emptySet(),
        content: Digest = body,
    ) = controller.reserve(key, content, at, epoch + at, cleared)

    fun surrender(
        key: IdempotencyKey,
        at: Duration,
    ) = controller.surrender(key, at, epoch + at)

    fun run(
        key: IdempotencyKey,
        at: Duration,
    ): RunDecision = controller.beginRun(key, reserve(key, at).shouldBeInstanceOf<IdempotencyDecision.Permitted>().permit, at)
}

class IdempotencyControllerTest :
    FunSpec({
        val late = 20.seconds

        fun owner() = Owner(one).apply { configure(listOf(one), Duration.ZERO) }

        test("a repeat gets the answer of the run and does not run") {
            val owner = owner()
            val key = keyAt(late)
            owner.run(key, late) shouldBe RunDecision.Run
            owner.reserve(key, late).shouldBeInstanceOf<IdempotencyDecision.Uncertain>()
            owner.controller.onRunEnded(key, RecordedResponse(200, "text/plain", byteArrayOf(1)), late)
            owner
                .reserve(key, late)
                .shouldBeInstanceOf<IdempotencyDecision.AlreadyRan>()
                .response
                ?.body shouldBe byteArrayOf(1)
        }

        test("a run that broke is never run again") {
            val owner = owner()
            val key = keyAt(late)
            owner.run(key, late)
            owner.controller.onRunLost(key, late)
            owner.reserve(key, late + 1.minutes).shouldBeInstanceOf<IdempotencyDecision.Uncertain>()
        }

        test("a run that proved not to have reached the back end may run again") {
            val owner = owner()
            val key = keyAt(late)
            owner.run(key, late)
            owner.controller.onNotRun(key)
            owner.run(key, late) shouldBe RunDecision.Run
        }

        test("a permit that comes after its time does not run, whatever the sender's clock says") {
            val owner = owner()
            val key = keyAt(late)
            val permit = owner.reserve(key, late).shouldBeInstanceOf<IdempotencyDecision.Permitted>().permit
            owner.controller.beginRun(key, permit, late + 2.seconds).shouldBeInstanceOf<RunDecision.Refused>()
        }

        test("of two permits for one key only the later runs") {
            val owner = owner()
            val key = keyAt(late)
            val first = owner.reserve(key, late).shouldBeInstanceOf<IdempotencyDecision.Permitted>().permit
            val second = owner.reserve(key, late).shouldBeInstanceOf<IdempotencyDecision.Permitted>().permit
            owner.controller.beginRun(key, first, late).shouldBeInstanceOf<RunDecision.Refused>()
            owner.controller.beginRun(key, second, late) shouldBe RunDecision.Run
            owner.controller.beginRun(key, second, late).shouldBeInstanceOf<RunDecision.Refused>()
        }

        test("an owner that restarted with empty memory does not run a key from before its start") {
            val owner = Owner(one, startedAt = 60.seconds).apply { configure(listOf(one), 60.seconds) }
            owner.reserve(keyAt(59.seconds), 70.seconds).shouldBeInstanceOf<IdempotencyDecision.Uncertain>()
            owner.reserve(keyAt(66.seconds), 70.seconds).shouldBeInstanceOf<IdempotencyDecision.Permitted>()
        }

        test("a key that does not tell its age waits until the memory is old enough") {
            val owner = owner()
            owner.reserve(IdempotencyKey("fee-17"), 5.minutes).shouldBeInstanceOf<IdempotencyDecision.Uncertain>()
            owner.reserve(IdempotencyKey("fee-17"), 11.minutes).shouldBeInstanceOf<IdempotencyDecision.Permitted>()
        }

        test("a key older than the memory is uncertain, one from the future is refused") {
            val owner = owner()
            owner.reserve(keyAt(20.minutes), 31.minutes).shouldBeInstanceOf<IdempotencyDecision.Uncertain>()
            owner.reserve(keyAt(32.minutes), 31.minutes).shouldBeInstanceOf<IdempotencyDecision.Refused>()
        }

        test("one key with two bodies is refused") {
            val owner = owner()
            val key = keyAt(late)
            owner.run(key, late)
            owner.reserve(key, late, content = digestOf(byteArrayOf(2))).shouldBeInstanceOf<IdempotencyDecision.Refused>()
        }

        test("a key that moved runs at its new owner only after the old one surrendered it, and never at both") {
            val old = Owner(one).apply { configure(listOf(one), Duration.ZERO) }
            val new = Owner(two).apply { configure(listOf(one), Duration.ZERO) }
            val key = keyOwnedBy(two, listOf(one, two), late)
            val permit = old.reserve(key, late).shouldBeInstanceOf<IdempotencyDecision.Permitted>().permit
            listOf(old, new).forEach { it.configure(listOf(one, two), late) }
            new.reserve(key, late) shouldBe IdempotencyDecision.QueryPreviousOwners(listOf(one))
            old.surrender(key, late) shouldBe SurrenderResult.Released
            new.reserve(key, late, cleared = setOf(one)).shouldBeInstanceOf<IdempotencyDecision.Permitted>()
            old.controller.beginRun(key, permit, late).shouldBeInstanceOf<RunDecision.Refused>()
        }

        test("an old owner that has not heard of the move keeps the key") {
            val old = Owner(one).apply { configure(listOf(one), Duration.ZERO) }
            old.surrender(keyOwnedBy(two, listOf(one, two), late), late).shouldBeInstanceOf<SurrenderResult.Uncertain>()
        }

        test("a key that ran at the old owner is answered from there") {
            val old = Owner(one).apply { configure(listOf(one), Duration.ZERO) }
            val key = keyOwnedBy(two, listOf(one, two), late)
            old.run(key, late)
            old.configure(listOf(one, two), late)
            old.surrender(key, late).shouldBeInstanceOf<SurrenderResult.Uncertain>()
            old.controller.onRunEnded(key, RecordedResponse(200, "text/plain", byteArrayOf(3)), late)
            old.surrender(key, late).shouldBeInstanceOf<SurrenderResult.AlreadyRan>()
        }

        test("keys are forgotten after the memory time and the count of keys is bounded") {
            val owner = owner()
            owner.run(keyAt(late, 1), late)
            owner.controller.onRunLost(keyAt(late, 1), late)
            owner.reserve(keyAt(30.minutes, 2), 30.minutes)
            owner.controller
                .dump()
                .entries
                .first { it.key == "keys" }
                .value shouldBe "1"
        }
    })
