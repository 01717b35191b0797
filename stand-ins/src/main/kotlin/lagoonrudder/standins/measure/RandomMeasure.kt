/**
 * Long random runs of many entry daemons and target daemons in virtual time: text and orders under faults that come at any
 * moment, together or twice. Every invariant is asserted by the program itself and every answer is checked by its caller.
 */
package lagoonrudder.standins.measure

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.RepeatKey
import lagoonrudder.model.Service
import lagoonrudder.model.VersionId
import lagoonrudder.model.objectSet
import lagoonrudder.standins.CallEnd
import lagoonrudder.standins.EngineTraits
import lagoonrudder.standins.TextCall
import lagoonrudder.standins.keyIssuedAt
import lagoonrudder.standins.virtual.RandomFaultInjector
import lagoonrudder.standins.virtual.VirtualOptions
import lagoonrudder.standins.virtual.VirtualSite
import lagoonrudder.standins.virtual.VirtualTarget
import lagoonrudder.standins.virtual.fetchText
import lagoonrudder.standins.virtual.sendOrder
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val places = listOf("ost", "west", "sued")
private val traits = EngineTraits(coldRequests = 2, warmRequests = 6, warmUp = 4.seconds, memoryTokens = 3_000, downTime = 1.seconds)
private const val CALLS_PER_SECOND = 60.0
private const val STEP_SECONDS = 2

/** What a random run saw. */
class RandomRunResult {
    val responses = mutableListOf<CallEnd>()
    val failures = mutableListOf<String>()
    var doubleRuns = 0
}

private fun objects(
    out: String?,
    version: String,
): ObjectSet =
    objectSet {
        places.forEachIndexed { index, name ->
            region(name, origin = index == 0)
            domain(name, service = if (name == out) Service.OUT else Service.IN)
        }
        repeat(4) { customer("customer-$it") }
        model("m")
        listOf("m-1", "m-2").forEach { version(it, "m") }
        engineFleet("workers", version, replaces = if (version == "m-1") "m-2" else "m-1")
        plainFleet("ledger")
        places.forEach { place ->
            repeat(2) { target("worker-$place-$it", "workers", place, requests = traits.warmRequests, memoryTokens = traits.memoryTokens) }
            target("ledger-$place", "ledger", place, requests = 32)
        }
        route("text", "/v1/text", "workers", deadline = 4.seconds)
        route("fees", "/v1/fees", "ledger", deadline = 4.seconds, idempotent = false, priority = 2)
    }

/** Runs [steps] of faults drawn from [seed]; [build] may switch on a deliberate defect. */
fun runRandomFaults(
    seed: Int,
    steps: Int,
    build: VirtualOptions.() -> Unit = {},
): RandomRunResult {
    val result = RandomRunResult()
    val seconds = steps * STEP_SECONDS
    val site =
        runSimulation(objects(null, "m-1"), (seconds + 20).seconds, {
            this.seed = seed
            engine = traits
            faults = RandomFaultInjector(Random(seed), 0.03)
            build(this)
        }) {
            scope.launch { repeat(steps) { disturb(Random(seed * 1_000 + it)) } }
            poissonArrivals(Random(seed), CALLS_PER_SECOND, seconds.seconds) { callAny(it, seed, result) }
        }
    result.failures += site.violations.map { "${it.invariant} ${it.detail}" }
    result.failures += result.responses.filterIsInstance<CallEnd.Wrong>().map { "wrong answer: ${it.detail}" }
    val runs =
        site.targets.values
            .flatMap { it.backEnd.runs.entries }
            .groupBy({ it.key }, { it.value })
    result.doubleRuns = runs.count { it.value.sum() > 1 }
    if (result.doubleRuns > 0) result.failures += "double runs: ${result.doubleRuns}"
    return result
}

fun measureRandom(options: MeasureOptions): Verdict {
    val seed = options.int("seed", 1)
    val steps = options.int("steps", 60)
    val runs = options.int("runs", 1)
    val results = (seed until seed + runs).map { one -> runRandomFaults(one, steps).also { println("seed=$one ${lineOf(listOf(it))}") } }
    results.flatMap { it.failures }.take(10).forEach { println("problem: $it") }
    return Verdict("seed=$seed steps=$steps runs=$runs ${lineOf(results)}", results.all { it.failures.isEmpty() })
}

private fun lineOf(results: List<RandomRunResult>): String {
    val responses = results.flatMap { it.responses }
    return figures {
        add("calls", responses.size)
        add("whole", responses.count { it is CallEnd.Whole })
        add("not-run", responses.count { it is CallEnd.NotRun })
        add("unknown", responses.count { it is CallEnd.Unknown })
        add("broken", responses.count { it is CallEnd.Broken })
        add("problems", results.sumOf { it.failures.size })
    }
}

private suspend fun VirtualSite.callAny(
    number: Int,
    seed: Int,
    result: RandomRunResult,
) {
    val random = Random(seed * 1_000_003 + number)
    val entry = entries.random(random)
    val token = "token-customer-${random.nextInt(4)}"
    result.responses +=
        if (random.nextInt(4) == 0) {
            val key = RepeatKey(keyIssuedAt(clock.now().toEpochMilliseconds(), random))
            sendOrder(entry, "/v1/fees", token, key, "order-$number", 8.seconds)
        } else {
            val pause = if (random.nextInt(20) == 0) random.nextInt(400).milliseconds else Duration.ZERO
            fetchText(entry, TextCall("/v1/text", token, "prompt $number", random.nextInt(1, 60), 30.seconds, pause))
        }
}

/** One step of [STEP_SECONDS] with a fault that is healed at its end or later. */
private suspend fun VirtualSite.disturb(random: Random) {
    val target = targets.values.random(random)
    when (random.nextInt(9)) {
        0 -> target.backEnd.restart()
        1 -> restartTargetDaemon(target.id)
        2 -> publish(objects(places.random(random), versionOf(random)))
        3 -> publish(objects(null, versionOf(random)))
        4 -> publishToSome(random)
        5 -> silence(target, random)
        6 -> cut(target, random)
        7 -> changeVersionUnasked(target, random)
        else -> target.backEnd.dropNextResponse = true
    }
    delay(STEP_SECONDS.seconds)
}

private fun versionOf(random: Random) = if (random.nextBoolean()) "m-1" else "m-2"

private suspend fun VirtualSite.publishToSome(random: Random) {
    publish(objects(null, versionOf(random))) { it.hashCode() % 2 == 0 }
    delay(random.nextInt(1_500).milliseconds)
    deliverToAll()
}

private fun VirtualSite.silence(
    target: VirtualTarget,
    random: Random,
) {
    target.backEnd.stalled = true
    scope.launch {
        delay(random.nextInt(5_000).milliseconds)
        target.backEnd.stalled = false
    }
}

private fun VirtualSite.cut(
    target: VirtualTarget,
    random: Random,
) {
    target.reachable = false
    scope.launch {
        delay(random.nextInt(6_000).milliseconds)
        target.reachable = true
    }
}

/** An old order takes effect, or the engine loads by itself. */
private fun changeVersionUnasked(
    target: VirtualTarget,
    random: Random,
) = target.backEnd.serve(VersionId(versionOf(random)))
