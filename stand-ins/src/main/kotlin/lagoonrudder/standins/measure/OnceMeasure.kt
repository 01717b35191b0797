/**
 * Measures whether orders that must be executed at most once are, in virtual time and with faults at every step: lost, delayed, aborted
 * and mismatched exchanges, retries through other entry daemons, restarts of the owners of keys, and failure domains that are taken out
 * of service and returned.
 */
package lagoonrudder.standins.measure

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lagoonrudder.model.AdminState
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.TargetId
import lagoonrudder.model.objectSet
import lagoonrudder.standins.Reply
import lagoonrudder.standins.uuidV7At
import lagoonrudder.standins.virtual.RandomFaultInjector
import lagoonrudder.standins.virtual.VirtualOptions
import lagoonrudder.standins.virtual.VirtualSite
import lagoonrudder.standins.virtual.sendOrder
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val ORDERS_PER_SECOND = 40.0
private const val FAULT_SHARE = 0.15
private const val MAX_ATTEMPTS = 3
private val domains = listOf("ost", "west", "sued")

/** The outcomes of the orders of a run, by order. */
class AtMostOnceResult {
    val responses = mutableMapOf<String, MutableList<Reply>>()
    var doubleRuns = 0
    var falseNotRuns = 0
    var wrong = 0
    var violations = 0

    fun count(which: (Reply) -> Boolean): Int = responses.values.sumOf { orderResponses -> orderResponses.count(which) }
}

/** The configuration of the measurement, with the failure domain [out] taken out of service. */
private fun objects(out: String?): ObjectSet =
    objectSet {
        domains.forEachIndexed { index, name ->
            region(name, origin = index == 0)
            domain(name, service = if (name == out) AdminState.OUT else AdminState.IN)
        }
        customer("farm")
        plainFleet("ledger")
        domains.forEach { target("ledger-$it", "ledger", it, requests = 64) }
        route("fees", "/v1/fees", "ledger", deadline = 4.seconds, idempotent = false)
    }

/** Sends orders for [seconds] of virtual time with faults derived from [seed]; [build] may inject a deliberate defect. */
fun runAtMostOnce(
    seed: Int,
    seconds: Int,
    faultShare: Double = FAULT_SHARE,
    build: VirtualOptions.() -> Unit = {},
): AtMostOnceResult {
    val run = AtMostOnceResult()
    val random = Random(seed)
    val site =
        runSimulation(objects(null), (seconds + 20).seconds, {
            this.seed = seed
            faults = RandomFaultInjector(Random(seed), faultShare)
            build(this)
        }) {
            scope.launch { injectFaults(random, seconds) }
            poissonArrivals(Random(seed + 1), ORDERS_PER_SECOND, seconds.seconds) { sendWithRetries(it, seed, run) }
        }
    evaluate(site, run)
    return run
}

fun measureAtMostOnce(options: MeasureOptions): Verdict {
    val seed = options.int("seed", 1)
    val runs = options.int("runs", 10)
    val seconds = options.int("seconds", 260)
    val results = (seed until seed + runs).map { runAtMostOnce(it, seconds).also { run -> println("seed=$it ${lineOf(listOf(run))}") } }
    val passed = results.all { it.doubleRuns == 0 && it.falseNotRuns == 0 && it.wrong == 0 && it.violations == 0 }
    return Verdict("seed=$seed runs=$runs ${lineOf(results)}", passed)
}

private fun lineOf(results: List<AtMostOnceResult>): String =
    figures {
        add("orders", results.sumOf { it.responses.size })
        add("calls", results.sumOf { run -> run.count { true } })
        add("done", results.sumOf { run -> run.count { it is Reply.Complete } })
        add("not-run", results.sumOf { run -> run.count { it is Reply.NotRun } })
        for ((code, count) in refusalCodes(results)) add("not-run-$code", count)
        add("unknown", results.sumOf { run -> run.count { it is Reply.Unknown } })
        add("broken", results.sumOf { run -> run.count { it is Reply.Broken } })
        add("wrong", results.sumOf { it.wrong })
        add("double-runs", results.sumOf { it.doubleRuns })
        add("false-not-runs", results.sumOf { it.falseNotRuns })
        add("violations", results.sumOf { it.violations })
    }

private fun refusalCodes(results: List<AtMostOnceResult>): Map<String, Int> =
    results
        .flatMap { it.responses.values.flatten() }
        .filterIsInstance<Reply.NotRun>()
        .groupingBy { it.code }
        .eachCount()

/** Sends one order up to [MAX_ATTEMPTS] times with the same key, each time through a randomly chosen entry daemon. */
private suspend fun VirtualSite.sendWithRetries(
    number: Int,
    seed: Int,
    run: AtMostOnceResult,
) {
    val random = Random(seed * 100_003 + number)
    val key = IdempotencyKey(uuidV7At(clock.now().toEpochMilliseconds() - random.nextLong(50), random))
    val body = "order-$number"
    val orderResponses = run.responses.getOrPut(body) { mutableListOf() }
    repeat(1 + random.nextInt(MAX_ATTEMPTS)) {
        val executionsBefore = executionsOf(body)
        val response = sendOrder(entries.random(random), "/v1/fees", "token-farm", key, body, 8.seconds)
        orderResponses += response
        if (response is Reply.NotRun && orderResponses.size == 1) checkNotRun(body, executionsBefore, run)
        delay(random.nextInt(800).milliseconds)
    }
}

/** Checks that an order whose first call was refused as not run is not executed by that call, also not within 6 seconds after. */
private suspend fun VirtualSite.checkNotRun(
    body: String,
    executionsBefore: Int,
    run: AtMostOnceResult,
) {
    delay(6.seconds)
    if (executionsOf(body) > executionsBefore) run.falseNotRuns++
}

private fun VirtualSite.executionsOf(body: String): Int = targets.values.sumOf { it.backEnd.runs[body] ?: 0 }

private fun evaluate(
    site: VirtualSite,
    run: AtMostOnceResult,
) {
    run.doubleRuns = run.responses.keys.count { site.executionsOf(it) > 1 }
    run.wrong = run.count { it is Reply.Wrong }
    run.violations = site.violations.size
    site.violations.take(3).forEach { println("violation: $it") }
}

/** Takes failure domains out of service and back, restarts target daemons, drops responses and delays configurations. */
private suspend fun VirtualSite.injectFaults(
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

/** Publishes a configuration that a random half of the daemons receive up to 3 seconds late, which is within the time allowed. */
private suspend fun VirtualSite.publishLate(random: Random) {
    val delayed = (targets.keys.map { it.text } + entries.map { it.name.text }).filter { random.nextBoolean() }.toSet()
    publish(objects(domains.random(random))) { it !in delayed }
    delay(random.nextInt(3_000).milliseconds)
    deliverToAll()
}
