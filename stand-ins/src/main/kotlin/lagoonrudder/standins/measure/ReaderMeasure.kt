/**
 * Measures, in virtual time, the memory that responses to slow readers hold and how much they slow down fast readers, compared with
 * unbounded buffers.
 */
package lagoonrudder.standins.measure

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lagoonrudder.control.LimitPolicy
import lagoonrudder.control.ResponseBufferPolicy
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.objectSet
import lagoonrudder.standins.EngineTraits
import lagoonrudder.standins.Reply
import lagoonrudder.standins.TextCall
import lagoonrudder.standins.percentile
import lagoonrudder.standins.virtual.VirtualSite
import lagoonrudder.standins.virtual.fetchText
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val BUDGET_BYTES = 1_500_000L
private const val MIN_FAST_COMPLETED_SHARE = 0.99
private const val WINDOW_BYTES = 8_192L
private const val SLOW_TOKENS = 2_500
private const val FAST_TOKENS = 16
private const val FAST_PER_SECOND = 20.0
private const val MAX_FAST_SLOWDOWN = 1.1
private val slowReadDelay = 30.milliseconds
private val duration = 30.seconds
private val traits = EngineTraits(coldCapacity = 600, warmCapacity = 600, memoryTokens = 10_000_000)

private class ReaderRun(
    var maxHeldBytes: Long = 0,
    val slow: MutableList<Reply> = mutableListOf(),
    val fast: MutableList<Reply> = mutableListOf(),
    var violations: Int = 0,
) {
    val fastCompletedShare: Double get() = fast.count { it is Reply.Complete }.toDouble() / fast.size.coerceAtLeast(1)
    val fastP95: Duration get() = percentile(fast.filterIsInstance<Reply.Complete>().map { it.firstByte }, 0.95)
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
        repeat(4) { target("worker-$it", "workers", "ost", requests = traits.warmCapacity, memoryTokens = traits.memoryTokens) }
        route("text", "/v1/text", "workers", deadline = 30.seconds)
    }

fun measureReaders(options: MeasureOptions): Verdict {
    val seed = options.int("seed", 1)
    val windowed = ResponseBufferPolicy.Windowed(window = WINDOW_BYTES, budget = BUDGET_BYTES)
    val withoutSlowReaders = observe(0, windowed, seed)
    val bounded = listOf(10, 100, 1_000).associateWith { observe(it, windowed, seed) }
    val unbounded = observe(1_000, ResponseBufferPolicy.Unbounded, seed)
    bounded.forEach { (readers, readerRun) -> println("policy=windowed ${lineOf(readers, readerRun)}") }
    println("policy=unbounded ${lineOf(1_000, unbounded)}")
    val slowdown = bounded.values.maxOf { it.fastP95 / withoutSlowReaders.fastP95 }
    val passed =
        bounded.values.all { it.maxHeldBytes <= BUDGET_BYTES && it.violations == 0 && it.slow.none { call -> call is Reply.Wrong } } &&
            slowdown <= MAX_FAST_SLOWDOWN &&
            bounded.values.all { it.fastCompletedShare >= MIN_FAST_COMPLETED_SHARE }
    val line =
        figures {
            add("seed", seed)
            add("budget-bytes", BUDGET_BYTES)
            bounded.forEach { (readers, readerRun) -> add("held-$readers-bytes", readerRun.maxHeldBytes) }
            add("held-1000-unbounded-bytes", unbounded.maxHeldBytes)
            add("fast-slowdown", slowdown)
        }
    return Verdict(line, passed)
}

private fun lineOf(
    readers: Int,
    readerRun: ReaderRun,
): String =
    figures {
        add("slow-readers", readers)
        add("most-held-bytes-of-an-entry", readerRun.maxHeldBytes)
        add("slow-whole", readerRun.slow.count { it is Reply.Complete })
        add("slow-refused", readerRun.slow.count { it is Reply.NotRun })
        add("slow-broken", readerRun.slow.count { it is Reply.Broken })
        add("slow-wrong", readerRun.slow.count { it is Reply.Wrong })
        add("fast-calls", readerRun.fast.size)
        add("fast-whole", readerRun.fastCompletedShare)
        add("fast-first-p95", readerRun.fastP95)
        add("violations", readerRun.violations)
    }

private fun observe(
    readers: Int,
    policy: ResponseBufferPolicy,
    seed: Int,
): ReaderRun {
    val readerRun = ReaderRun()
    val site =
        runSimulation(objects(), 120.seconds, {
            this.seed = seed
            engine = traits
            this.responseBuffers = policy
            concurrencyLimit = LimitPolicy.Fixed
            entriesPerDomain = 4
        }) {
            repeat(readers) { index -> scope.launch { readerRun.slow += fetchAs(index, "slow", SLOW_TOKENS, slowReadDelay) } }
            scope.launch { sampleHeldBytes(readerRun) }
            poissonArrivals(Random(seed), FAST_PER_SECOND, duration) { readerRun.fast += fetchAs(it, "fast", FAST_TOKENS, Duration.ZERO) }
        }
    readerRun.violations = site.violations.size
    return readerRun
}

private suspend fun VirtualSite.fetchAs(
    index: Int,
    customer: String,
    tokens: Int,
    pause: Duration,
): Reply = fetchText(entries[index % entries.size], TextCall("/v1/text", "token-$customer", "prompt $index", tokens, 110.seconds, pause))

private suspend fun VirtualSite.sampleHeldBytes(readerRun: ReaderRun) {
    while (clock.elapsed() < 110.seconds) {
        readerRun.maxHeldBytes = maxOf(readerRun.maxHeldBytes, entries.maxOf { it.control.readers.held() })
        delay(100.milliseconds)
    }
}
