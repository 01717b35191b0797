/**
 * Orders that may run at most once, in virtual time, with a fault at every step: lost, late, broken and crossed exchanges,
 * repeats through other entry daemons, owners that are replaced, and failure domains that leave and return.
 */
package lagoonrudder.standins.measure

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.RepeatKey
import lagoonrudder.model.Service
import lagoonrudder.model.TargetId
import lagoonrudder.model.objectSet
import lagoonrudder.standins.CallEnd
import lagoonrudder.standins.keyIssuedAt
import lagoonrudder.standins.virtual.RandomFaultInjector
import lagoonrudder.standins.virtual.VirtualOptions
import lagoonrudder.standins.virtual.VirtualSite
import lagoonrudder.standins.virtual.sendOrder
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val ORDERS_PER_SECOND = 40.0
private const val FAULT_SHARE = 0.15
private const val MOST_REPEATS = 3
private val domains = listOf("ost", "west", "sued")

/** What became of the orders of a run. */
class AtMostOnceResult {
    val tries = mutableMapOf<String, MutableList<CallEnd>>()
    var doubleRuns = 0
    var falseNotRuns = 0
    var wrong = 0
    var violations = 0

    fun count(which: (CallEnd) -> Boolean): Int = tries.values.sumOf { ends -> ends.count(which) }
}

/** The objects of the measurement, with [out] taken out of service. */
private fun objects(out: String?): ObjectSet =
    objectSet {
        domains.forEachIndexed { index, name ->
            region(name, origin = index == 0)
            domain(name, service = if (name == out) Service.OUT else Service.IN)
        }
        customer("farm")
        plainFleet("ledger")
        domains.forEach { target("ledger-$it", "ledger", it, requests = 64) }
        route("fees", "/v1/fees", "ledger", deadline = 4.seconds, idempotent = false)
    }

/** Runs orders for [seconds] of virtual time with faults drawn from [seed]. */
fun runAtMostOnce(
    seed: Int,
    seconds: Int,
    faultShare: Double = FAULT_SHARE,
    build: VirtualOptions.() -> Unit = {},
): AtMostOnceResult {
    val result = AtMostOnceResult()
    val random = Random(seed)
    val site =
        runSimulation(objects(null), (seconds + 20).seconds, {
            this.seed = seed
            faults = RandomFaultInjector(Random(seed), faultShare)
            build(this)
        }) {
            scope.launch { disturb(random, seconds) }
            poissonArrivals(Random(seed + 1), ORDERS_PER_SECOND, seconds.seconds) { order(it, seed, result) }
        }
    judge(site, result)
    return result
}

fun measureAtMostOnce(options: MeasureOptions): Verdict {
    val seed = options.int("seed", 1)
    val runs = options.int("runs", 10)
    val seconds = options.int("seconds", 260)
    val results = (seed until seed + runs).map { runAtMostOnce(it, seconds).also { result -> println("seed=$it ${lineOf(listOf(result))}") } }
    val passed = results.all { it.doubleRuns == 0 && it.falseNotRuns == 0 && it.wrong == 0 && it.violations == 0 }
    return Verdict("seed=$seed runs=$runs ${lineOf(results)}", passed)
}

private fun lineOf(results: List<AtMostOnceResult>): String =
    figures {
        add("orders", results.sumOf { it.tries.size })
        add("calls", results.sumOf { result -> result.count { true } })
        add("done", results.sumOf { result -> result.count { it is CallEnd.Whole } })
        add("not-run", results.sumOf { result -> result.count { it is CallEnd.NotRun } })
        for ((code, count) in codes(results)) add("not-run-$code", count)
        add("unknown", results.sumOf { result -> result.count { it is CallEnd.Unknown } })
        add("broken", results.sumOf { result -> result.count { it is CallEnd.Broken } })
        add("wrong", results.sumOf { it.wrong })
        add("double-runs", results.sumOf { it.doubleRuns })
        add("false-not-runs", results.sumOf { it.falseNotRuns })
        add("violations", results.sumOf { it.violations })
    }

private fun codes(results: List<AtMostOnceResult>): Map<String, Int> =
    results
        .flatMap { it.tries.values.flatten() }
        .filterIsInstance<CallEnd.NotRun>()
        .groupingBy { it.code }
        .eachCount()

/** Sends one order and repeats it, through another entry daemon, until it is done or [MOST_REPEATS] are used up. */
private suspend fun VirtualSite.order(
    number: Int,
    seed: Int,
    result: AtMostOnceResult,
) {
    val random = Random(seed * 100_003 + number)
    val key = RepeatKey(keyIssuedAt(clock.now().toEpochMilliseconds() - random.nextLong(50), random))
    val body = "order-$number"
    val ends = result.tries.getOrPut(body) { mutableListOf() }
    repeat(1 + random.nextInt(MOST_REPEATS)) {
        val before = runsOf(body)
        val end = sendOrder(entries.random(random), "/v1/fees", "token-farm", key, body, 8.seconds)
        ends += end
        if (end is CallEnd.NotRun && ends.size == 1) checkNotRun(body, before, result)
        delay(random.nextInt(800).milliseconds)
    }
}

/** The first call of a key that was refused as not run must not have run when the refusal came, nor later. */
private suspend fun VirtualSite.checkNotRun(
    body: String,
    before: Int,
    result: AtMostOnceResult,
) {
    delay(6.seconds)
    if (runsOf(body) > before) result.falseNotRuns++
}

private fun VirtualSite.runsOf(body: String): Int = targets.values.sumOf { it.backEnd.runs[body] ?: 0 }

private fun judge(
    site: VirtualSite,
    result: AtMostOnceResult,
) {
    result.doubleRuns = result.tries.keys.count { site.runsOf(it) > 1 }
    result.wrong = result.count { it is CallEnd.Wrong }
    result.violations = site.violations.size
    site.violations.take(3).forEach { println("violation: $it") }
}

/** Takes failure domains out and back, replaces owners, loses answers and delays configurations. */
private suspend fun VirtualSite.disturb(
    random: Random,
    seconds: Int,
) {
    while (clock.elapsed() < seconds.seconds) {
        delay(random.nextInt(500, 4_000).milliseconds)
        when (random.nextInt(5)) {
            0 -> publish(objects(domains.random(random)))
            1 -> publish(objects(null))
            2 -> restartTargetDaemon(TargetId("ledger-${domains.random(random)}"))
            3 ->
                targets.values
                    .random(random)
                    .backEnd.dropNextResponse = true
            else -> publishLate(random)
        }
    }
}

/** A new set reaches each process with a delay of its own, within the time that the brief allows. */
private suspend fun VirtualSite.publishLate(random: Random) {
    val late = (targets.keys.map { it.text } + entries.map { it.name.text }).filter { random.nextBoolean() }.toSet()
    publish(objects(domains.random(random))) { it !in late }
    delay(random.nextInt(3_000).milliseconds)
    deliverToAll()
}
