/**
 * Guards against the loss of answers whose sound back end falls silent for a while and goes on: the first attempt is given up only once
 * another back end provides what comes next.
 */
package lagoonrudder.traffic.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import lagoonrudder.model.EventId
import lagoonrudder.model.Outcome
import lagoonrudder.model.RequestKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val PAUSE = 1_800.milliseconds
private val ENGINE_PACE = 50.milliseconds

private fun timed(vararg events: Pair<Duration, ResponseEvent>) = Behaviour.Timed(events.toList())

private fun ResponseEvent.after(pause: Duration = Duration.ZERO) = pause to this

/** A stream of three events with a pause before the second. */
private fun pausingStream(pause: Duration = PAUSE) =
    timed(head().after(), event(1).after(), event(2).after(pause), event(3).after(ENGINE_PACE), ResponseEvent.End.after())

@OptIn(ExperimentalCoroutinesApi::class)
class PausedBackEndTest :
    FunSpec({
        test("a stream goes on at its back end after a pause when no other one takes it over") {
            val others =
                listOf(
                    arrayOf(NOT_RUN, NOT_RUN),
                    arrayOf(Behaviour.Unreachable, Behaviour.Unreachable),
                    arrayOf(Behaviour.Replies(emptyList())),
                    arrayOf(Behaviour.Silent(emptyList())),
                )
            for (other in others) {
                runTest {
                    val scene = Scene(this, STREAM, 2, pausingStream(), *other)
                    scene.run().shouldBeInstanceOf<Outcome.Completed>()
                    scene.response.body.toString() shouldBe text(1, 2, 3)
                    scene.inFlight.values.sum() shouldBe 0
                }
            }
        }

        test("a stream goes on at its back end after a pause when the retry budget is spent, and no other one is called") {
            runTest {
                val scene = Scene(this, STREAM, 2, pausingStream(), retrySlack = 0.0)
                scene.run().shouldBeInstanceOf<Outcome.Completed>()
                scene.link.attempts shouldHaveSize 1
                scene.response.body.toString() shouldBe text(1, 2, 3)
            }
        }

        test("no piece is missing or comes twice, whichever of two back ends speaks first after a pause") {
            for (pause in listOf(1_250, 1_290, 1_300, 1_310, 1_350, 1_500).map { it.milliseconds }) {
                runTest {
                    val second =
                        timed(
                            head().after(50.milliseconds),
                            event(2).after(ENGINE_PACE),
                            event(3).after(ENGINE_PACE),
                            ResponseEvent.End.after(),
                        )
                    val scene = Scene(this, STREAM, 2, pausingStream(pause), second)
                    scene.run().shouldBeInstanceOf<Outcome.Completed>()
                    scene.response.body.toString() shouldBe text(1, 2, 3)
                    scene.link.attempts.map { it.resumeAfter } shouldBe listOf(null, EventId(1))
                    scene.link.abandoned shouldBe 2
                    scene.inFlight.values.sum() shouldBe 0
                }
            }
        }

        test("a response that began at one back end is not ended by the other response of another one") {
            for (odd in listOf(head(500), head(isEventStream = false))) {
                runTest {
                    val comment = bytes(": still here\n\n").after(1_300.milliseconds)
                    val first = timed(head().after(), comment, event(1).after(ENGINE_PACE), ResponseEvent.End.after())
                    val second = timed(odd.after(), bytes("x").after(200.milliseconds), ResponseEvent.End.after())
                    val scene = Scene(this, STREAM, 2, first, second)
                    scene.run().shouldBeInstanceOf<Outcome.Completed>()
                    scene.response.body.toString() shouldBe ": still here\n\n" + text(1)
                }
            }
        }

        test("an answer that is no stream is delivered after a pause in its head or body") {
            val answers =
                listOf(
                    timed(head().after(PAUSE), bytes("done").after(), ResponseEvent.End.after()),
                    timed(head().after(), bytes("do").after(), bytes("ne").after(PAUSE), ResponseEvent.End.after()),
                )
            for (answer in answers) {
                runTest {
                    val scene = Scene(this, RequestKind.Idempotent, 2, answer, NOT_RUN, NOT_RUN)
                    scene.run().shouldBeInstanceOf<Outcome.Completed>()
                    scene.response.body.toString() shouldBe "done"
                }
                runTest {
                    val scene = Scene(this, RequestKind.AtMostOnce, 2, answer)
                    scene.run().shouldBeInstanceOf<Outcome.Completed>()
                    scene.link.attempts shouldHaveSize 1
                }
            }
        }

        test("an attempt beside a silent one ends with it when the caller leaves") {
            runTest {
                val scene = Scene(this, STREAM, 2, pausingStream(), Behaviour.Silent(listOf(head())))
                val running = launch { scene.run() }
                delay(1_500.milliseconds)
                scene.inFlight.values.sum() shouldBe 2
                running.cancel()
                delay(1.milliseconds)
                scene.link.abandoned shouldBe 2
                scene.inFlight.values.sum() shouldBe 0
            }
        }

        test("two back ends that stay silent are both left at the deadline") {
            runTest {
                val scene = Scene(this, STREAM, 2, Behaviour.Silent(listOf(head(), event(1))), Behaviour.Silent(listOf(head())))
                scene.run(timeLeft = 4.seconds).shouldBeInstanceOf<Outcome.Broken>()
                testScheduler.currentTime shouldBe 4_000
                scene.link.attempts shouldHaveSize 2
                scene.inFlight.values.sum() shouldBe 0
            }
        }

        test("when all back ends pause at once, their requests stay where they are") {
            runTest {
                // The pauses begin at the same time, at all three back ends.
                val scene = Scene(this, STREAM, 2, *Array(3) { pausingStream() })
                val running = (1..3).map { launch { scene.run().shouldBeInstanceOf<Outcome.Completed>() } }
                running.forEach { it.join() }
                scene.link.attempts shouldHaveSize 3
            }
        }
    })
