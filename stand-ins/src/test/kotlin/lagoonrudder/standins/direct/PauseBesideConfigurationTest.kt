package lagoonrudder.standins.direct

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

private val COMPLETE_BODY = (1..FakeWorker.EVENT_COUNT).joinToString("") { "id: $it\ndata: $it\n\n" }
private val PAUSES = listOf(WorkerBehavior.PAUSES_BEFORE_HEAD, WorkerBehavior.PAUSES_IN_BODY)

/** Each list holds the prefixes of the configurations that follow each other within 100 ms while the requests run. */
private val CHANGES = listOf(listOf("/a/"), listOf("/new/"), listOf("/new/", "/a/"))

/** Callers that have waited before find two slots less at each of the two back ends; the others may wait for one and are refused. */
private const val PLACES = 4

class PauseBesideConfigurationTest :
    FunSpec({
        // Whole requests got neither an answer nor a refusal when the configuration changed.
        for (kind in listOf("safe", "unsafe", "stream")) {
            for (silent in 1..2) {
                test("requests are answered beside a configuration while $silent of 2 back ends pause, kind $kind") {
                    withSite(entries = 2, workers = 2) {
                        var revision = 2
                        for (pause in PAUSES) {
                            for (change in CHANGES) {
                                workers.forEach { it.behavior = WorkerBehavior.NORMAL }
                                publish(revision++, "/ready-$revision/", kind)
                                eventually { (0..1).all { request(it, "/ready-$revision/")?.head?.status == 200 } }
                                publish(revision++, "/a/", kind)
                                eventually { (0..1).all { request(it, "/a/b")?.head?.status == 200 } }
                                workers.take(silent).forEach { it.behavior = pause }
                                coroutineScope {
                                    val ids = List(6) { "paused-$revision-$it" }
                                    val running = ids.mapIndexed { index, id -> async { request(index % 2, id = id) } }
                                    delay(700.milliseconds)
                                    for (prefix in change) {
                                        publish(revision++, prefix, kind)
                                        delay(80.milliseconds)
                                    }
                                    val responses = running.awaitAll()
                                    val ran = workers.flatMap { it.executed }.mapNotNull { it.field("Request-Id") }
                                    withClue("$pause, $change") {
                                        for ((id, response) in ids zip responses) {
                                            val isRefused = response?.head?.status == 503
                                            val isTrue = if (isRefused) id !in ran else response?.body?.decodeToString() == COMPLETE_BODY
                                            withClue("$id status ${response?.head?.status}") { isTrue shouldBe true }
                                        }
                                        responses.count { it?.head?.status == 200 } shouldBeGreaterThanOrEqual PLACES
                                    }
                                }
                            }
                        }
                    }
                }
            }
        }
    })
