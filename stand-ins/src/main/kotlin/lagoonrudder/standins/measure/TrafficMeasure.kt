/**
 * Measures goodput and latency of the request path in virtual time, for each workload and case, compared with baseline policies.
 */
package lagoonrudder.standins.measure

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lagoonrudder.control.LimitPolicy
import lagoonrudder.control.LoadBalancingPolicy
import lagoonrudder.control.QueuePolicy
import lagoonrudder.control.ResponseBufferPolicy
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.objectSet
import lagoonrudder.standins.EngineTraits
import lagoonrudder.standins.Reply
import lagoonrudder.standins.TextCall
import lagoonrudder.standins.percentile
import lagoonrudder.standins.virtual.VirtualOptions
import lagoonrudder.standins.virtual.VirtualSite
import lagoonrudder.standins.virtual.fetchText
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A named workload: the size of its requests and the deadline of its responses. */
private data class Workload(
    val name: String,
    val promptCharacters: Int,
    val tokens: IntRange,
    val deadline: Duration,
)

private val morning = Workload("morning", 80, 8..24, 2.seconds)
private val evening = Workload("evening", 2_000, 80..160, 6.seconds)

/** What happens during a run, and the offered load in multiples of the capacity of the warm engines. */
private sealed class Case {
    abstract val name: String
    abstract val load: Double

    data object Overload : Case() {
        override val name = "overload"
        override val load = 3.0
    }

    /** All engines restart cold without notice under normal load. */
    data object ColdStart : Case() {
        override val name = "cold-start"
        override val load = 0.7
    }

    /** One customer sends [BURST_FACTOR] times its share. */
    data object Burst : Case() {
        override val name = "burst"
        override val load = 0.5
    }
}

private data class PolicySet(
    val name: String,
    val build: VirtualOptions.() -> Unit,
)

private val production = PolicySet("own") { }
private val baseline =
    PolicySet("baseline") {
        loadBalancing = LoadBalancingPolicy.RoundRobin
        concurrencyLimit = LimitPolicy.Fixed
        queue = QueuePolicy.ArrivalOrder
        responseBuffers = ResponseBufferPolicy.Unbounded
    }

private const val WORKERS = 8
private const val CUSTOMERS = 10
private const val BURST_FACTOR = 10
private val traits = EngineTraits(coldCapacity = 2, warmCapacity = 8, warmUp = 6.seconds, memoryTokens = 20_000)
private val warmUp = 5.seconds
private val duration = 15.seconds

private fun objects(workload: Workload): ObjectSet =
    objectSet {
        listOf("ost", "west", "sued").forEachIndexed { index, name ->
            region(name, origin = index == 0)
            domain(name)
        }
        link("ost", "west", LINK_BYTES)
        link("ost", "sued", LINK_BYTES)
        link("west", "sued", LINK_BYTES)
        repeat(CUSTOMERS) { customer("customer-$it", weight = if (it == 0) 2 else 1) }
        model("m")
        version("m-1", "m")
        engineFleet("workers", "m-1")
        val domains = listOf("ost", "west", "sued")
        repeat(WORKERS) {
            target("worker-$it", "workers", domains[it % 3], requests = traits.warmCapacity, memoryTokens = traits.memoryTokens)
        }
        route("text", "/v1/text", "workers", deadline = workload.deadline)
        route("jury", "/v1/jury", "workers", deadline = workload.deadline, priority = 3)
    }

private const val LINK_BYTES = 2_250_000L

/** The calls of a run, with their customers and responses. */
private class CallLog {
    class CallRecord(
        val customer: Int,
        val jury: Boolean,
        val response: Reply,
    )

    val calls = mutableListOf<CallRecord>()

    fun inTime(
        deadline: Duration,
        which: (CallRecord) -> Boolean = { true },
    ): Int = calls.count { which(it) && (it.response as? Reply.Complete)?.let { done -> done.total <= deadline } == true }
}

fun measureTraffic(options: MeasureOptions): Verdict {
    val seed = options.int("seed", 1)
    val summary = Figures()
    var passed = true
    for (workload in listOf(morning, evening)) {
        for (case in listOf(Case.Overload, Case.ColdStart, Case.Burst)) {
            val results = listOf(production, baseline).associateWith { runCase(workload, case, it, seed) }
            val productionShare = results.getValue(production)
            val baselineShare = results.getValue(baseline)
            summary.add("${workload.name}-${case.name}", productionShare)
            summary.add("${workload.name}-${case.name}-baseline", baselineShare)
            passed = passed && meetsTarget(case, productionShare, baselineShare)
        }
    }
    return Verdict("seed=$seed $summary", passed)
}

/** Whether [production] meets the threshold: 90% of capacity under overload, and at least twice the baseline in the other cases. */
private fun meetsTarget(
    case: Case,
    production: Double,
    baseline: Double,
): Boolean =
    when (case) {
        Case.Overload -> production >= 0.9
        Case.ColdStart, Case.Burst -> production >= 2 * baseline
    }

/**
 * Runs one case and returns its goodput share: requests completed in time, as a share of capacity under overload, and otherwise as a
 * share of the requests that the case should not affect.
 */
private fun runCase(
    workload: Workload,
    case: Case,
    policies: PolicySet,
    seed: Int,
): Double {
    val log = CallLog()
    val capacity = capacityOf(workload)
    val site =
        runSimulation(objects(workload), warmUp + duration + 10.seconds, {
            this.seed = seed
            engine = traits
            policies.build(this)
        }) { script(workload, case, capacity, seed, log) }
    val seconds = duration.toDouble(DurationUnit.SECONDS)
    val done = log.calls.mapNotNull { it.response as? Reply.Complete }
    val others = { record: CallLog.CallRecord -> case !is Case.Burst || record.customer != 0 }
    val share =
        when (case) {
            Case.Overload -> log.inTime(workload.deadline) / seconds / capacity
            Case.ColdStart, Case.Burst ->
                log.inTime(workload.deadline, others).toDouble() /
                    log.calls.count(others).coerceAtLeast(1)
        }
    println(
        figures {
            add("workload", workload.name)
            add("case", case.name)
            add("policy", policies.name)
            add("calls", log.calls.size)
            add("goodput-share", share)
            add("goodput-per-second", log.inTime(workload.deadline) / seconds)
            add("capacity-per-second", capacity)
            listOf(0.5, 0.95, 0.99).forEach { add("first-p${(it * 100).toInt()}", percentile(done.map { call -> call.firstByte }, it)) }
            listOf(0.5, 0.95, 0.99).forEach { add("token-p${(it * 100).toInt()}", percentile(done.flatMap { call -> call.gaps }, it)) }
            addRefusals("not-run", log.calls)
            addRefusals("others-not-run", log.calls.filter(others))
            val refusalTimes = log.calls.filter(others).mapNotNull { (it.response as? Reply.NotRun)?.total }
            add("others-refused-after-p50", percentile(refusalTimes, 0.5))
            add("others-refused-after-p95", percentile(refusalTimes, 0.95))
            add("others-late", log.calls.count { others(it) && it.response is Reply.Complete } - log.inTime(workload.deadline, others))
            add("broken", log.calls.count { it.response is Reply.Broken })
            add("wrong", log.calls.count { it.response is Reply.Wrong })
            add("jury-in-time", juryShare(log, workload))
            add("falls", site.targets.values.sumOf { it.backEnd.crashes })
            add("violations", site.violations.size)
        },
    )
    site.violations.take(3).forEach { println("violation: $it") }
    return share
}

private fun Figures.addRefusals(
    name: String,
    calls: List<CallLog.CallRecord>,
) {
    val codes = calls.mapNotNull { (it.response as? Reply.NotRun)?.code }
    for ((code, count) in codes.groupingBy { it }.eachCount()) add("$name-$code", count)
}

private fun juryShare(
    log: CallLog,
    workload: Workload,
): Double {
    val jury = log.calls.count { it.jury && it.customer != 0 }
    return log.inTime(workload.deadline) { it.jury && it.customer != 0 }.toDouble() / jury.coerceAtLeast(1)
}

/** The requests per second that all warm engines together process without slowing down. */
private fun capacityOf(workload: Workload): Double {
    val tokens = (workload.tokens.first + workload.tokens.last) / 2.0
    val timePerRequest = traits.firstTokenDelay + traits.tokenInterval * tokens
    return WORKERS * traits.warmCapacity / timePerRequest.toDouble(DurationUnit.SECONDS)
}

private suspend fun VirtualSite.script(
    workload: Workload,
    case: Case,
    capacity: Double,
    seed: Int,
    log: CallLog,
) {
    val endTime = warmUp + duration
    scope.launch { poissonArrivals(Random(seed), capacity * case.load, endTime) { call(workload, it, it % CUSTOMERS, log) } }
    delay(warmUp)
    when (case) {
        Case.Overload -> Unit
        Case.ColdStart -> targets.values.forEach { it.backEnd.restart() }
        Case.Burst ->
            poissonArrivals(
                Random(seed + 1),
                capacity * case.load / CUSTOMERS * BURST_FACTOR * BURST_FACTOR,
                endTime,
            ) { call(workload, it, 0, log) }
    }
}

private suspend fun VirtualSite.call(
    workload: Workload,
    number: Int,
    customer: Int,
    log: CallLog,
) {
    val random = Random(number)
    val jury = number % 7 == 0
    val prompt = "$number ".padEnd(workload.promptCharacters, 'x')
    val call =
        TextCall(
            path = if (jury) "/v1/jury" else "/v1/text",
            token = "token-customer-$customer",
            prompt = prompt,
            tokens = random.nextInt(workload.tokens.first, workload.tokens.last + 1),
            limit = workload.deadline * 3,
        )
    val startedAt = clock.elapsed()
    val response = fetchText(entries[random.nextInt(entries.size)], call)
    if (startedAt >= warmUp) log.calls += CallLog.CallRecord(customer, jury, response)
}
