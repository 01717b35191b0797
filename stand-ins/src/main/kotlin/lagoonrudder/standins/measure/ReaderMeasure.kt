/**
 * Memory held for slow readers, in virtual time, and what they cost those who read fast, beside unbounded buffers.
 */
package lagoonrudder.standins.measure

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lagoonrudder.control.LimitPolicy
import lagoonrudder.control.ReaderMemoryPolicy
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.objectSet
import lagoonrudder.standins.CallEnd
import lagoonrudder.standins.EngineTraits
import lagoonrudder.standins.TextCall
import lagoonrudder.standins.percentile
import lagoonrudder.standins.virtual.VirtualSite
import lagoonrudder.standins.virtual.fetchText
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val BUDGET_BYTES = 1_500_000L
private const val LEAST_FAST_WHOLE = 0.99
private const val WINDOW_BYTES = 8_192L
private const val SLOW_TOKENS = 2_500
private const val FAST_TOKENS = 16
private const val FAST_PER_SECOND = 20.0
private const val MOST_SLOWDOWN = 1.1
private val readPause = 30.milliseconds
private val length = 30.seconds
private val traits = EngineTraits(coldRequests = 600, warmRequests = 600, memoryTokens = 10_000_000)

private class Held(
    var most: Long = 0,
    val slow: MutableList<CallEnd> = mutableListOf(),
    val fast: MutableList<CallEnd> = mutableListOf(),
    var violations: Int = 0,
) {
    val fastWhole: Double get() = fast.count { it is CallEnd.Whole }.toDouble() / fast.size.coerceAtLeast(1)
    val fastP95: Duration get() = percentile(fast.filterIsInstance<CallEnd.Whole>().map { it.firstByte }, 0.95)
}

private fun objects(): ObjectSet =
    objectSet {
        region("ost", origin = true)
        domain("ost")
        customer("slow")
        customer("fast")
        model("m")
        version("m-1", "m")
        engineFleet("workers", "m-1")
        repeat(4) { target("worker-$it", "workers", "ost", requests = traits.warmRequests, memoryTokens = traits.memoryTokens) }
        route("text", "/v1/text", "workers", deadline = 30.seconds)
    }

fun measureReaders(options: MeasureOptions): Verdict {
    val seed = options.int("seed", 1)
    val windowed = ReaderMemoryPolicy.Windowed(window = WINDOW_BYTES, budget = BUDGET_BYTES)
    val without = observe(0, windowed, seed)
    val bounded = listOf(10, 100, 1_000).associateWith { observe(it, windowed, seed) }
    val unbounded = observe(1_000, ReaderMemoryPolicy.Unbounded, seed)
    bounded.forEach { (readers, held) -> println("policy=windowed ${lineOf(readers, held)}") }
    println("policy=unbounded ${lineOf(1_000, unbounded)}")
    val slowdown = bounded.values.maxOf { it.fastP95 / without.fastP95 }
    val passed =
        bounded.values.all { it.most <= BUDGET_BYTES && it.violations == 0 && it.slow.none { end -> end is CallEnd.Wrong } } &&
            slowdown <= MOST_SLOWDOWN &&
            bounded.values.all { it.fastWhole >= LEAST_FAST_WHOLE }
    val line =
        figures {
            add("seed", seed)
            add("budget-bytes", BUDGET_BYTES)
            bounded.forEach { (readers, held) -> add("held-$readers-bytes", held.most) }
            add("held-1000-unbounded-bytes", unbounded.most)
            add("fast-slowdown", slowdown)
        }
    return Verdict(line, passed)
}

private fun lineOf(
    readers: Int,
    held: Held,
): String =
    figures {
        add("slow-readers", readers)
        add("most-held-bytes-of-an-entry", held.most)
        add("slow-whole", held.slow.count { it is CallEnd.Whole })
        add("slow-refused", held.slow.count { it is CallEnd.NotRun })
        add("slow-broken", held.slow.count { it is CallEnd.Broken })
        add("slow-wrong", held.slow.count { it is CallEnd.Wrong })
        add("fast-calls", held.fast.size)
        add("fast-whole", held.fastWhole)
        add("fast-first-p95", held.fastP95)
        add("violations", held.violations)
    }

private fun observe(
    readers: Int,
    policy: ReaderMemoryPolicy,
    seed: Int,
): Held {
    val held = Held()
    val site =
        runSimulation(objects(), 120.seconds, {
            this.seed = seed
            engine = traits
            this.responseBuffers = policy
            concurrencyLimit = LimitPolicy.Fixed
            entriesEach = 4
        }) {
            repeat(readers) { number -> scope.launch { held.slow += read(number, "slow", SLOW_TOKENS, readPause) } }
            scope.launch { watch(held) }
            poissonArrivals(Random(seed), FAST_PER_SECOND, length) { held.fast += read(it, "fast", FAST_TOKENS, Duration.ZERO) }
        }
    held.violations = site.violations.size
    return held
}

private suspend fun VirtualSite.read(
    number: Int,
    customer: String,
    tokens: Int,
    pause: Duration,
): CallEnd = fetchText(entries[number % entries.size], TextCall("/v1/text", "token-$customer", "prompt $number", tokens, 110.seconds, pause))

private suspend fun VirtualSite.watch(held: Held) {
    while (clock.elapsed() < 110.seconds) {
        held.most = maxOf(held.most, entries.maxOf { it.control.readers.held() })
        delay(100.milliseconds)
    }
}
