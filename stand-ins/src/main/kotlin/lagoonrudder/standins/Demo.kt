/**
 * Runs a whole site in one process and sends streaming requests and orders to it while a new version is rolled out and a
 * failure domain is taken out of service and restored. Prints one line of figures at the end.
 */
package lagoonrudder.standins

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import lagoonrudder.control.IdempotencyPolicy
import lagoonrudder.model.AdminState
import lagoonrudder.model.DomainId
import lagoonrudder.model.ObjectChanges
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.SystemClock
import lagoonrudder.model.VersionId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.system.exitProcess
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

fun main(arguments: Array<String>) {
    allowManyServers()
    val names = if (arguments.firstOrNull() == "tadla") tadla else festival
    val verdict =
        runBlocking { Demo(names, site { daemonOptions = { idempotency = IdempotencyPolicy(clockSkew = 200.milliseconds) } }).run() }
    exitProcess(if (verdict) 0 else 1)
}

/** The replies to calls of one kind. */
class Replies {
    val all = ConcurrentLinkedQueue<Reply>()

    fun add(reply: Reply) {
        all += reply
    }

    inline fun <reified T : Reply> count(): Int = all.count { it is T }

    val timesToFirstByte: List<Duration> get() = all.filterIsInstance<Reply.Complete>().map { it.firstByte }
}

/** Returns the quantile [share] (0 to 1) of [values], or zero when there are none. */
fun percentile(
    values: List<Duration>,
    share: Double,
): Duration = if (values.isEmpty()) Duration.ZERO else values.sorted()[((values.size - 1) * share).toInt()]

class Demo(
    private val names: SampleNames,
    private val site: Site,
) {
    private val clock = SystemClock()
    private val caller = Caller(site.http)
    private val texts = Replies()
    private val orders = Replies()
    private val sent = AtomicInteger()
    private val bodies = ConcurrentHashMap.newKeySet<String>()

    /** Runs the demonstration and returns whether all guarantees held. */
    suspend fun run(): Boolean {
        val first = VersionId("${names.model}-1")
        val second = VersionId("${names.model}-2")
        val started = clock.elapsed()
        printProgress("starting a site of ${names.domains.size} failure domains")
        site.start(sampleObjects(names))
        site.awaitVersion(first)
        site.awaitReady()
        delay(CLOCK_SKEW_WAIT)
        val ready = clock.elapsed() - started
        printProgress("every daemon is ready after $ready")
        var rollOut = Duration.ZERO
        var outTime = Duration.ZERO
        coroutineScope {
            val traffic = startTraffic()
            delay(PHASE)
            rollOut = rollOut(first, second)
            outTime = evacuateAndRestore(sampleObjects(names, second.text, first.text))
            delay(PHASE)
            traffic.forEach { it.cancel() }
        }
        return report(ready, rollOut, outTime).also { site.close() }
    }

    private fun CoroutineScope.startTraffic(): List<Job> =
        List(TEXT_CALLERS) { number -> launch { sendTextRequests(number) } } +
            List(ORDER_CALLERS) { number -> launch { sendOrders(number) } }

    private suspend fun CoroutineScope.sendTextRequests(number: Int) {
        val random = Random(number)
        while (isActive) {
            val route = if (number % 2 == 0) names.textRoute else names.lookupRoute
            val prompt = "Entry ${random.nextInt(PROMPTS)} of caller $number"
            val call = TextCall("/v1/$route", "token-${names.customers.random(random)}", prompt, random.nextInt(MAX_TOKENS) + 1)
            val reply = caller.text(pickEntry(random), call)
            texts.add(reply)
            backOffIfRejected(reply)
        }
    }

    private suspend fun CoroutineScope.sendOrders(number: Int) {
        val random = Random(number)
        while (isActive) {
            val body = "order-${sent.incrementAndGet()}"
            val key = uuidV7At(System.currentTimeMillis(), random)
            bodies += body
            val reply = caller.order(pickEntry(random), "/v1/${names.ledger}", "token-${names.customers.random(random)}", key, body)
            orders.add(reply)
            backOffIfRejected(reply)
        }
    }

    /** Picks a random ready entry daemon, as the platform's load balancer does. */
    private suspend fun pickEntry(random: Random) =
        site.daemons.values
            .filter { it.addresses.callers != null && site.statusOf(it).contains("ready=true") }
            .sortedBy { it.settings.name.text }
            .random(random)
            .addresses.callers
            .let(::checkNotNull)

    private suspend fun backOffIfRejected(reply: Reply) {
        if (reply is Reply.NotRun) delay(REJECTION_BACKOFF)
    }

    private suspend fun rollOut(
        first: VersionId,
        second: VersionId,
    ): Duration {
        printProgress("rolling out ${second.text} under traffic")
        val started = clock.elapsed()
        site.origin.bytesServed.set(0)
        site.publish(sampleObjects(names, second.text, first.text))
        site.awaitVersion(second)
        return (clock.elapsed() - started).also { printProgress("every engine serves ${second.text} after $it") }
    }

    private suspend fun evacuateAndRestore(objects: ObjectSet): Duration {
        val domain = DomainId(names.domains.last())
        printProgress("taking failure domain ${domain.text} out of service")
        val publishedAt = clock.elapsed()
        site.publish(withAdminState(objects, domain, AdminState.OUT))
        delay(EVACUATION_LIMIT)
        val startedAtLimit = requestsStartedIn(domain)
        delay(OBSERVATION_TIME)
        val newRequests = requestsStartedIn(domain) - startedAtLimit
        printProgress("requests started there later than $EVACUATION_LIMIT after publication: $newRequests")
        check(newRequests == 0L) { "$newRequests requests started in failure domain ${domain.text}, expected 0" }
        printProgress("restoring failure domain ${domain.text}")
        site.publish(objects)
        return clock.elapsed() - publishedAt
    }

    private fun requestsStartedIn(domain: DomainId): Long {
        val objects = site.platform.currentSnapshot().objects
        return site.engines
            .filterKeys { objects.targets[it]?.domain == domain }
            .values
            .sumOf { it.requestsStarted.get() }
    }

    private fun report(
        ready: Duration,
        rollOut: Duration,
        outTime: Duration,
    ): Boolean {
        val runs =
            site.services.values
                .flatMap { it.runs.entries }
                .groupBy({ it.key }, { it.value })
                .mapValues { it.value.sum() }
        val doubleRuns = runs.count { it.value > 1 }
        val wrong = texts.count<Reply.Wrong>() + orders.count<Reply.Wrong>()
        val broken = texts.count<Reply.Broken>() + orders.count<Reply.Broken>()
        val copies =
            site.origin.bytesServed
                .get()
                .toDouble() / sampleWeights("any").bytes
        val holds = doubleRuns == 0 && wrong == 0 && broken == 0 && site.violations.isEmpty() && texts.count<Reply.Complete>() > 0
        println(
            "texts=${texts.all.size} whole=${texts.count<Reply.Complete>()} not-run=${texts.count<Reply.NotRun>()} " +
                "unknown=${texts.count<Reply.Unknown>()} broken=$broken wrong=$wrong " +
                "first-byte-p50=${percentile(texts.timesToFirstByte, 0.5)} first-byte-p95=${percentile(texts.timesToFirstByte, 0.95)} " +
                "orders=${orders.all.size} orders-done=${orders.count<Reply.Complete>()} orders-not-run=${orders.count<Reply.NotRun>()} " +
                "orders-unknown=${orders.count<Reply.Unknown>()} double-runs=$doubleRuns ready=$ready roll-out=$rollOut " +
                "origin-copies=${"%.2f".format(copies)} out-and-back=$outTime violations=${site.violations.size} " +
                "verdict=${if (holds) "holds" else "broken"}",
        )
        if (!holds) showProblems()
        return holds
    }

    private fun showProblems() {
        (texts.all + orders.all)
            .filter { it is Reply.Broken || it is Reply.Wrong }
            .take(
                MAX_PRINTED_PROBLEMS,
            ).forEach { println("problem: $it") }
        site.violations.take(MAX_PRINTED_PROBLEMS).forEach { println("violation: $it") }
    }

    private fun printProgress(line: String) = println("demo: $line")

    private companion object {
        const val TEXT_CALLERS = 12
        const val ORDER_CALLERS = 3
        const val PROMPTS = 20
        const val MAX_TOKENS = 40
        const val MAX_PRINTED_PROBLEMS = 10
        val CLOCK_SKEW_WAIT = 300.milliseconds
        val PHASE = 3.seconds
        val EVACUATION_LIMIT = 3.seconds
        val OBSERVATION_TIME = 2.seconds
        val REJECTION_BACKOFF = 100.milliseconds
    }
}

/** Returns [objects] with the administrative state of [domain] set to [service]. */
fun withAdminState(
    objects: ObjectSet,
    domain: DomainId,
    service: AdminState,
): ObjectSet {
    val changed = objects.domains.getValue(domain).copy(service = service)
    return objects.plus(ObjectChanges(listOf(changed), emptyList()))
}
