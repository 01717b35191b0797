package lagoonrudder.standins

import arrow.core.Either
import arrow.core.right
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.map
import lagoonrudder.control.IdempotencyDecision
import lagoonrudder.model.Failure
import lagoonrudder.model.Instance
import lagoonrudder.standins.measure.runAtMostOnce
import lagoonrudder.standins.measure.runRandomFaults
import lagoonrudder.traffic.ReserveRequest
import lagoonrudder.traffic.RunEvent
import lagoonrudder.traffic.RunRequest
import lagoonrudder.traffic.TargetClient
import lagoonrudder.traffic.checksumOf
import kotlin.time.Duration

private val seeds = 1..4
private const val STEPS = 15

/** Forwards to [client]; the base class of deliberately defective clients. */
private open class ForwardingClient(
    private val client: TargetClient,
) : TargetClient by client

/** A defect: recomputes the checksum of each chunk from the received data and accepts the end marker as it is. */
private class UnverifiedClient(
    private val client: TargetClient,
) : ForwardingClient(client) {
    override fun run(
        target: Instance,
        request: RunRequest,
    ): Flow<Either<Failure, RunEvent>> = client.run(target, request).map { event -> event.map(::withMatchingChecksum) }

    private fun withMatchingChecksum(event: RunEvent): RunEvent =
        when (event) {
            is RunEvent.Bytes -> RunEvent.Bytes(event.offset, event.data, checksumOf(event.data))
            is RunEvent.Head -> event.copy(request = event.request)
            is RunEvent.End, is RunEvent.NotRun -> event
        }
}

/** A defect: reports a failed exchange that may have run as one that never reached the target. */
private class FalseNotRunClient(
    private val client: TargetClient,
) : ForwardingClient(client) {
    override fun run(
        target: Instance,
        request: RunRequest,
    ): Flow<Either<Failure, RunEvent>> =
        client.run(target, request).map { event -> event.mapLeft { Failure.Unreachable(it.step, it.peer, it.detail) } }

    override suspend fun reserve(
        target: Instance,
        request: ReserveRequest,
        limit: Duration,
    ): Either<Failure, IdempotencyDecision> =
        client.reserve(target, request, limit).fold({ IdempotencyDecision.Uncertain(it.detail).right() }, { it.right() })
}

class RandomRunsTest :
    FunSpec({
        for (seed in seeds) {
            test("random runs with faults violate no invariant, seed $seed") {
                val result = runRandomFaults(seed, STEPS)
                result.failures.shouldBeEmpty()
                result.responses.count { it is Reply.Complete } shouldBeGreaterThan 500
            }
        }

        for (seed in seeds) {
            test("orders under faults run at most once and are never falsely reported as not run, seed $seed") {
                val result = runAtMostOnce(seed, 40)
                listOf(result.doubleRuns, result.falseNotRuns, result.wrong, result.violations) shouldBe listOf(0, 0, 0, 0)
                result.count { it is Reply.Complete } shouldBeGreaterThan 300
            }
        }

        test("random runs detect a client that does not verify responses") {
            seeds.flatMap { runRandomFaults(it, STEPS) { client = ::UnverifiedClient }.failures }.shouldNotBeEmpty()
        }

        test("runs with faults detect false reports of requests that did not run") {
            seeds.sumOf { runAtMostOnce(it, 40) { client = ::FalseNotRunClient }.falseNotRuns } shouldBeGreaterThan 0
        }
    })
