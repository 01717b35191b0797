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

/** A back end with one slot and two places in its queue, and the times at which requests began there. */
@OptIn(ExperimentalCoroutinesApi::class)
private class QueueScene(
    private val scope: TestScope,
    dropsClosed: Boolean = true,
) {
    val slots = WorkerSlots(slots = 1, queueLength = 2, dropsClosed)
    val begins = mutableListOf<Long>()

    /** Sends a request and returns its coroutine. */
    fun send() =
        scope.launch {
            slots.withSlot {
                begins += scope.currentTime
                delay(REQUEST_TIME)
            }
        }
}

@OptIn(ExperimentalCoroutinesApi::class)
class WorkerSlotsTest :
    FunSpec({
        test("requests beyond the slots wait in order, and those beyond the queue find it full") {
            runTest {
                val scene = QueueScene(this)
                repeat(3) { scene.send() }
                delay(1.milliseconds)
                scene.slots.isFull shouldBe true
                delay(300.milliseconds)
                scene.begins shouldBe listOf(0L, 100L, 200L)
                scene.slots.running shouldBe 0
            }
        }

        test("a load waits for the running requests, and the queue for the load") {
            runTest {
                val scene = QueueScene(this)
                repeat(2) { scene.send() }
                delay(50.milliseconds)
                scene.slots.close()
                testScheduler.currentTime shouldBe 100
                delay(70.milliseconds)
                scene.slots.open()
                delay(1.milliseconds)
                scene.begins shouldBe listOf(0L, 170L)
            }
        }

        test("a request whose connection closes leaves the queue, unless the back end drops none") {
            for ((drops, expected) in listOf(true to listOf(0L), false to listOf(0L, 100L))) {
                runTest {
                    val scene = QueueScene(this, dropsClosed = drops)
                    scene.send()
                    val waiting = scene.send()
                    delay(50.milliseconds)
                    waiting.cancel()
                    delay(200.milliseconds)
                    scene.begins shouldBe expected
                    scene.slots.running shouldBe 0
                }
            }
        }
    })
