/**
 * Randomized fault tests of a simulated site: requests for text and orders run while faults occur at any time, also several at once
 * and repeatedly. The production code asserts every invariant, and the caller verifies every response.
 */
package lagoonrudder.standins.measure

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lagoonrudder.model.AdminState
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.VersionId
import lagoonrudder.model.objectSet
import lagoonrudder.standins.EngineTraits
import lagoonrudder.standins.Reply
import lagoonrudder.standins.TextCall
import lagoonrudder.standins.uuidV7At
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

private val domainNames = listOf("ost", "west", "sued")
private val traits = EngineTraits(coldCapacity = 2, warmCapacity = 6, warmUp = 4.seconds, memoryTokens = 3_000, downTime = 1.seconds)
private const val CALLS_PER_SECOND = 60.0
private const val STEP_SECONDS = 2

/** The responses and the failures of a run under random faults. */
class RandomRunResult {
    val responses = mutableListOf<Reply>()
    val failures = mutableListOf<String>()
    var doubleRuns = 0
}

private fun objects(
    out: String?,
    version: String,
): ObjectSet =
    objectSet {
        domainNames.forEachIndexed { index, name ->
            region(name, origin = index == 0)
            domain(name, service = if (name == out) AdminState.OUT else AdminState.IN)
        }
        repeat(4) { customer("customer-$it") }
        model("m")
        listOf("m-1", "m-2").forEach { version(it, "m") }
        engineFleet("workers", version, replaces = if (version == "m-1") "m-2" else "m-1")
        plainFleet("ledger")
        domainNames.forEach { name ->
            repeat(2) { target("worker-$name-$it", "workers", name, requests = traits.warmCapacity, memoryTokens = traits.memoryTokens) }
            target("ledger-$name", "ledger", name, requests = 32)
        }
        route("text", "/v1/text", "workers", deadline = 4.seconds)
        route("fees", "/v1/fees", "ledger", deadline = 4.seconds, idempotent = false, priority = 2)
    }

/** Runs [steps] faults derived from [seed], one every [STEP_SECONDS]; [build] may inject a deliberate defect. */
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
            scope.launch { repeat(steps) { injectFault(Random(seed * 1_000 + it)) } }
            poissonArrivals(Random(seed), CALLS_PER_SECOND, seconds.seconds) { sendRandomRequest(it, seed, result) }
        }
    result.failures += site.violations.map { "${it.invariant} ${it.detail}" }
    result.failures += result.responses.filterIsInstance<Reply.Wrong>().map { "bad response: ${it.detail}" }
    val runs =
        site.targets.values
            .flatMap { it.backEnd.runs.entries }
            .groupBy({ it.key }, { it.value })
    result.doubleRuns = runs.count { it.value.sum() > 1 }
    if (result.doubleRuns > 0) result.failures += "executed more than once: ${result.doubleRuns}"
    return result
}

fun measureRandom(options: MeasureOptions): Verdict {
    val seed = options.int("seed", 1)
    val steps = options.int("steps", 60)
    val runs = options.int("runs", 1)
    val results = (seed until seed + runs).map { each -> runRandomFaults(each, steps).also { println("seed=$each ${lineOf(listOf(it))}") } }
    results.flatMap { it.failures }.take(10).forEach { println("problem: $it") }
    return Verdict("seed=$seed steps=$steps runs=$runs ${lineOf(results)}", results.all { it.failures.isEmpty() })
}

private fun lineOf(results: List<RandomRunResult>): String {
    val responses = results.flatMap { it.responses }
    return figures {
        add("calls", responses.size)
        add("whole", responses.count { it is Reply.Complete })
        add("not-run", responses.count { it is Reply.NotRun })
        add("unknown", responses.count { it is Reply.Unknown })
        add("broken", responses.count { it is Reply.Broken })
        add("problems", results.sumOf { it.failures.size })
    }
}

private suspend fun VirtualSite.sendRandomRequest(
    number: Int,
    seed: Int,
    result: RandomRunResult,
) {
    val random = Random(seed * 1_000_003 + number)
    val entry = entries.random(random)
    val token = "token-customer-${random.nextInt(4)}"
    result.responses +=
        if (random.nextInt(4) == 0) {
            val key = IdempotencyKey(uuidV7At(clock.now().toEpochMilliseconds(), random))
            sendOrder(entry, "/v1/fees", token, key, "order-$number", 8.seconds)
        } else {
            val pause = if (random.nextInt(20) == 0) random.nextInt(400).milliseconds else Duration.ZERO
            fetchText(entry, TextCall("/v1/text", token, "prompt $number", random.nextInt(1, 60), 30.seconds, pause))
        }
}

/** Injects one random fault and waits [STEP_SECONDS]; some faults are repaired after a random delay, also past the end of the step. */
private suspend fun VirtualSite.injectFault(random: Random) {
    val target = targets.values.random(random)
    when (random.nextInt(9)) {
        0 -> target.backEnd.restart()
        1 -> restartTargetDaemon(target.id)
        2 -> publish(objects(domainNames.random(random), randomVersion(random)))
        3 -> publish(objects(null, randomVersion(random)))
        4 -> publishPartially(random)
        5 -> stallTemporarily(target, random)
        6 -> disconnectTemporarily(target, random)
        7 -> changeVersionWithoutOrder(target, random)
        else -> target.backEnd.dropNextResponse = true
    }
    delay(STEP_SECONDS.seconds)
}

private fun randomVersion(random: Random) = if (random.nextBoolean()) "m-1" else "m-2"

private suspend fun VirtualSite.publishPartially(random: Random) {
    publish(objects(null, randomVersion(random))) { it.hashCode() % 2 == 0 }
    delay(random.nextInt(1_500).milliseconds)
    deliverToAll()
}

private fun VirtualSite.stallTemporarily(
    target: VirtualTarget,
    random: Random,
) {
    target.backEnd.stalled = true
    scope.launch {
        delay(random.nextInt(5_000).milliseconds)
        target.backEnd.stalled = false
    }
}

private fun VirtualSite.disconnectTemporarily(
    target: VirtualTarget,
    random: Random,
) {
    target.reachable = false
    scope.launch {
        delay(random.nextInt(6_000).milliseconds)
        target.reachable = true
    }
}

/** Simulates a late effect of an earlier order, or an engine that changes its version on its own. */
private fun changeVersionWithoutOrder(
    target: VirtualTarget,
    random: Random,
) = target.backEnd.serve(VersionId(randomVersion(random)))
