/**
 * Guards against requests that wait in a back end's own queue and begin there on an older version after the limit of that version.
 */
package lagoonrudder.traffic.direct

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import lagoonrudder.model.EventId
import lagoonrudder.model.Outcome
import lagoonrudder.model.RequestKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val LIMIT = 8.seconds

/** A request that is sent then is still allowed on the older version. */
private val LAST_SENT = 6_700.milliseconds

private val PROGRESS_TIMEOUT = 1_200.milliseconds

private val ONCE_STREAM = RequestKind.Stream(resumable = false, maxEventGap = 300.milliseconds)
private val KINDS = listOf(RequestKind.Idempotent, RequestKind.AtMostOnce, STREAM, ONCE_STREAM)

/** Returns the requests that began on version 1 later than [LIMIT] after version 2 was declared at [declaredAt]. */
private fun Scene.tooLate(declaredAt: Duration = Duration.ZERO) = link.begins.filter { it.version == 1L && it.at > declaredAt + LIMIT }

@OptIn(ExperimentalCoroutinesApi::class)
class QueuedAtBackEndTest :
    FunSpec({
        for (kind in KINDS) {
            test("a request that waits in a back end's queue begins on an older version after its limit, kind $kind") {
                for (sentAt in listOf(5.seconds, 6.seconds, LAST_SENT)) {
                    withClue("sent at $sentAt") {
                        runTest {
                            val queued = Behaviour.Queued(LIMIT + 3.milliseconds)
                            val scene = Scene(this, kind, 2, queued, backEndIds = listOf("a"), held = 1)
                            scene.declare(2)
                            delay(sentAt)
                            val outcome = scene.run(timeLeft = 4.seconds)
                            scene.tooLate().shouldBeEmpty()
                            outcome.shouldBeInstanceOf<Outcome.Unknown>()
                            scene.link.abandoned shouldBe 1
                            scene.inFlight.values.sum() shouldBe 0
                        }
                    }
                }
            }
        }

        for (kind in KINDS.filter { it.retryable }) {
            test("a request that waits too long in a back end's queue begins on the newer version elsewhere, kind $kind") {
                runTest {
                    val scene = Scene(this, kind, 2, Behaviour.Queued(9.seconds), Behaviour.Queued(Duration.ZERO) { 2 }, held = 1)
                    scene.declare(2)
                    delay(LAST_SENT)
                    launch {
                        delay(500.milliseconds)
                        val queuedAt =
                            scene.link.attempts
                                .single()
                                .backEnd.id.text
                        listOf("a", "b", "c").filter { it != queuedAt }.forEach { scene.register(it, held = 2) }
                    }
                    scene.run().shouldBeInstanceOf<Outcome.Completed>()
                    scene.link.begins.map { it.version } shouldBe listOf(2L)
                    // It goes on before its silence alone would let another back end take over.
                    scene.link.begins
                        .single()
                        .at shouldBeLessThan LAST_SENT + PROGRESS_TIMEOUT
                    scene.response.body.toString() shouldBe text(1, 2)
                }
            }
        }

        test("a request that was sent before the declaration has the whole limit of the version, and no more") {
            for (limit in listOf(3.seconds, 4.seconds)) {
                runTest {
                    val queued = Behaviour.Queued(1.seconds + limit + 3.milliseconds)
                    val scene = Scene(this, STREAM, 1, queued, backEndIds = listOf("a"), held = 1, versionLimit = limit)
                    launch {
                        delay(1.seconds)
                        scene.declare(2)
                    }
                    val outcome = scene.run(timeLeft = 6.seconds)
                    scene.link.begins.shouldBeEmpty()
                    outcome.shouldBeInstanceOf<Outcome.Unknown>()
                }
                runTest {
                    val queued = Behaviour.Queued(1.seconds + limit - 500.milliseconds)
                    val scene = Scene(this, STREAM, 1, queued, backEndIds = listOf("a"), held = 1, versionLimit = limit)
                    launch {
                        delay(1.seconds)
                        scene.declare(2)
                    }
                    scene.run(timeLeft = 6.seconds).shouldBeInstanceOf<Outcome.Completed>()
                }
            }
        }

        test("a stream that is resumed in a back end's queue does not begin there on the older version after its limit") {
            runTest {
                val cut = Behaviour.Replies(listOf(head(number = 1), event(1)))
                val scene = Scene(this, STREAM, 2, cut, Behaviour.Queued(LIMIT + 3.milliseconds), held = 1)
                scene.declare(2)
                delay(LAST_SENT)
                val outcome = scene.run()
                scene.tooLate().shouldBeEmpty()
                outcome.shouldBeInstanceOf<Outcome.Broken>()
                scene.link.attempts.map { it.resumeAfter } shouldBe listOf(null, EventId(1))
                scene.response.ended shouldBe false
            }
        }

        test("a request that began in time on the older version goes on after the limit") {
            runTest {
                val pieces = (1..4).map { 500.milliseconds to event(it) }
                val slow = Behaviour.Timed(listOf(Duration.ZERO to head()) + pieces + (Duration.ZERO to ResponseEvent.End))
                val scene = Scene(this, STREAM, 2, slow, held = 1)
                scene.declare(2)
                delay(LAST_SENT)
                scene.run().shouldBeInstanceOf<Outcome.Completed>()
                scene.link.attempts shouldHaveSize 1
                scene.response.body.toString() shouldBe text(1, 2, 3, 4)
            }
        }

        test("a request stays in the queue of a back end that loads the newer version meanwhile") {
            runTest {
                var loaded = 1L
                val scene = Scene(this, RequestKind.AtMostOnce, 1, Behaviour.Queued(9.seconds) { loaded }, held = 1)
                scene.declare(2)
                delay(LAST_SENT)
                launch {
                    delay(900.milliseconds)
                    loaded = 2
                    listOf("a", "b", "c").forEach { scene.register(it, held = 2) }
                }
                scene.run().shouldBeInstanceOf<Outcome.Completed>()
                scene.link.begins.map { it.version } shouldBe listOf(2L)
            }
        }

        test("an attempt that took over and waits in a queue is given up by the limit while the caller reads slowly") {
            runTest {
                val late = Behaviour.Timed(listOf(Duration.ZERO to head(number = 1), 2_300.milliseconds to event(1)))
                val scene = Scene(this, STREAM, 2, late, Behaviour.Queued(9.seconds), held = 1)
                scene.response.readTime = 3.seconds
                scene.declare(2)
                delay(5.seconds)
                val outcome = async { scene.run(timeLeft = 6.seconds) }
                delay(3.seconds)
                scene.link.attempts.size shouldBe 2
                scene.link.abandoned shouldBe 1
                outcome.await()
            }
        }

        test("a request that is given up and has no back end to go to leaves its retry to others") {
            runTest {
                val lost = Behaviour.Replies(emptyList())
                val answer = Behaviour.Queued(Duration.ZERO) { 2 }
                val scene = Scene(this, STREAM, 2, Behaviour.Queued(9.seconds), lost, answer, held = 1, retrySlack = 20.0)
                scene.declare(2)
                delay(6_700.milliseconds)
                scene.run().shouldBeInstanceOf<Outcome.Unknown>()
                scene.link.attempts.size shouldBe 1
                listOf("a", "b", "c").forEach { scene.register(it, held = 2) }
                scene.run(id = "second", to = FakeResponse()).shouldBeInstanceOf<Outcome.Completed>()
            }
        }
    })
