package lagoonrudder.daemon.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield

/** Guards against fetches of the newest version that wait behind those of older ones, and against permits that get lost. */
class FetchPermitsTest :
    FunSpec({
        test("a permit that becomes free goes to the waiting fetch of the highest priority, and a cancelled fetch returns its permit") {
            runBlocking {
                val permits = FetchPermits(1)
                val order = mutableListOf<Long>()
                val isOver = CompletableDeferred<Unit>()
                val first = launch { permits.withPermit({ 0 }) { isOver.await() } }
                yield()
                val waiting = listOf(2L, 1L, 3L).map { priority -> launch { permits.withPermit({ priority }) { order += priority } } }
                yield()
                waiting.first().cancelAndJoin()
                first.cancelAndJoin()
                waiting.forEach { it.join() }
                permits.withPermit({ 0 }) { order += 0 }
                order shouldBe listOf(3, 1, 0)
            }
        }
    })
