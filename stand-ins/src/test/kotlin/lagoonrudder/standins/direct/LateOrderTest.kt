package lagoonrudder.standins.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

/** Longer than a target daemon waits for the answer to an order, and time enough to stage the chunks of another version. */
private val ORDER_DELAY = 3.seconds

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
    })
