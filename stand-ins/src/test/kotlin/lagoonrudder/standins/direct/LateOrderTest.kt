package lagoonrudder.standins.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Longer than a target daemon waits for the answer to an order, and time enough to stage the chunks of another version. */
private val ORDER_DELAY = 3.seconds

/** Longer than any of these tests. */
private val LOST_ORDER_DELAY = 60.seconds

/** Two reads that take this long are together longer than the time for which a load may rely on a chunk that has turned bad. */
private val SLOW_READ = 1_800.milliseconds

/** Guards against loads of chunks that were replaced while an order without an answer could still take effect. */
class LateOrderTest :
    FunSpec({
        test("an order that takes effect long after it was sent loads no chunks of a newer version") {
            withSite(entries = 1, workers = 1) {
                val worker = workers.first()
                worker.orderDelays += ORDER_DELAY
                declare(2)
                eventually { 2L in worker.orderedVersions }
                declare(3)
                eventually(15.seconds) { worker.loadedVersion == 3L }
                worker.loadedInvalidChunks shouldBe false
            }
        }

        test("orders that all take effect late load no chunks of a newer version") {
            withSite(entries = 1, workers = 1) {
                val worker = workers.first()
                repeat(4) { worker.orderDelays += ORDER_DELAY }
                declare(2)
                eventually { 2L in worker.orderedVersions }
                declare(3)
                eventually(20.seconds) { worker.loadedVersion == 3L }
                worker.loadedInvalidChunks shouldBe false
            }
        }

        test("an order of a target daemon that was restarted since loads no chunks of a newer version") {
            withSite(entries = 1, workers = 1) {
                val worker = workers.first()
                // The order takes effect while the restarted daemon stages the newer version.
                worker.orderDelays += 2.seconds
                declare(2)
                eventually { 2L in worker.orderedVersions }
                origin.chunkTime = 1.seconds
                restartTarget(0)
                declare(3)
                eventually(15.seconds) { worker.loadedVersion == 3L }
                worker.loadedInvalidChunks shouldBe false
            }
        }

        test("a chunk that turns bad long before the order, while others are still being verified, is replaced") {
            withSite(entries = 1, workers = 1) {
                val worker = workers.first()
                val slowReads = mutableListOf(1, 2)
                worker.onChunkRead = { index ->
                    if (worker.hasStaged(2) || slowReads.size == 1) {
                        if (index == 1 && index in slowReads) worker.corruptStagedChunk(0)
                        if (slowReads.remove(index)) delay(SLOW_READ)
                    }
                }
                declare(2)
                eventually(20.seconds) { worker.loadedVersion == 2L }
                worker.loadedInvalidChunks shouldBe false
            }
        }

        // An order that is sent again relied on its verification however long that took.
        test("a chunk that turns bad long before an order is sent again, while others are still being verified, is replaced") {
            withSite(entries = 1, workers = 1) {
                val worker = workers.first()
                val slowReads = mutableListOf(1, 2)
                worker.orderDelays += LOST_ORDER_DELAY
                worker.onChunkRead = { index ->
                    if (2L in worker.orderedVersions) {
                        if (index == 1 && index in slowReads) worker.corruptStagedChunk(0)
                        if (slowReads.remove(index)) delay(SLOW_READ)
                    }
                }
                declare(2)
                eventually(25.seconds) { worker.loadedVersion == 2L }
                slowReads.size shouldBe 0
                worker.loadedInvalidChunks shouldBe false
            }
        }

        test("a chunk whose write was given up does not arrive under the order of a newer version") {
            withSite(entries = 1, workers = 1) {
                val worker = workers.first()
                val arrival = CompletableDeferred<Unit>()
                var isFirst = true
                worker.onChunkWrite = {
                    if (isFirst) {
                        isFirst = false
                        arrival.await()
                    }
                }
                // The write of version 2 arrives while the last chunk of version 3 is verified.
                worker.onChunkRead = { index -> if (index == CHUNK_COUNT - 1 && worker.hasStaged(3)) arrival.complete(Unit) }
                declare(2)
                eventually { worker.loadedVersion == 2L }
                declare(3)
                eventually(15.seconds) { worker.loadedVersion == 3L }
                worker.loadedInvalidChunks shouldBe false
            }
        }

        test("a back end whose chunks take over a second to read back gets new weights") {
            withSite(entries = 1, workers = 1) {
                val worker = workers.first()
                worker.onChunkRead = { delay(200.milliseconds) }
                declare(2)
                eventually(15.seconds) { worker.loadedVersion == 2L }
                worker.loadedInvalidChunks shouldBe false
            }
        }

        test("a back end that restarts with its target daemon two versions behind gets new weights") {
            withSite(entries = 1, workers = 1) {
                val worker = workers.first()
                origin.forgetsOldVersions = true
                declare(2)
                eventually { worker.loadedVersion == 2L }
                stopTarget(0)
                worker.restart()
                declare(3)
                declare(4)
                register(0)
                startTarget(0)
                eventually(15.seconds) { worker.loadedVersion == 4L }
                worker.loadedInvalidChunks shouldBe false
            }
        }
    })
