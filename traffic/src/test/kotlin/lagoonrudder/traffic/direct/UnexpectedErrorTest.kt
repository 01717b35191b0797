/**
 * Guards against requests whose connection is closed without an answer because of an error that nothing handles: the caller is told
 * that the request was not run, or that its outcome is unknown.
 */
package lagoonrudder.traffic.direct

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import lagoonrudder.model.Outcome
import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestKind
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private val ERRORS = listOf(IllegalStateException("unexpected"), CancellationException("not of this request"), StackOverflowError())
private val KINDS = listOf(RequestKind.Idempotent, RequestKind.AtMostOnce, STREAM, RequestKind.Stream(resumable = false, null))

/** A source of random numbers that throws [error] from the given number of calls on, and so does the decision that asks it. */
private class FailingRandom(
    private val error: Throwable,
    var callsLeft: Int,
) : Random() {
    override fun nextBits(bitCount: Int): Int = if (callsLeft-- > 0) Random.nextBits(bitCount) else throw error

    override fun nextDouble(): Double = if (callsLeft-- > 0) Random.nextDouble() else throw error
}

private fun Scene.shouldHaveFailed() {
    ends shouldHaveSize 1
    ends.single().shouldBeInstanceOf<RequestEnd.Failed>()
    inFlight.values.sum() shouldBe 0
}

@OptIn(ExperimentalCoroutinesApi::class)
class UnexpectedErrorTest :
    FunSpec({
        for (kind in KINDS) {
            for (error in ERRORS) {
                test("$kind is refused after $error in a decision before it was sent") {
                    // The first call picks the service, the second one belongs to the placement.
                    for (calls in 0..1) {
                        runTest {
                            val scene = Scene(this, kind, random = FailingRandom(error, calls))
                            val refused = scene.run().shouldBeInstanceOf<Outcome.Refused>()
                            refused.refusal.shouldBeInstanceOf<Refusal.NotServing>()
                            scene.link.attempts shouldHaveSize 0
                            scene.shouldHaveFailed()
                        }
                    }
                }

                test("the outcome of $kind is unknown after $error where it was sent or its response is awaited") {
                    for (events in listOf(null, emptyList(), listOf(head()))) {
                        runTest {
                            val scene = Scene(this, kind, 2, Behaviour.Fails(error, events))
                            scene.run().shouldBeInstanceOf<Outcome.Unknown>()
                            scene.response.heads shouldHaveSize 0
                            scene.shouldHaveFailed()
                        }
                    }
                }
            }
        }

        test("a response that has begun is broken off after an error") {
            for (error in ERRORS) {
                withClue(error) {
                    runTest {
                        val scene = Scene(this, STREAM, 2, Behaviour.Fails(error, listOf(head(), event(1))))
                        scene.run().shouldBeInstanceOf<Outcome.Broken>()
                        scene.response.ended shouldBe false
                        scene.shouldHaveFailed()
                    }
                }
            }
        }

        test("a request whose caller has left ends as cancelled") {
            runTest {
                val scene = Scene(this, STREAM, 2, Behaviour.Silent(emptyList()))
                val running = async { scene.run() }
                delay(100.milliseconds)
                running.cancel(CancellationException("the caller closed its connection"))
                shouldThrow<CancellationException> { running.await() }
                scene.ends.single() shouldBe RequestEnd.Cancelled("the caller closed its connection")
            }
        }
    })
