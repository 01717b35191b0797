package lagoonrudder.daemon.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import lagoonrudder.daemon.observe.EventLog
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class KeepRunningTest :
    FunSpec({
        // The loop that read the store ended for good with one response that did not fit into memory.
        test("a loop goes on after an error in one of its rounds, also when memory runs out") {
            runBlocking {
                var rounds = 0
                withTimeout(10.seconds) {
                    keepRunning("test", EventLog("test")) {
                        rounds++
                        if (rounds == 1) error("odd")
                        if (rounds == 2) throw OutOfMemoryError("full")
                    }
                }
                rounds shouldBe 3
            }
        }

        test("a loop that is cancelled ends") {
            runBlocking {
                val running = launch { keepRunning("test", EventLog("test")) { awaitCancellation() } }
                delay(10.milliseconds)
                withTimeout(1.seconds) { running.cancelAndJoin() }
            }
        }
    })
