package lagoonrudder.standins.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private const val ENTRIES = 3
private const val SOUND = "sound"
private const val DEADLY = "deadly"

/** From the fifth crash on, daemons have this time to find the part that crashes back ends. */
private val DETECTION_TIME = 3.seconds

private class SoundRequest(
    val sentAt: TimeMark,
    val served: Boolean,
)

/** Sends sound requests for [time], and between them requests with a part that crashes back ends, to all entry daemons in turn. */
private suspend fun DirectSite.play(time: Duration): List<SoundRequest> {
    val sound = mutableListOf<SoundRequest>()
    val start = TimeSource.Monotonic.markNow()
    coroutineScope {
        var count = 0
        while (start.elapsedNow() < time) {
            val entry = count++ % ENTRIES
            launch {
                val sentAt = TimeSource.Monotonic.markNow()
                sound += SoundRequest(sentAt, request(entry, parts = listOf(SOUND))?.head?.status == 200)
            }
            if (count % 8 == 0) launch { request(entry, parts = listOf(SOUND, DEADLY)) }
            delay(30.milliseconds)
        }
    }
    return sound
}

class DeadlyPartTest :
    FunSpec({
        // Each crash was held against the back end alone, so requests with the part went on to the next one.
        test("requests with one part in common crash one back end after the other") {
            withSite(entries = ENTRIES, workers = 5) {
                crashOn(DEADLY)
                val sound = play(10.seconds)
                val crashes = workers.flatMap { it.crashes }.sortedByDescending { it.elapsedNow() }
                val detectedSince = (crashes.getOrNull(4) ?: crashes.last()).elapsedNow() - DETECTION_TIME
                workers.sumOf { worker -> worker.deadlyArrivals.count { it.elapsedNow() < detectedSince } } shouldBeLessThanOrEqual 3
                val later = sound.filter { it.sentAt.elapsedNow() < detectedSince - DETECTION_TIME }
                later.size shouldBeGreaterThanOrEqual 20
                later.count { it.served } shouldBeGreaterThanOrEqual later.size / 2
            }
        }
    })
