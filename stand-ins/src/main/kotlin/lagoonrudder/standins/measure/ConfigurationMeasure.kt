/**
 * Measures how long a configuration change takes to become active in every daemon, and the platform calls and processor time that it
 * costs, with all daemons of one failure domain in one process over loopback.
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

private const val CHANGE_COUNT = 10
private val pollInterval = 2.milliseconds
private val changeInterval = 700.milliseconds
private val idlePeriod = 12.seconds
private val maxActivationTime = 2.seconds

private data class Observation(
    val daemons: Int,
    val activationTimes: List<Duration>,
    val calls: Long,
    val idleCores: Double,
    val changeProcessorTime: Duration,
    val reverts: Int,
)

fun measureConfiguration(options: MeasureOptions): Verdict {
    val largest = options.int("largest", 100)
    val observations = listOf(10, largest).distinct().map { runBlocking { observe(it) } }
    observations.forEach { println(lineOf(it)) }
    val last = observations.last()
    val callsGrow = last.calls > observations.first().calls * 2
    val passed = percentile(last.activationTimes, 0.99) < maxActivationTime && last.reverts == 0 && !callsGrow
    return Verdict(lineOf(last), passed)
}

private fun lineOf(observation: Observation): String =
    figures {
        add("daemons", observation.daemons)
        add("changes", CHANGE_COUNT)
        listOf(0.5, 0.99, 1.0).forEach { add("in-force-p${(it * 100).toInt()}", percentile(observation.activationTimes, it)) }
        add("platform-calls-for-a-change", observation.calls.toDouble() / CHANGE_COUNT)
        add("idle-core-percent-of-a-daemon", observation.idleCores * 100 / observation.daemons)
        add("processor-for-a-change-of-a-daemon", observation.changeProcessorTime / observation.daemons / CHANGE_COUNT)
        add("reverts", observation.reverts)
    }

private fun objects(weight: Int): ObjectSet =
    objectSet {
        region("ost", origin = true)
        domain("ost")
        customer("tirol", weight)
        repeat(200) { customer("customer-$it") }
    }

private suspend fun observe(daemons: Int): Observation {
    val clock = SystemClock()
    return site { entriesPerDomain = 0 }.use { site ->
        site.publish(objects(1))
        repeat(daemons) { site.startEntry(DomainId("ost"), it) }
        site.awaitReady()
        delay(idlePeriod)
        val idle = processorTimeOf { delay(idlePeriod) }
        val callsBefore = site.platform.calls.get()
        val activationTimes = mutableListOf<Duration>()
        val changing = processorTimeOf { repeat(CHANGE_COUNT) { activationTimes += publishChange(site, it + 2, clock) } }
        val calls = site.platform.calls.get() - callsBefore
        val expected = Revision(CHANGE_COUNT + 1L)
        val reverts = site.daemons.values.count { it.daemon.core.configuration.current.revision != expected }
        val idleCores = idle.toDouble(DurationUnit.SECONDS) / idlePeriod.toDouble(DurationUnit.SECONDS)
        val changeOverhead = changing - idle * (changeInterval * CHANGE_COUNT / idlePeriod)
        Observation(daemons, activationTimes, calls, idleCores, changeOverhead.coerceAtLeast(Duration.ZERO), reverts + site.violations.size)
    }
}

/** Publishes a change and returns the time until it became active in each daemon. */
private suspend fun publishChange(
    site: Site,
    weight: Int,
    clock: Clock,
): List<Duration> {
    val started = clock.elapsed()
    val revision = site.publish(objects(weight))
    val open = site.daemons.values.toMutableList()
    val activationTimes = mutableListOf<Duration>()
    while (open.isNotEmpty()) {
        val activated = open.filter { it.daemon.core.configuration.current.revision >= revision }
        open -= activated.toSet()
        val now = clock.elapsed() - started
        activationTimes += activated.map { now }
        delay(pollInterval)
    }
    delay(changeInterval)
    return activationTimes
}

private suspend fun processorTimeOf(block: suspend () -> Unit): Duration {
    val before = processorTime()
    block()
    return processorTime() - before
}

/** The processor time that this process has used. */
private fun processorTime(): Duration {
    val bean = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean
    return bean.processCpuTime.nanoseconds
}
