/**
 * Guards against responses that are continued with something else after their back end broke off, and against broken responses
 * that look complete.
 */
package lagoonrudder.traffic.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.test.runTest
import lagoonrudder.model.Outcome
import lagoonrudder.model.RequestKind
import kotlin.time.Duration.Companion.seconds

private const val JSON = "{\"error\":\"no\"}"
private const val JSON_WITH_BLANK_LINE = "{\"error\":\n\n\"no\"}\n\n"

private fun replies(vararg events: ResponseEvent) = Behaviour.Replies(events.toList())

private fun comment() = bytes(": comment\n\n")

private fun withoutId(data: String) = bytes("data: $data\n\n")

/** The ways in which a back end breaks off after it sent [begun]. */
private fun breaks(vararg begun: ResponseEvent): Map<String, Behaviour> {
    val partial = bytes("id: 3\nda")
    return mapOf(
        "a closed connection after an event" to replies(*begun),
        "a closed connection inside an event" to replies(*begun, partial),
        "an early end inside an event" to replies(*begun, partial, ResponseEvent.End),
        "silence" to Behaviour.Silent(begun.toList()),
    )
}

private val ERRORS_WITH_BODY =
    listOf(500, 502, 504, 400, 404, 301).associate {
        "$it with a body" to replies(head(it), bytes("failed\n\n"), ResponseEvent.End)
    }
private val ERRORS_WITHOUT_BODY = listOf(500, 502, 504, 400, 404, 301).associate { "$it" to replies(head(it), ResponseEvent.End) }
private val UNPROVEN =
    listOf(503, 429, 200).associate {
        "$it without proof" to replies(head(it, Execution.UNPROVEN), bytes("failed\n\n"), ResponseEvent.End)
    }
private val NO_STREAMS =
    mapOf(
        "204" to replies(head(204), ResponseEvent.End),
        "206 with the next event" to replies(head(206), event(3), ResponseEvent.End),
        "200 of another type" to replies(head(isEventStream = false), bytes(JSON), ResponseEvent.End),
        "200 of another type with a blank line" to replies(head(isEventStream = false), bytes(JSON_WITH_BLANK_LINE), ResponseEvent.End),
        "200 of another type with the next event" to replies(head(isEventStream = false), event(3), ResponseEvent.End),
        "200 of another type without a body" to replies(head(isEventStream = false), ResponseEvent.End),
    )
private val EMPTY_STREAMS =
    mapOf(
        "an empty stream" to replies(head(), ResponseEvent.End),
        "a stream with a comment alone" to replies(head(), comment(), ResponseEvent.End),
        "a stream with old events alone" to replies(head(), event(1), event(2), ResponseEvent.End),
    )

/** Checks that the caller got the first two events and then a visible break. */
private suspend fun Scene.shouldBreakAfterTwoEvents() {
    run().shouldBeInstanceOf<Outcome.Broken>()
    response.ended shouldBe false
    response.heads shouldHaveSize 1
    response.body.toString().replace(": comment\n\n", "") shouldBe text(1, 2)
}

private suspend fun Scene.shouldComplete(vararg numbers: Int) {
    run().shouldBeInstanceOf<Outcome.Completed>()
    response.ended shouldBe true
    response.heads shouldHaveSize 1
    response.body.toString().replace(": comment\n\n", "") shouldBe text(*numbers)
}

class BrokenResponseTest :
    FunSpec({
        for ((ending, first) in breaks(head(), event(1), event(2))) {
            for ((name, next) in ERRORS_WITH_BODY + ERRORS_WITHOUT_BODY + UNPROVEN) {
                test("after $ending, nothing of the error $name reaches the stream, which ends broken") {
                    runTest { Scene(this, STREAM, 2, first, next).shouldBreakAfterTwoEvents() }
                }
            }
            for ((name, next) in NO_STREAMS) {
                test("after $ending, a response that is no event stream does not continue the stream: $name") {
                    runTest { Scene(this, STREAM, 2, first, next).shouldBreakAfterTwoEvents() }
                }
            }
            for ((name, next) in EMPTY_STREAMS) {
                test("after $ending, $name does not complete the response") {
                    runTest { Scene(this, STREAM, 2, first, next).shouldBreakAfterTwoEvents() }
                }
            }
            test("after $ending, rejections lead to another back end, and none left ends the stream broken") {
                val rejects = replies(head(421, Execution.NOT_RUN), bytes("rejected"), ResponseEvent.End)
                val continues = replies(head(), event(3), ResponseEvent.End)
                runTest { Scene(this, STREAM, 2, first, rejects, continues).shouldComplete(1, 2, 3) }
                runTest { Scene(this, STREAM, 2, first, rejects, NOT_RUN).shouldBreakAfterTwoEvents() }
            }
            test("after $ending, no attempt or no retry left ends the stream broken") {
                runTest { Scene(this, STREAM, 1, first).shouldBreakAfterTwoEvents() }
                runTest { Scene(this, STREAM, 2, first, retrySlack = 0.0).shouldBreakAfterTwoEvents() }
                val once = RequestKind.Stream(resumable = false, maxEventGap = null)
                runTest { Scene(this, once, 2, first).shouldBreakAfterTwoEvents() }
            }
            test("after $ending, a stream that starts over with the same events goes on after the last one") {
                val again = replies(head(), event(1), event(2), event(3), ResponseEvent.End)
                runTest { Scene(this, STREAM, 2, first, again).shouldComplete(1, 2, 3) }
            }
            test("after $ending, a stream that starts over with other events is another run and does not continue the stream") {
                val other = replies(head(), bytes("id: 1\ndata: x\n\n"), bytes("id: 2\ndata: y\n\n"), event(3), ResponseEvent.End)
                runTest { Scene(this, STREAM, 2, first, other).shouldBreakAfterTwoEvents() }
            }
            test("after $ending, a stream may go on after a comment, but not after an event without an id") {
                val commented = replies(head(), comment(), event(3), ResponseEvent.End)
                runTest { Scene(this, STREAM, 2, first, commented).shouldComplete(1, 2, 3) }
                val unplaced = replies(head(), withoutId("x"), event(3), ResponseEvent.End)
                runTest { Scene(this, STREAM, 2, first, unplaced).shouldBreakAfterTwoEvents() }
            }
        }

        for ((ending, first) in breaks(head(number = 1), event(1), event(2))) {
            test("after $ending, a stream of another version does not continue the stream") {
                val other = replies(head(number = 2), event(3), ResponseEvent.End)
                runTest { Scene(this, STREAM, 2, first, other).shouldBreakAfterTwoEvents() }
                val unknown = replies(head(), event(3), ResponseEvent.End)
                runTest { Scene(this, STREAM, 2, first, unknown).shouldBreakAfterTwoEvents() }
                val same = replies(head(number = 1), event(3), ResponseEvent.End)
                runTest { Scene(this, STREAM, 2, first, same).shouldComplete(1, 2, 3) }
            }
        }

        test("a stream whose last event has no id is not resumed, because its position is unknown") {
            val again = replies(head(), withoutId("1"), withoutId("2"), withoutId("3"), ResponseEvent.End)
            for ((_, first) in breaks(head(), withoutId("1"), withoutId("2"))) {
                runTest {
                    val scene = Scene(this, STREAM, 2, first, again)
                    scene.run().shouldBeInstanceOf<Outcome.Broken>()
                    scene.response.ended shouldBe false
                    scene.response.body.toString() shouldBe "data: 1\n\ndata: 2\n\n"
                }
            }
        }

        test("a stream that has begun with a comment alone is resumed from its start") {
            for ((_, first) in breaks(head(), comment())) {
                runTest { Scene(this, STREAM, 2, first, replies(head(), event(1), event(2), ResponseEvent.End)).shouldComplete(1, 2) }
            }
        }

        test("a response that is no stream is not continued by another back end once a part of it was forwarded") {
            val large = "x".repeat(70_000)
            val next = replies(head(), bytes("again"), ResponseEvent.End)
            for (first in listOf(replies(head(), bytes(large)), Behaviour.Silent(listOf(head(), bytes(large))))) {
                runTest {
                    val scene = Scene(this, RequestKind.Idempotent, 2, first, next)
                    scene.run().shouldBeInstanceOf<Outcome.Broken>()
                    scene.response.ended shouldBe false
                    scene.response.body.length shouldBe large.length
                    scene.link.attempts shouldHaveSize 1
                }
            }
        }

        test("a stream does not continue a large error response or one of another type that broke off") {
            val large = "x".repeat(70_000)
            val next = replies(head(), event(1), ResponseEvent.End)
            for (begun in listOf(head(500), head(isEventStream = false))) {
                for (first in listOf(replies(begun, bytes(large)), Behaviour.Silent(listOf(begun, bytes(large))))) {
                    runTest {
                        val scene = Scene(this, STREAM, 2, first, next)
                        scene.run().shouldBeInstanceOf<Outcome.Broken>()
                        scene.response.ended shouldBe false
                        scene.response.body.toString() shouldBe large
                    }
                }
            }
        }

        test("an error response that is held for a retry is not forwarded after the retry has begun a response") {
            val failed = replies(head(500), bytes("failed"), ResponseEvent.End)
            val large = "x".repeat(70_000)
            for (second in listOf(replies(head(), bytes(large)), Behaviour.Silent(listOf(head(), bytes(large))))) {
                runTest {
                    val scene = Scene(this, RequestKind.Idempotent, 3, failed, second, failed)
                    scene.run().shouldBeInstanceOf<Outcome.Broken>()
                    scene.response.ended shouldBe false
                    scene.response.heads shouldHaveSize 1
                    scene.response.body.toString() shouldBe large
                }
            }
        }

        test("a stream that ends with its connection before its first event is not delivered as an empty success") {
            runTest {
                val cut = replies(head(endsWithConnection = true), ResponseEvent.End)
                val scene = Scene(this, STREAM, 2, cut, replies(head(), event(1), ResponseEvent.End))
                scene.run().shouldBeInstanceOf<Outcome.Completed>()
                scene.response.body.toString() shouldBe text(1)
            }
            runTest {
                val cut = replies(head(endsWithConnection = true), bytes(": comment\n\n"), ResponseEvent.End)
                val scene = Scene(this, RequestKind.Stream(resumable = false, maxEventGap = 1.seconds), 2, cut)
                (scene.run() is Outcome.Completed) shouldBe false
                scene.response.ended shouldBe false
            }
        }

        test("a stream that ends with its connection after complete events is complete") {
            runTest {
                val scene = Scene(this, STREAM, 2, replies(head(endsWithConnection = true), event(1), event(2), ResponseEvent.End))
                scene.run().shouldBeInstanceOf<Outcome.Completed>()
                scene.response.body.toString() shouldBe text(1, 2)
                scene.response.ended shouldBe true
            }
        }

        test("a caller that does not read until the deadline gets a broken stream") {
            runTest {
                val scene = Scene(this, STREAM, 2, replies(head(), event(1), event(2), ResponseEvent.End))
                scene.response.readTime = 10.seconds
                scene.run(timeLeft = 1.seconds).shouldBeInstanceOf<Outcome.Broken>()
                scene.response.ended shouldBe false
                scene.response.heads shouldHaveSize 1
            }
        }

        test("an error response that arrives before anything was forwarded is delivered unchanged") {
            for (status in listOf(500, 502, 504, 400, 404, 301, 204)) {
                for (body in listOf("failed\n\n", "")) {
                    runTest {
                        val scene = Scene(this, STREAM, 2, replies(head(status), bytes(body), ResponseEvent.End))
                        scene.run().shouldBeInstanceOf<Outcome.Completed>()
                        scene.response.heads
                            .single()
                            .status shouldBe status
                        scene.response.body.toString() shouldBe body
                        scene.response.ended shouldBe true
                    }
                }
            }
        }

        test("a success of another type that arrives before anything was forwarded is delivered unchanged") {
            for (body in listOf(JSON, JSON_WITH_BLANK_LINE, "")) {
                runTest {
                    val scene = Scene(this, STREAM, 2, replies(head(isEventStream = false), bytes(body), ResponseEvent.End))
                    scene.run().shouldBeInstanceOf<Outcome.Completed>()
                    scene.response.heads shouldHaveSize 1
                    scene.response.body.toString() shouldBe body
                    scene.response.ended shouldBe true
                }
            }
        }
    })
