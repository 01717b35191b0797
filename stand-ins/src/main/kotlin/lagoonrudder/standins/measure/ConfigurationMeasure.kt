/**
 * The time until a change is in force everywhere, platform calls and processor time, for daemons of one failure domain in
 * one process on loopback.
 */
package lagoonrudder.standins.measure

import com.sun.management.OperatingSystemMXBean
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import lagoonrudder.model.Clock
import lagoonrudder.model.DomainId
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.Revision
import lagoonrudder.model.SystemClock
import lagoonrudder.model.objectSet
import lagoonrudder.standins.Site
import lagoonrudder.standins.percentile
import lagoonrudder.standins.site
import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val CHANGES = 10
private val watch = 2.milliseconds
private val pause = 700.milliseconds
private val quiet = 12.seconds
private val mostTime = 2.seconds

private data class Seen(
    val daemons: Int,
    val times: List<Duration>,
    val calls: Long,
    val idleCore: Double,
    val changeCore: Duration,
    val reverts: Int,
)

fun measureConfiguration(options: MeasureOptions): Verdict {
    val largest = options.int("largest", 100)
    val seen = listOf(10, largest).distinct().map { runBlocking { observe(it) } }
    seen.forEach { println(lineOf(it)) }
    val last = seen.last()
    val callsGrow = last.calls > seen.first().calls * 2
    val passed = percentile(last.times, 0.99) < mostTime && last.reverts == 0 && !callsGrow
    return Verdict(lineOf(last), passed)
}

private fun lineOf(seen: Seen): String =
    figures {
        add("daemons", seen.daemons)
        add("changes", CHANGES)
        listOf(0.5, 0.99, 1.0).forEach { add("in-force-p${(it * 100).toInt()}", percentile(seen.times, it)) }
        add("platform-calls-for-a-change", seen.calls.toDouble() / CHANGES)
        add("idle-core-percent-of-a-daemon", seen.idleCore * 100 / seen.daemons)
        add("processor-for-a-change-of-a-daemon", seen.changeCore / seen.daemons / CHANGES)
        add("reverts", seen.reverts)
    }

private fun objects(weight: Int): ObjectSet =
    objectSet {
        region("ost", origin = true)
        domain("ost")
        customer("tirol", weight)
        repeat(200) { customer("customer-$it") }
    }

private suspend fun observe(daemons: Int): Seen {
    val clock = SystemClock()
    return site { entriesEach = 0 }.use { site ->
        site.publish(objects(1))
        repeat(daemons) { site.startEntry(DomainId("ost"), it) }
        site.awaitReady()
        delay(quiet)
        val idle = processorOver { delay(quiet) }
        val callsBefore = site.platform.calls.get()
        val times = mutableListOf<Duration>()
        val busy = processorOver { repeat(CHANGES) { times += change(site, it + 2, clock) } }
        val calls = site.platform.calls.get() - callsBefore
        val expected = Revision(CHANGES + 1L)
        val reverts = site.daemons.values.count { it.daemon.core.configuration.current.revision != expected }
        val idleCore = idle.toDouble(DurationUnit.SECONDS) / quiet.toDouble(DurationUnit.SECONDS)
        val extra = busy - idle * (pause * CHANGES / quiet)
        Seen(daemons, times, calls, idleCore, extra.coerceAtLeast(Duration.ZERO), reverts + site.violations.size)
    }
}

/** Publishes a change and returns when it came into force in each daemon. */
private suspend fun change(
    site: Site,
    weight: Int,
    clock: Clock,
): List<Duration> {
    val started = clock.elapsed()
    val revision = site.publish(objects(weight))
    val open = site.daemons.values.toMutableList()
    val times = mutableListOf<Duration>()
    while (open.isNotEmpty()) {
        val done = open.filter { it.daemon.core.configuration.current.revision >= revision }
        open -= done.toSet()
        val now = clock.elapsed() - started
        times += done.map { now }
        delay(watch)
    }
    delay(pause)
    return times
}

private suspend fun processorOver(block: suspend () -> Unit): Duration {
    val before = processor()
    block()
    return processor() - before
}

/** The processor time of this process so far. */
private fun processor(): Duration {
    val bean = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean
    return bean.processCpuTime.nanoseconds
}
