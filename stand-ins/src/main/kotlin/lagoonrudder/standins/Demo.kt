/**
 * The demonstration: a whole site in one process, streaming requests and orders under way while a new version is rolled
 * out and a failure domain is taken out and brought back. It ends with one line of figures.
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
import lagoonrudder.model.DomainId
import lagoonrudder.model.ObjectChanges
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.AdminState
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
    val verdict = runBlocking { Demo(names, site { build = { repeats = IdempotencyPolicy(clockSkew = 200.milliseconds) } }).run() }
    exitProcess(if (verdict) 0 else 1)
}

/** Counts of one kind of calls by their end. */
class Replies {
    val all = ConcurrentLinkedQueue<Reply>()

    fun add(end: Reply) {
        all += end
    }

    inline fun <reified T : Reply> count(): Int = all.count { it is T }

    val firstBytes: List<Duration> get() = all.filterIsInstance<Reply.Complete>().map { it.firstByte }
}

/** The value below which [share] of [values] lie; zero when there are none. */
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

    /** Runs the demonstration and returns whether every promise held. */
    suspend fun run(): Boolean {
        val first = VersionId("${names.model}-1")
        val second = VersionId("${names.model}-2")
        val started = clock.elapsed()
        say("starting a site of ${names.domains.size} failure domains")
        site.start(sampleObjects(names))
        site.awaitVersion(first)
        site.awaitReady()
        delay(SKEW_PAUSE)
        val ready = clock.elapsed() - started
        say("every daemon is ready after $ready")
        var rollOut = Duration.ZERO
        var lastWork = Duration.ZERO
        coroutineScope {
            val traffic = startTraffic()
            delay(PHASE)
            rollOut = rollOut(first, second)
            lastWork = takeOutAndBack(sampleObjects(names, second.text, first.text))
            delay(PHASE)
            traffic.forEach { it.cancel() }
        }
        return report(ready, rollOut, lastWork).also { site.close() }
    }

    private fun CoroutineScope.startTraffic(): List<Job> =
        List(TEXT_CALLERS) { number -> launch { callForText(number) } } + List(ORDER_CALLERS) { number -> launch { callForOrders(number) } }

    private suspend fun CoroutineScope.callForText(number: Int) {
        val random = Random(number)
        while (isActive) {
            val route = if (number % 2 == 0) names.textRoute else names.lookupRoute
            val prompt = "Entry ${random.nextInt(PROMPTS)} of caller $number"
            val call = TextCall("/v1/$route", "token-${names.customers.random(random)}", prompt, random.nextInt(MOST_TOKENS) + 1)
            val end = caller.text(entryFor(random), call)
            texts.add(end)
            pauseAfter(end)
        }
    }

    private suspend fun CoroutineScope.callForOrders(number: Int) {
        val random = Random(number)
        while (isActive) {
            val body = "order-${sent.incrementAndGet()}"
            val key = uuidV7At(System.currentTimeMillis(), random)
            bodies += body
            val end = caller.order(entryFor(random), "/v1/${names.ledger}", "token-${names.customers.random(random)}", key, body)
            orders.add(end)
            pauseAfter(end)
        }
    }

    /** The platform's balancer: any entry daemon whose readiness is good. */
    private suspend fun entryFor(random: Random) =
        site.daemons.values
            .filter { it.addresses.callers != null && site.statusOf(it).contains("ready=true") }
            .sortedBy { it.settings.name.text }
            .random(random)
            .addresses.callers
            .let(::checkNotNull)

    private suspend fun pauseAfter(end: Reply) {
        if (end is Reply.NotRun) delay(REFUSED_PAUSE)
    }

    private suspend fun rollOut(
        first: VersionId,
        second: VersionId,
    ): Duration {
        say("rolling out ${second.text} under traffic")
        val started = clock.elapsed()
        site.origin.bytesGiven.set(0)
        site.publish(sampleObjects(names, second.text, first.text))
        site.awaitVersion(second)
        return (clock.elapsed() - started).also { say("every engine serves ${second.text} after $it") }
    }

    private suspend fun takeOutAndBack(objects: ObjectSet): Duration {
        val domain = DomainId(names.domains.last())
        say("taking failure domain ${domain.text} out of service")
        val published = clock.elapsed()
        site.publish(withAdminState(objects, domain, AdminState.OUT))
        delay(OUT_LIMIT)
        val begunAtLimit = begunIn(domain)
        delay(OUT_WATCH)
        val newWork = begunIn(domain) - begunAtLimit
        say("new work there after $OUT_LIMIT: $newWork")
        check(newWork == 0L) { "new work in a failure domain that is out" }
        say("bringing it back")
        site.publish(objects)
        return clock.elapsed() - published
    }

    private fun begunIn(domain: DomainId): Long {
        val objects = site.platform.published().objects
        return site.engines
            .filterKeys { objects.targets[it]?.domain == domain }
            .values
            .sumOf { it.begun.get() }
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
        val double = runs.count { it.value > 1 }
        val wrong = texts.count<Reply.Wrong>() + orders.count<Reply.Wrong>()
        val broken = texts.count<Reply.Broken>() + orders.count<Reply.Broken>()
        val copies =
            site.origin.bytesGiven
                .get()
                .toDouble() / sampleWeights("any").bytes
        val holds = double == 0 && wrong == 0 && broken == 0 && site.violations.isEmpty() && texts.count<Reply.Complete>() > 0
        println(
            "texts=${texts.all.size} whole=${texts.count<Reply.Complete>()} not-run=${texts.count<Reply.NotRun>()} " +
                "unknown=${texts.count<Reply.Unknown>()} broken=$broken wrong=$wrong " +
                "first-byte-p50=${percentile(texts.firstBytes, 0.5)} first-byte-p95=${percentile(texts.firstBytes, 0.95)} " +
                "orders=${orders.all.size} orders-done=${orders.count<Reply.Complete>()} orders-not-run=${orders.count<Reply.NotRun>()} " +
                "orders-unknown=${orders.count<Reply.Unknown>()} double-runs=$double ready=$ready roll-out=$rollOut " +
                "origin-copies=${"%.2f".format(copies)} out-and-back=$outTime violations=${site.violations.size} " +
                "verdict=${if (holds) "holds" else "broken"}",
        )
        if (!holds) showProblems()
        return holds
    }

    private fun showProblems() {
        (texts.all + orders.all).filter { it is Reply.Broken || it is Reply.Wrong }.take(SHOWN).forEach { println("problem: $it") }
        site.violations.take(SHOWN).forEach { println("violation: $it") }
    }

    private fun say(line: String) = println("demo: $line")

    private companion object {
        const val TEXT_CALLERS = 12
        const val ORDER_CALLERS = 3
        const val PROMPTS = 20
        const val MOST_TOKENS = 40
        const val SHOWN = 10
        val SKEW_PAUSE = 300.milliseconds
        val PHASE = 3.seconds
        val OUT_LIMIT = 3.seconds
        val OUT_WATCH = 2.seconds
        val REFUSED_PAUSE = 100.milliseconds
    }
}

/** [objects] with the service of [domain] changed. */
fun withAdminState(
    objects: ObjectSet,
    domain: DomainId,
    service: AdminState,
): ObjectSet {
    val changed = objects.domains.getValue(domain).copy(service = service)
    return objects.plus(ObjectChanges(listOf(changed), emptyList()))
}
