package lagoonrudder.traffic.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val WEIGHTS = HeldWeights(ModelId("model"), WeightNumber(1), 16)

/** Answers with a head at once and its events, on version [number], after [queued]. */
private fun queued(
    number: Long,
    queued: Duration,
) = Behaviour.Timed(listOf(Duration.ZERO to head(number = number), queued to event(1), Duration.ZERO to ResponseEvent.End))

@OptIn(ExperimentalCoroutinesApi::class)
private fun TestScope.scene(vararg behaviours: Behaviour) = Scene(this, STREAM, 2, *behaviours, weights = WEIGHTS)

/** A request that began on an old version left no trace of why: what its daemon knew, and how long the back end let it wait. */
@OptIn(ExperimentalCoroutinesApi::class)
class LateVersionTest :
    FunSpec({
        test("a request that waits at its back end until the limit of a declared version is over is reported with its wait") {
            runTest {
                val scene = scene(queued(number = 1, 250.milliseconds))
                scene.declare(2)
                delay(7_900.milliseconds)
                scene.run()
                scene.lateVersions shouldHaveSize 1
                val late = scene.lateVersions.single()
                late.declared.number shouldBe WeightNumber(2)
                late.age shouldBe 8_150.milliseconds
                late.versions.firstEventAfter shouldBe 250.milliseconds
                late.versions.headAfter shouldBe 0.milliseconds
                late.versions.known.held shouldBe WeightNumber(1)
                late.isResumed shouldBe false
            }
        }

        test("a request is not reported before the limit, or on the declared version") {
            runTest {
                val scene = scene(queued(number = 1, 50.milliseconds), queued(number = 2, 250.milliseconds))
                scene.declare(2)
                delay(7_900.milliseconds)
                scene.run()
                scene.run()
                scene.lateVersions.shouldBeEmpty()
            }
        }

        test("an attempt is recorded with the version of its response and the declared one at its start") {
            runTest {
                val scene = scene(queued(number = 1, 250.milliseconds))
                scene.declare(2)
                delay(1_000.milliseconds)
                scene.run()
                val call = scene.calls.single()
                call.number shouldBe WeightNumber(1)
                val versions =
                    call.attempts
                        .single()
                        .versions
                        .shouldNotBeNull()
                versions.number shouldBe WeightNumber(1)
                versions.known.newest
                    .shouldNotBeNull()
                    .number shouldBe WeightNumber(2)
                versions.known.at shouldBe 1_000.milliseconds
                versions.firstEventAfter shouldBe 250.milliseconds
            }
        }
    })
