/**
 * Measures, in virtual time, how often entry daemons call the store and how soon a change is in force: while all is calm, while the
 * readers of all failure domains get no response, and while the store is slow for, refuses or ignores all of them.
 */
package lagoonrudder.standins.measure

import lagoonrudder.model.Revision
import lagoonrudder.standins.virtual.StoreTreatment
import lagoonrudder.standins.virtual.VirtualStoreSite
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val DOMAINS = 3
private const val SLOW_FACTOR = 60
private val daemonCounts = listOf(6, 30, 100, 300)
private val warmUp = 10.seconds
private val observed = 10.seconds
private val inForceLimit = 2.seconds

/** The calls a second that the platform grants to all daemons together. */
private const val MAX_CALLS_PER_SECOND = 2_000.0

private class StoreCalls(
    val calm: Double,
    val readersSilent: Double,
    val silent: Double,
    val refused: Double,
    val slow: Double,
    val inForceAfter: Duration,
) {
    val most: Double get() = listOf(calm, readersSilent, silent, refused, slow).max()
}

fun measureStoreCalls(options: MeasureOptions): Verdict {
    val seed = options.int("seed", 1)
    val measured = daemonCounts.associateWith { observe(it, seed) }
    measured.forEach { (daemons, calls) -> println(lineOf(daemons, calls)) }
    val line =
        figures {
            add("seed", seed)
            measured.forEach { (daemons, calls) -> add("most-calls-a-second-$daemons", calls.most) }
            add("in-force-after", measured.values.maxOf { it.inForceAfter })
        }
    return Verdict(line, measured.values.all { it.most <= MAX_CALLS_PER_SECOND && it.inForceAfter <= inForceLimit })
}

private fun lineOf(
    daemons: Int,
    calls: StoreCalls,
): String =
    figures {
        add("daemons", daemons)
        add("calm-calls-a-second", calls.calm)
        add("readers-silent-calls-a-second", calls.readersSilent)
        add("silent-calls-a-second", calls.silent)
        add("refused-calls-a-second", calls.refused)
        add("slow-calls-a-second", calls.slow)
        add("in-force-after", calls.inForceAfter)
    }

private fun observe(
    daemons: Int,
    seed: Int,
): StoreCalls {
    val (readersSilent, inForceAfter) = observeSilentReaders(daemons, seed)
    return StoreCalls(
        calm = callRate(daemons, seed, StoreTreatment.Answers),
        readersSilent = readersSilent,
        silent = callRate(daemons, seed, StoreTreatment.Silent),
        refused = callRate(daemons, seed, StoreTreatment.Refuses),
        slow = callRate(daemons, seed, StoreTreatment.Slow(SLOW_FACTOR)),
        inForceAfter = inForceAfter,
    )
}

/** Returns the calls a second while the store treats all daemons alike. */
private fun callRate(
    daemons: Int,
    seed: Int,
    treatment: StoreTreatment,
): Double =
    VirtualStoreSite(DOMAINS, daemons / DOMAINS, seed).use { site ->
        site.advance(warmUp)
        site.daemons.forEach { it.treatment = treatment }
        site.callsPerSecond()
    }

/**
 * Silences the readers of all failure domains and publishes a change. Returns the calls a second meanwhile, and the time after which
 * the change is in force at the last daemon that the store answers.
 */
private fun observeSilentReaders(
    daemons: Int,
    seed: Int,
): Pair<Double, Duration> =
    VirtualStoreSite(DOMAINS, daemons / DOMAINS, seed).use { site ->
        site.advance(warmUp)
        site.readers().forEach { it.treatment = StoreTreatment.Silent }
        val changedAt = site.now
        site.publish(Revision(2))
        val rate = site.callsPerSecond()
        val sound = site.daemons.filter { it.treatment == StoreTreatment.Answers }
        rate to sound.maxOf { (it.inForceAt[Revision(2)] ?: site.now) - changedAt }
    }

private fun VirtualStoreSite.callsPerSecond(): Double {
    val before = calls
    advance(observed)
    return (calls - before) / observed.toDouble(DurationUnit.SECONDS)
}
