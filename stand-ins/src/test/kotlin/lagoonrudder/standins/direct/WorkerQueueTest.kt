/**
 * Guards against requests that wait in the queue of a back end and begin there on an older version after its limit, over connections.
 */
package lagoonrudder.standins.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val LIMIT = 8.seconds

class WorkerQueueTest :
    FunSpec({
        test("a request that waits in the queue of a back end does not begin on an older version after its limit") {
            withSite(entries = 1, workers = 1) {
                val worker = workers.single().apply { slots = WorkerSlots(slots = 1, queueLength = 4) }
                worker.requestTime = 3.seconds
                // The back end keeps its version: the origin has no other one.
                origin.failsAfter = 0
                val declaredAt = TimeSource.Monotonic.markNow()
                declare(2)
                coroutineScope {
                    delay(5.seconds)
                    val running = async { request(id = "running") }
                    delay(600.milliseconds)
                    val waiting = async { request(id = "waiting") }
                    running.await()?.head?.status shouldBe 200
                    waiting.await()?.head?.status shouldBe 502
                }
                delay(declaredAt + LIMIT + 1.seconds - TimeSource.Monotonic.markNow())
                worker.begins.map { it.request } shouldContain "running"
                worker.begins.filter { it.version == 1L && it.at > declaredAt + LIMIT }.shouldBeEmpty()
                worker.slots?.waiting shouldBe 0
            }
        }
    })
