package lagoonrudder.standins.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import lagoonrudder.http.HttpResponse
import kotlin.time.Duration.Companion.seconds

private val WHOLE = (1..FakeWorker.EVENTS).joinToString("") { "id: $it\ndata: $it\n\n" }

private val HttpResponse?.text get() = this?.body?.decodeToString()

/** A site of [entries] entry daemons whose back ends all hold version 1. */
private fun withSite(
    entries: Int,
    workers: Int,
    block: suspend DirectSite.() -> Unit,
) = DirectSite(entries, workers).use { site ->
    site.onLoop {
        repeat(workers) { site.register(it) }
        site.eventually { site.workers.all { it.number == 1L } && (0 until entries).all { site.isReady(it) } }
        site.eventually { (0 until entries).all { site.request(it)?.head?.status == 200 } }
        site.block()
    }
    site.violations() shouldBe 0
}

class DirectSiteTest :
    FunSpec({
        test("back ends that hold nothing get whole weights, drawn from the origin about once, and serve") {
            withSite(entries = 2, workers = 3) {
                request().text shouldBe WHOLE
                origin.draws shouldBe STAND_IN_PIECES
                workers.none { it.loadedUnsound } shouldBe true
            }
        }

        test("a new version reaches every back end inside its bound while requests go on, and a piece that rots is replaced") {
            withSite(entries = 2, workers = 3) {
                workers.first().rot(1)
                origin.newest = 2
                store.put("op/version/$STAND_IN_MODEL", "{\"model\":\"$STAND_IN_MODEL\",\"version\":2}")
                eventually(8.seconds) {
                    request().text shouldBe WHOLE
                    workers.all { it.number == 2L }
                }
                workers.none { it.loadedUnsound } shouldBe true
                origin.draws shouldBe 2 * STAND_IN_PIECES
            }
        }

        test("a stream that breaks off in an event goes on at another back end within the same answer") {
            withSite(entries = 1, workers = 2) {
                workers.first().mood = WorkerBehavior.BREAKS_OFF
                repeat(6) { request().text shouldBe WHOLE }
            }
        }

        test("a back end that turns requests away is passed over, and when all do the caller is told when to come back") {
            withSite(entries = 1, workers = 2) {
                workers.first().mood = WorkerBehavior.FULL
                repeat(4) { request().text shouldBe WHOLE }
                workers.forEach { it.mood = WorkerBehavior.FULL }
                val refused = request().shouldNotBeNull()
                refused.head.status shouldBe 503
                refused.head.field("Retry-After").shouldNotBeNull()
            }
        }

        test("a change of the configuration is in force within its bound, keys and routes") {
            withSite(entries = 2, workers = 1) {
                request(key = "other").shouldNotBeNull().head.status shouldBe 401
                request(path = "/none/").shouldNotBeNull().head.status shouldBe 404
                publish(revision = 2, prefix = "/new/")
                eventually(2.seconds) { (0..1).all { request(it, "/new/b")?.head?.status == 200 && request(it)?.head?.status == 404 } }
            }
        }

        test("while the store is down requests go on, and a lost history is read again") {
            withSite(entries = 2, workers = 1) {
                store.down = true
                store.compact()
                request(1).text shouldBe WHOLE
                publish(revision = 2, prefix = "/new/")
                store.compact()
                store.down = false
                eventually(3.seconds) { (0..1).all { request(it, "/new/b")?.head?.status == 200 } }
            }
        }

        test("a back end that leaves gets nothing more within its bound") {
            withSite(entries = 2, workers = 2) {
                store.remove("servers/${workers.first().id}")
                eventually(2.seconds) {
                    val before = workers.first().ran.size
                    repeat(4) { request(it % 2) }
                    workers.first().ran.size == before
                }
            }
        }

        test("the platform is asked rarely while nothing changes") {
            withSite(entries = 2, workers = 2) {
                val before = store.calls
                kotlinx.coroutines.delay(2.seconds)
                (store.calls - before) shouldBeLessThan 4
            }
        }
    })
