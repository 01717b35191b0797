package lagoonrudder.standins.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds

private val REQUEST_TIME = 100.milliseconds

/** Sends a request and returns its coroutine; the time of its begin goes to [begins]. */
@OptIn(ExperimentalCoroutinesApi::class)
private fun TestScope.send(
    slots: WorkerSlots,
    begins: MutableList<Long>,
) = launch {
    slots.withSlot {
        begins += currentTime
        delay(REQUEST_TIME)
    }
}

@OptIn(ExperimentalCoroutinesApi::class)
class WorkerSlotsTest :
    FunSpec({
        test("requests beyond the slots wait in order, and those beyond the queue find it full") {
            runTest {
                val slots = WorkerSlots(slots = 1, queueLength = 2)
                val begins = mutableListOf<Long>()
                repeat(3) { send(slots, begins) }
                delay(1.milliseconds)
                slots.isFull shouldBe true
                delay(300.milliseconds)
                begins shouldBe listOf(0L, 100L, 200L)
                slots.running shouldBe 0
            }
        }

        test("a load waits for the running requests, and the queue for the load") {
            runTest {
                val slots = WorkerSlots(slots = 1, queueLength = 2)
                val begins = mutableListOf<Long>()
                repeat(2) { send(slots, begins) }
                delay(50.milliseconds)
                slots.close()
                testScheduler.currentTime shouldBe 100
                delay(70.milliseconds)
                slots.open()
                delay(1.milliseconds)
                begins shouldBe listOf(0L, 170L)
            }
        }

        test("a request whose connection closes leaves the queue, unless the back end drops none") {
            for ((drops, expected) in listOf(true to listOf(0L), false to listOf(0L, 100L))) {
                runTest {
                    val slots = WorkerSlots(slots = 1, queueLength = 2, dropsClosed = drops)
                    val begins = mutableListOf<Long>()
                    send(slots, begins)
                    val waiting = send(slots, begins)
                    delay(50.milliseconds)
                    waiting.cancel()
                    delay(200.milliseconds)
                    begins shouldBe expected
                    slots.running shouldBe 0
                }
            }
        }
    })
