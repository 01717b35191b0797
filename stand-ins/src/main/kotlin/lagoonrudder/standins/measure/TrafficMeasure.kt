/**
 * Goodput and waits of the request path in virtual time, for each workload and case, beside the baseline policies.
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
import lagoonrudder.standins.virtual.askText
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A named workload: the size of its requests and the deadline of its answers. */
private data class Workload(
    val name: String,
    val promptCharacters: Int,
    val tokens: IntRange,
    val deadline: Duration,
)

private val morning = Workload("morning", 80, 8..24, 2.seconds)
private val evening = Workload("evening", 2_000, 80..160, 6.seconds)

/** What happens during a run, and the load in multiples of what the warm engines bear. */
private sealed class Case {
    abstract val name: String
    abstract val load: Double

    data object Overload : Case() {
        override val name = "overload"
        override val load = 3.0
    }

    /** Every engine starts anew without notice under an ordinary load. */
    data object ColdStart : Case() {
        override val name = "cold-start"
        override val load = 0.7
    }

    /** One customer sends ten times its share. */
    data object Burst : Case() {
        override val name = "burst"
        override val load = 0.5
    }
}

private data class PolicySet(
    val name: String,
    val build: VirtualOptions.() -> Unit,
)

private val own = PolicySet("own") { }
private val baseline =
    PolicySet("baseline") {
        loadBalancing = LoadBalancingPolicy.RoundRobin
        limit = LimitPolicy.Fixed
        queue = QueuePolicy.ArrivalOrder
        readers = ResponseBufferPolicy.Unbounded
    }

private const val WORKERS = 8
private const val CUSTOMERS = 10
private const val BURST_FACTOR = 10
private val traits = EngineTraits(coldCapacity = 2, warmCapacity = 8, warmUp = 6.seconds, memoryTokens = 20_000)
private val warmUp = 5.seconds
private val length = 15.seconds

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

/** Calls and their ends, with the number of the customer. */
private class Observed {
    class One(
        val customer: Int,
        val jury: Boolean,
        val end: Reply,
    )

    val calls = mutableListOf<One>()

    fun inTime(
        deadline: Duration,
        which: (One) -> Boolean = { true },
    ): Int = calls.count { which(it) && (it.end as? Reply.Complete)?.let { end -> end.total <= deadline } == true }
}

fun measureTraffic(options: MeasureOptions): Verdict {
    val seed = options.int("seed", 1)
    val summary = Figures()
    var holds = true
    for (workload in listOf(morning, evening)) {
        for (case in listOf(Case.Overload, Case.ColdStart, Case.Burst)) {
            val results = listOf(own, baseline).associateWith { runCase(workload, case, it, seed) }
            val ownShare = results.getValue(own)
            val baseShare = results.getValue(baseline)
            summary.add("${workload.name}-${case.name}", ownShare)
            summary.add("${workload.name}-${case.name}-baseline", baseShare)
            holds = holds && meetsTarget(case, ownShare, baseShare)
        }
    }
    return Verdict("seed=$seed $summary", holds)
}

/** Overload: 90% of capacity. Cold start and burst: at least twice the baseline. */
private fun meetsTarget(
    case: Case,
    own: Double,
    baseline: Double,
): Boolean =
    when (case) {
        Case.Overload -> own >= 0.9
        Case.ColdStart, Case.Burst -> own >= 2 * baseline
    }

/** The share that counts in [case]: of capacity under overload, of the requests that the case should not harm otherwise. */
private fun runCase(
    workload: Workload,
    case: Case,
    policies: PolicySet,
    seed: Int,
): Double {
    val observed = Observed()
    val capacity = capacityOf(workload)
    val site =
        runVirtual(objects(workload), warmUp + length + 10.seconds, {
            this.seed = seed
            engine = traits
            policies.build(this)
        }) { script(workload, case, capacity, seed, observed) }
    val seconds = length.toDouble(DurationUnit.SECONDS)
    val whole = observed.calls.mapNotNull { it.end as? Reply.Complete }
    val others = { one: Observed.One -> case !is Case.Burst || one.customer != 0 }
    val share =
        when (case) {
            Case.Overload -> observed.inTime(workload.deadline) / seconds / capacity
            Case.ColdStart, Case.Burst ->
                observed.inTime(workload.deadline, others).toDouble() /
                    observed.calls.count(others).coerceAtLeast(1)
        }
    println(
        figures {
            add("workload", workload.name)
            add("case", case.name)
            add("policy", policies.name)
            add("calls", observed.calls.size)
            add("goodput-share", share)
            add("goodput-per-second", observed.inTime(workload.deadline) / seconds)
            add("capacity-per-second", capacity)
            listOf(0.5, 0.95, 0.99).forEach { add("first-p${(it * 100).toInt()}", percentile(whole.map { end -> end.firstByte }, it)) }
            listOf(0.5, 0.95, 0.99).forEach { add("token-p${(it * 100).toInt()}", percentile(whole.flatMap { end -> end.gaps }, it)) }
            addRefusals("not-run", observed.calls)
            addRefusals("others-not-run", observed.calls.filter(others))
            val waits = observed.calls.filter(others).mapNotNull { (it.end as? Reply.NotRun)?.total }
            add("others-refused-after-p50", percentile(waits, 0.5))
            add("others-refused-after-p95", percentile(waits, 0.95))
            add("others-late", observed.calls.count { others(it) && it.end is Reply.Complete } - observed.inTime(workload.deadline, others))
            add("broken", observed.calls.count { it.end is Reply.Broken })
            add("wrong", observed.calls.count { it.end is Reply.Wrong })
            add("jury-in-time", juryShare(observed, workload))
            add("falls", site.targets.values.sumOf { it.backEnd.crashes })
            add("violations", site.violations.size)
        },
    )
    site.violations.take(3).forEach { println("violation: $it") }
    return share
}

private fun Figures.addRefusals(
    name: String,
    calls: List<Observed.One>,
) {
    val codes = calls.mapNotNull { (it.end as? Reply.NotRun)?.code }
    for ((code, count) in codes.groupingBy { it }.eachCount()) add("$name-$code", count)
}

private fun juryShare(
    observed: Observed,
    workload: Workload,
): Double {
    val jury = observed.calls.count { it.jury && it.customer != 0 }
    return observed.inTime(workload.deadline) { it.jury && it.customer != 0 }.toDouble() / jury.coerceAtLeast(1)
}

/** The requests a second that all warm engines bear without slowing down. */
private fun capacityOf(workload: Workload): Double {
    val tokens = (workload.tokens.first + workload.tokens.last) / 2.0
    val each = traits.firstTokenDelay + traits.tokenInterval * tokens
    return WORKERS * traits.warmCapacity / each.toDouble(DurationUnit.SECONDS)
}

private suspend fun VirtualSite.script(
    workload: Workload,
    case: Case,
    capacity: Double,
    seed: Int,
    observed: Observed,
) {
    val end = warmUp + length
    scope.launch { arrivals(Random(seed), capacity * case.load, end) { call(workload, it, it % CUSTOMERS, observed) } }
    delay(warmUp)
    when (case) {
        Case.Overload -> Unit
        Case.ColdStart -> targets.values.forEach { it.backEnd.restart() }
        Case.Burst ->
            arrivals(
                Random(seed + 1),
                capacity * case.load / CUSTOMERS * BURST_FACTOR * BURST_FACTOR,
                end,
            ) { call(workload, it, 0, observed) }
    }
}

private suspend fun VirtualSite.call(
    workload: Workload,
    number: Int,
    customer: Int,
    observed: Observed,
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
    val started = clock.elapsed()
    val end = askText(entries[random.nextInt(entries.size)], call)
    if (started >= warmUp) observed.calls += Observed.One(customer, jury, end)
}
