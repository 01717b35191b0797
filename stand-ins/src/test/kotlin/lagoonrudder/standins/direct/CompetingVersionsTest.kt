package lagoonrudder.standins.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against links that are idle during a load. */
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
    })
