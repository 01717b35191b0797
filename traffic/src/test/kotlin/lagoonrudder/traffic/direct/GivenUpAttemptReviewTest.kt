/**
 * Guards against an attempt that is not given up in time because its request waits for a slow caller, and against a retry budget that is
 * spent on requests which no back end may take.
 */
package lagoonrudder.traffic.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import lagoonrudder.model.Outcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class GivenUpAttemptReviewTest :
    FunSpec({
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
                val scene = Scene(this, STREAM, 2, Behaviour.Queued(9.seconds), lost, answer, held = 1, retrySlack = 2.0)
                scene.declare(2)
                delay(6_700.milliseconds)
                scene.run().shouldBeInstanceOf<Outcome.Unknown>()
                scene.link.attempts.size shouldBe 1
                listOf("a", "b", "c").forEach { scene.register(it, held = 2) }
                scene.run(id = "second", to = FakeResponse()).shouldBeInstanceOf<Outcome.Completed>()
            }
        }
    })
