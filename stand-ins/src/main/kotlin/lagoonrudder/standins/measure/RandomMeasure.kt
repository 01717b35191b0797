/**
 * Long random runs of many entry daemons and target daemons in virtual time: text and orders under faults that come at any
 * moment, together or twice. Every invariant is asserted by the program itself and every answer is checked by its caller.
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
import lagoonrudder.standins.virtual.RandomFaults
import lagoonrudder.standins.virtual.VirtualOptions
import lagoonrudder.standins.virtual.VirtualSite
import lagoonrudder.standins.virtual.VirtualTarget
import lagoonrudder.standins.virtual.askText
import lagoonrudder.standins.virtual.sendOrder
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val places = listOf("ost", "west", "sued")
private val traits = EngineTraits(coldCapacity = 2, warmCapacity = 6, warmUp = 4.seconds, memoryTokens = 3_000, downTime = 1.seconds)
private const val CALLS_PER_SECOND = 60.0
private const val STEP_SECONDS = 2

/** What a random run saw. */
class RandomResult {
    val ends = mutableListOf<Reply>()
    val problems = mutableListOf<String>()
    var doubleRuns = 0
}

private fun objects(
    out: String?,
    version: String,
): ObjectSet =
    objectSet {
        places.forEachIndexed { index, name ->
            region(name, origin = index == 0)
            domain(name, service = if (name == out) AdminState.OUT else AdminState.IN)
        }
        repeat(4) { customer("customer-$it") }
        model("m")
        listOf("m-1", "m-2").forEach { version(it, "m") }
        engineFleet("workers", version, replaces = if (version == "m-1") "m-2" else "m-1")
        plainFleet("ledger")
        places.forEach { place ->
            repeat(2) { target("worker-$place-$it", "workers", place, requests = traits.warmCapacity, memoryTokens = traits.memoryTokens) }
            target("ledger-$place", "ledger", place, requests = 32)
        }
        route("text", "/v1/text", "workers", deadline = 4.seconds)
        route("fees", "/v1/fees", "ledger", deadline = 4.seconds, idempotent = false, priority = 2)
    }

/** Runs [steps] of faults drawn from [seed]; [build] may switch on a deliberate defect. */
fun runRandom(
    seed: Int,
    steps: Int,
    build: VirtualOptions.() -> Unit = {},
): RandomResult {
    val result = RandomResult()
    val seconds = steps * STEP_SECONDS
    val site =
        runVirtual(objects(null, "m-1"), (seconds + 20).seconds, {
            this.seed = seed
            engine = traits
            faults = RandomFaults(Random(seed), 0.03)
            build(this)
        }) {
            scope.launch { repeat(steps) { disturb(Random(seed * 1_000 + it)) } }
            arrivals(Random(seed), CALLS_PER_SECOND, seconds.seconds) { callAny(it, seed, result) }
        }
    result.problems += site.violations.map { "${it.invariant} ${it.detail}" }
    result.problems += result.ends.filterIsInstance<Reply.Wrong>().map { "wrong answer: ${it.detail}" }
    val runs =
        site.targets.values
            .flatMap { it.backEnd.runs.entries }
            .groupBy({ it.key }, { it.value })
    result.doubleRuns = runs.count { it.value.sum() > 1 }
    if (result.doubleRuns > 0) result.problems += "double runs: ${result.doubleRuns}"
    return result
}

fun measureRandom(options: MeasureOptions): Verdict {
    val seed = options.int("seed", 1)
    val steps = options.int("steps", 60)
    val runs = options.int("runs", 1)
    val results = (seed until seed + runs).map { one -> runRandom(one, steps).also { println("seed=$one ${lineOf(listOf(it))}") } }
    results.flatMap { it.problems }.take(10).forEach { println("problem: $it") }
    return Verdict("seed=$seed steps=$steps runs=$runs ${lineOf(results)}", results.all { it.problems.isEmpty() })
}

private fun lineOf(results: List<RandomResult>): String {
    val ends = results.flatMap { it.ends }
    return figures {
        add("calls", ends.size)
        add("whole", ends.count { it is Reply.Complete })
        add("not-run", ends.count { it is Reply.NotRun })
        add("unknown", ends.count { it is Reply.Unknown })
        add("broken", ends.count { it is Reply.Broken })
        add("problems", results.sumOf { it.problems.size })
    }
}

private suspend fun VirtualSite.callAny(
    number: Int,
    seed: Int,
    result: RandomResult,
) {
    val random = Random(seed * 1_000_003 + number)
    val entry = entries.random(random)
    val token = "token-customer-${random.nextInt(4)}"
    result.ends +=
        if (random.nextInt(4) == 0) {
            val key = IdempotencyKey(uuidV7At(clock.now().toEpochMilliseconds(), random))
            sendOrder(entry, "/v1/fees", token, key, "order-$number", 8.seconds)
        } else {
            val pause = if (random.nextInt(20) == 0) random.nextInt(400).milliseconds else Duration.ZERO
            askText(entry, TextCall("/v1/text", token, "prompt $number", random.nextInt(1, 60), 30.seconds, pause))
        }
}

/** One step of [STEP_SECONDS] with a fault that is healed at its end or later. */
private suspend fun VirtualSite.disturb(random: Random) {
    val target = targets.values.random(random)
    when (random.nextInt(9)) {
        0 -> target.backEnd.restart()
        1 -> replaceTarget(target.id)
        2 -> publish(objects(places.random(random), versionOf(random)))
        3 -> publish(objects(null, versionOf(random)))
        4 -> publishToSome(random)
        5 -> silence(target, random)
        6 -> cut(target, random)
        7 -> changeVersionUnasked(target, random)
        else -> target.backEnd.losesNextAnswer = true
    }
    delay(STEP_SECONDS.seconds)
}

private fun versionOf(random: Random) = if (random.nextBoolean()) "m-1" else "m-2"

private suspend fun VirtualSite.publishToSome(random: Random) {
    publish(objects(null, versionOf(random))) { it.hashCode() % 2 == 0 }
    delay(random.nextInt(1_500).milliseconds)
    heal()
}

private fun VirtualSite.silence(
    target: VirtualTarget,
    random: Random,
) {
    target.backEnd.silent = true
    scope.launch {
        delay(random.nextInt(5_000).milliseconds)
        target.backEnd.silent = false
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
