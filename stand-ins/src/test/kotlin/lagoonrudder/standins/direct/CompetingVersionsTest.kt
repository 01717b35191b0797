package lagoonrudder.standins.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against links that carry a version that has given way to a newer one, and against links that are idle during a load. */
class CompetingVersionsTest :
    FunSpec({
        // A back end began to stage version 3 only once it had loaded version 2, 3.5 s after that order.
        test("the next version is staged while the back end still loads the version of an accepted order") {
            withSite(entries = 1, workers = 1) {
                val worker = workers.first()
                worker.loadTime = 5.seconds
                declare(2)
                eventually { 2L in worker.orderedVersions }
                declare(3)
                eventually(4.seconds) { worker.hasStaged(3) }
                worker.loadedVersion shouldBe 1L
                worker.loadTime = 100.milliseconds
                eventually(15.seconds) { worker.loadedVersion == 3L }
                worker.loadedInvalidChunks shouldBe false
            }
        }

        // Entry daemons went on with the chunks of version 2 when the origin was back.
        test("an origin that is back after the declaration of a newer version is asked for chunks of that one only") {
            withSite(entries = 2, workers = 2) {
                origin.failsAfter = origin.chunksServed + 2
                declare(2)
                // A daemon that has just started fetches nothing of a declared version for a second, however fast the site starts.
                eventually(5.seconds) { origin.failedRequests > 0 }
                declare(3)
                delay(1_500.milliseconds)
                val before = origin.chunksServed
                origin.failsAfter = null
                eventually(15.seconds) { workers.all { it.loadedVersion == 3L } }
                workers.none { it.loadedInvalidChunks } shouldBe true
                (origin.chunksServed - before) shouldBeInRange CHUNK_COUNT..CHUNK_COUNT + 1
            }
        }
    })
