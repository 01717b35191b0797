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

/** Returns the key with [number] that was issued [at] this process time. */
private fun keyAt(
    at: Duration,
    number: Int = 1,
): IdempotencyKey {
    val time = (epoch + at).toEpochMilliseconds().toString(16).padStart(12, '0')
    return IdempotencyKey("${time.take(8)}-${time.drop(8)}-7000-8000-${number.toString(16).padStart(12, '0')}")
}

/** Returns a key issued at [at] that [owner] owns among [targets]. */
private fun keyOwnedBy(
    owner: TargetId,
    targets: List<TargetId>,
    at: Duration,
): IdempotencyKey = (1..1_000).map { keyAt(at, it) }.first { ownerOf(it, targets) == owner }

private class OwnerFixture(
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
        releasedBy: Set<TargetId> = emptySet(),
        content: Digest = body,
    ) = controller.reserve(key, content, at, epoch + at, releasedBy)

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
        val later = 20.seconds

        fun owner() = OwnerFixture(one).apply { configure(listOf(one), Duration.ZERO) }

        test("a retry gets the recorded response and does not run") {
            val owner = owner()
            val key = keyAt(later)
            owner.run(key, later) shouldBe RunDecision.Run
            owner.reserve(key, later).shouldBeInstanceOf<IdempotencyDecision.Uncertain>()
            owner.controller.onRunEnded(key, RecordedResponse(200, "text/plain", byteArrayOf(1)), later)
            owner
                .reserve(key, later)
                .shouldBeInstanceOf<IdempotencyDecision.AlreadyRan>()
                .response
                ?.body shouldBe byteArrayOf(1)
        }

        test("a run that was interrupted is never run again") {
            val owner = owner()
            val key = keyAt(later)
            owner.run(key, later)
            owner.controller.onRunLost(key, later)
            owner.reserve(key, later + 1.minutes).shouldBeInstanceOf<IdempotencyDecision.Uncertain>()
        }

        test("a run that provably did not reach the back end may run again") {
            val owner = owner()
            val key = keyAt(later)
            owner.run(key, later)
            owner.controller.onNotRun(key)
            owner.run(key, later) shouldBe RunDecision.Run
        }

        test("an expired permit does not run, regardless of the sender's clock") {
            val owner = owner()
            val key = keyAt(later)
            val permit = owner.reserve(key, later).shouldBeInstanceOf<IdempotencyDecision.Permitted>().permit
            owner.controller.beginRun(key, permit, later + 2.seconds).shouldBeInstanceOf<RunDecision.Refused>()
        }

        test("of two permits for one key only the later one runs") {
            val owner = owner()
            val key = keyAt(later)
            val first = owner.reserve(key, later).shouldBeInstanceOf<IdempotencyDecision.Permitted>().permit
            val second = owner.reserve(key, later).shouldBeInstanceOf<IdempotencyDecision.Permitted>().permit
            owner.controller.beginRun(key, first, later).shouldBeInstanceOf<RunDecision.Refused>()
            owner.controller.beginRun(key, second, later) shouldBe RunDecision.Run
            owner.controller.beginRun(key, second, later).shouldBeInstanceOf<RunDecision.Refused>()
        }

        test("an owner that restarted without its records does not run a key issued before the restart") {
            val owner = OwnerFixture(one, startedAt = 60.seconds).apply { configure(listOf(one), 60.seconds) }
            owner.reserve(keyAt(59.seconds), 70.seconds).shouldBeInstanceOf<IdempotencyDecision.Uncertain>()
            owner.reserve(keyAt(66.seconds), 70.seconds).shouldBeInstanceOf<IdempotencyDecision.Permitted>()
        }

        test("a key without a time of issue runs only after the owner has recorded keys for the retention time") {
            val owner = owner()
            owner.reserve(IdempotencyKey("fee-17"), 5.minutes).shouldBeInstanceOf<IdempotencyDecision.Uncertain>()
            owner.reserve(IdempotencyKey("fee-17"), 11.minutes).shouldBeInstanceOf<IdempotencyDecision.Permitted>()
        }

        test("a key older than the retention time is uncertain, and a key from the future is rejected") {
            val owner = owner()
            owner.reserve(keyAt(20.minutes), 31.minutes).shouldBeInstanceOf<IdempotencyDecision.Uncertain>()
            owner.reserve(keyAt(32.minutes), 31.minutes).shouldBeInstanceOf<IdempotencyDecision.Refused>()
        }

        test("a key that is reused with a different body is rejected") {
            val owner = owner()
            val key = keyAt(later)
            owner.run(key, later)
            owner.reserve(key, later, content = digestOf(byteArrayOf(2))).shouldBeInstanceOf<IdempotencyDecision.Refused>()
        }

        test("a transferred key runs at its new owner only after the previous owner surrendered it, and never at both") {
            val previous = OwnerFixture(one).apply { configure(listOf(one), Duration.ZERO) }
            val current = OwnerFixture(two).apply { configure(listOf(one), Duration.ZERO) }
            val key = keyOwnedBy(two, listOf(one, two), later)
            val permit = previous.reserve(key, later).shouldBeInstanceOf<IdempotencyDecision.Permitted>().permit
            listOf(previous, current).forEach { it.configure(listOf(one, two), later) }
            current.reserve(key, later) shouldBe IdempotencyDecision.QueryPreviousOwners(listOf(one))
            previous.surrender(key, later) shouldBe SurrenderResult.Released
            current.reserve(key, later, releasedBy = setOf(one)).shouldBeInstanceOf<IdempotencyDecision.Permitted>()
            previous.controller.beginRun(key, permit, later).shouldBeInstanceOf<RunDecision.Refused>()
        }

        test("a previous owner that has not received the new set keeps the key") {
            val previous = OwnerFixture(one).apply { configure(listOf(one), Duration.ZERO) }
            previous.surrender(keyOwnedBy(two, listOf(one, two), later), later).shouldBeInstanceOf<SurrenderResult.Uncertain>()
        }

        test("a key that ran at the previous owner gets the response recorded there") {
            val previous = OwnerFixture(one).apply { configure(listOf(one), Duration.ZERO) }
            val key = keyOwnedBy(two, listOf(one, two), later)
            previous.run(key, later)
            previous.configure(listOf(one, two), later)
            previous.surrender(key, later).shouldBeInstanceOf<SurrenderResult.Uncertain>()
            previous.controller.onRunEnded(key, RecordedResponse(200, "text/plain", byteArrayOf(3)), later)
            previous.surrender(key, later).shouldBeInstanceOf<SurrenderResult.AlreadyRan>()
        }

        test("keys are evicted after the retention time") {
            val owner = owner()
            owner.run(keyAt(later, 1), later)
            owner.controller.onRunLost(keyAt(later, 1), later)
            owner.reserve(keyAt(30.minutes, 2), 30.minutes)
            owner.controller
                .dump()
                .entries
                .first { it.key == "keys" }
                .value shouldBe "1"
        }
    })
