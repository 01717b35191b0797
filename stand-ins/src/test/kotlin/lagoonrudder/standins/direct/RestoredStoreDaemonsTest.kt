package lagoonrudder.standins.direct

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RestoredStoreDaemonsTest :
    FunSpec({
        // Guards against daemons that compare revisions across a restore, and against those that return to an older configuration.
        test("a restored store's older configuration never applies, and a newer one does at once") {
            withSite(entries = 2, workers = 2) {
                publish(revision = 2, prefix = "/old/")
                eventually { (0..1).all { request(it, "/old/b")?.head?.status == 200 } }
                val copy = store.copy()
                publish(revision = 3, prefix = "/new/")
                eventually { (0..1).all { request(it, "/new/b")?.head?.status == 200 } }

                suspend fun expectKept() =
                    repeat(10) {
                        for (entry in 0..1) {
                            withClue("entry $entry, round $it") {
                                request(entry, "/new/b")?.head?.status shouldBe 200
                                request(entry, "/old/b")?.head?.status shouldBe 404
                            }
                        }
                        delay(50.milliseconds)
                    }
                store.restore(copy)
                expectKept()
                publish(revision = 3, prefix = "/new/")
                delay(4.seconds)
                expectKept()
                store.restore(copy)
                delay(4.seconds)
                expectKept()
                publish(revision = 4, prefix = "/newest/")
                eventually { (0..1).all { request(it, "/newest/b")?.head?.status == 200 } }
            }
        }
    })
