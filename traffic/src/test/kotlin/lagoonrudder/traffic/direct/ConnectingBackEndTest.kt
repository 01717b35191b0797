/**
 * Guards against a request that arrives at a back end later than it was decided: while its connection is being opened, the back end may
 * leave, its failure domain may be evacuated, and requests that were decided in different seconds may arrive in the same one.
 */
package lagoonrudder.traffic.direct

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withTests
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import lagoonrudder.model.BackEndNotice
import lagoonrudder.model.Outcome
import lagoonrudder.model.PromptPartId
import lagoonrudder.model.RequestKind
import lagoonrudder.model.TargetId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val DEADLY = PromptPartId("deadly")
private val CONNECTING = 450.milliseconds
private val ANSWER = Behaviour.Replies(listOf(head(), bytes("done"), ResponseEvent.End))
private val SLOW_CONNECTION = Behaviour.Connects(CONNECTING, ANSWER)

/** What happens to the back end to which a connection is being opened. */
private enum class BackEndChange(
    val play: suspend Scene.(TargetId) -> Unit,
) {
    LEAVES({ publishLeaving(it) }),
    IS_GONE({ publishRemoval(it) }),
    RESTARTS({ publishRestart(it) }),
    SAYS_THAT_IT_LEAVES({ notice(it, BackEndNotice.Leaving) }),
    WANTS_NO_REQUESTS({ notice(it, BackEndNotice.ClosedFor(2.seconds)) }),
}

@OptIn(ExperimentalCoroutinesApi::class)
class ConnectingBackEndTest :
    FunSpec({
        val kinds = listOf(RequestKind.Idempotent, RequestKind.AtMostOnce)

        context("a request is not sent to a back end that changes while the connection to it is opened") {
            withTests(nameFn = { it.name }, BackEndChange.entries) { change ->
                for (kind in kinds) {
                    runTest {
                        val scene = Scene(this, kind, 1, SLOW_CONNECTION, ANSWER, retrySlack = 0.0)
                        val outcome = async { scene.run() }
                        advanceTimeBy(200.milliseconds)
                        val connecting =
                            scene.link.attempts
                                .single()
                                .backEnd.id
                        change.play(scene, connecting)
                        outcome.await().shouldBeInstanceOf<Outcome.Completed>()
                        withClue(kind) {
                            scene.link.sent.filter { it.attempt.backEnd.id == connecting } shouldHaveSize 0
                            scene.link.sent shouldHaveSize 1
                        }
                        scene.inFlight shouldBe emptyMap()
                    }
                }
            }
        }

        test("a request is not sent into a failure domain that is evacuated while a connection there is opened") {
            runTest {
                val scene = Scene(this, RequestKind.AtMostOnce, 1, SLOW_CONNECTION, ANSWER)
                val outcome = async { scene.run() }
                advanceTimeBy(200.milliseconds)
                scene.publishEvacuation()
                outcome.await().shouldBeInstanceOf<Outcome.Refused>()
                scene.link.sent shouldHaveSize 0
                scene.inFlight shouldBe emptyMap()
            }
        }

        test("a request is not sent once a part of its prompt is held back while the connection is opened") {
            for (kind in kinds) {
                runTest {
                    val scene = Scene(this, kind, 1, SLOW_CONNECTION, ANSWER)
                    val outcome = async { scene.run(sharedParts = listOf(DEADLY)) }
                    advanceTimeBy(200.milliseconds)
                    scene.crash(DEADLY, count = 3)
                    outcome.await().shouldBeInstanceOf<Outcome.Refused>()
                    withClue(kind) { scene.link.sent shouldHaveSize 0 }
                    scene.inFlight shouldBe emptyMap()
                }
            }
        }

        test("a probe is sent although its connection opens slowly") {
            runTest {
                val scene = Scene(this, RequestKind.Idempotent, 1, SLOW_CONNECTION)
                scene.crash(DEADLY, count = 3)
                advanceTimeBy(1_500.milliseconds)
                scene.run(sharedParts = listOf(DEADLY)).shouldBeInstanceOf<Outcome.Completed>()
                scene.link.sent shouldHaveSize 1
            }
        }

        test("the time that a back end gets is what is left once the connection to it is open") {
            runTest {
                val scene = Scene(this, RequestKind.Idempotent, 1, SLOW_CONNECTION)
                scene.run(timeLeft = 2.seconds).shouldBeInstanceOf<Outcome.Completed>()
                scene.link.sent.map { it.attempt.timeLeft } shouldContainExactly listOf(2.seconds - CONNECTING)
            }
        }

        test("a back end that may be cold gets no more in any second than it bears, although some connections open slowly") {
            runTest {
                val coldRequestsPerSecond = 2.0
                val maxInAnySecond = 8
                val slow = List(7) { SLOW_CONNECTION }
                val prompt = List(40) { ANSWER }
                val scene =
                    Scene(
                        this,
                        RequestKind.Idempotent,
                        1,
                        *(listOf(ANSWER) + slow + prompt).toTypedArray(),
                        backEndIds = listOf("a"),
                        coldRequestsPerSecond = coldRequestsPerSecond,
                    )
                scene.run(id = "first")
                // After the time in which a daemon that has just started takes others into account that it doesn't know.
                advanceTimeBy(5.seconds)
                val early = (1..7).map { async { scene.run(id = "early-$it") } }
                advanceTimeBy(1_150.milliseconds)
                val late = (1..7).map { async { scene.run(id = "late-$it") } }
                (early + late).awaitAll()
                val times = scene.link.sent.map { it.at }
                times.count { it > 5.seconds } shouldBe times.size - 1
                for (first in times) {
                    withClue("in the second from $first, by $currentTime ms") {
                        times.count { it >= first && it < first + 1.seconds } shouldBeLessThanOrEqual maxInAnySecond
                    }
                }
            }
        }
    })
