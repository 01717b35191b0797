package lagoonrudder.standins.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

class PlannedStopTest :
    FunSpec({
        // Requests that came late in the grace period were passed on and cut at its end, also those that must not be repeated.
        for (kind in listOf("unsafe", "safe", "stream")) {
            test("a planned stop cuts no request without an answer that it has passed on, kind $kind") {
                withSite(entries = 2, workers = 3) {
                    publish(revision = 2, prefix = "/stop/", kind = kind)
                    eventually { (0..1).all { request(it, "/stop/b")?.head?.status == 200 } }
                    workers.forEach { it.behavior = WorkerBehavior.STALLED }
                    val unanswered = mutableSetOf<String>()
                    coroutineScope {
                        launch {
                            delay(200.milliseconds)
                            stopEntry(1)
                        }
                        repeat(60) {
                            launch {
                                val id = "stop-$it"
                                if (request(1, "/stop/b", id = id) == null) unanswered += id
                            }
                            delay(40.milliseconds)
                        }
                    }
                    val passedOn = workers.flatMap { it.executed }.mapNotNullTo(mutableSetOf()) { it.field("Request-Id") }
                    passedOn.count { it.startsWith("stop-") } shouldBeGreaterThan 0
                    (unanswered intersect passedOn).shouldBeEmpty()
                }
            }
        }
    })
