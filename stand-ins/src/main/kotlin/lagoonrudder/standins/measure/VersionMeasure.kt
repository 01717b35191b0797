/**
 * Measures, in virtual time, how exactly entry daemons know when a version was acknowledged: while all is calm, and while the readers of
 * all failure domains stop. One that takes a version for younger than it is lets requests begin too late on the one before; one that takes
 * it for older ends that one early, and its callers lose what those back ends would still have served.
 */
package lagoonrudder.standins.measure

import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import lagoonrudder.standins.virtual.VirtualStoreSite
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val model = ModelId("model")
private val declared = WeightNumber(2)

private class FleetSize(
    val domains: Int,
    val daemonsPerDomain: Int,
)

private val sizes = listOf(FleetSize(2, 5), FleetSize(10, 10), FleetSize(32, 25))
private val warmUp = 10.seconds
private val observed = 3.seconds
private val phases = listOf(0, 190, 380, 570).map { it.milliseconds }

/** What a daemon without a word from others loses while its reader is replaced. */
private val earlyLimit = 2_500.milliseconds

private enum class ReaderTrouble(
    val strike: (VirtualStoreSite) -> Unit,
) {
    CALM({}),
    READERS_STOP({ site -> site.readers().forEach { site.stop(it) } }),
}

private class AgeErrors(
    val early: List<Duration>,
    val late: Duration,
) {
    val meanEarly: Duration get() = early.reduce(Duration::plus) / early.size
    val maxEarly: Duration get() = early.max()
}

fun measureVersions(options: MeasureOptions): Verdict {
    val seed = options.int("seed", 1)
    val measured = sizes.flatMap { size -> ReaderTrouble.entries.map { trouble -> Triple(size, trouble, observe(size, trouble, seed)) } }
    measured.forEach { (size, trouble, errors) -> println(lineOf(size, trouble, errors)) }
    val all = measured.map { it.third }
    val line =
        figures {
            add("seed", seed)
            add("max-early", all.maxOf { it.maxEarly })
            add("max-late", all.maxOf { it.late })
        }
    return Verdict(line, all.all { it.late == Duration.ZERO && it.maxEarly <= earlyLimit })
}

private fun lineOf(
    size: FleetSize,
    trouble: ReaderTrouble,
    errors: AgeErrors,
): String =
    figures {
        add("daemons", size.domains * size.daemonsPerDomain)
        add("domains", size.domains)
        add("trouble", trouble.name.lowercase())
        add("mean-early", errors.meanEarly)
        add("max-early", errors.maxEarly)
        add("max-late", errors.late)
    }

private fun observe(
    size: FleetSize,
    trouble: ReaderTrouble,
    seed: Int,
): AgeErrors {
    val errors = phases.flatMap { phase -> earliness(size, trouble, seed, phase) }
    return AgeErrors(errors.map { it.coerceAtLeast(Duration.ZERO) }, (-errors.min()).coerceAtLeast(Duration.ZERO))
}

/** Returns how long before its acknowledgement each daemon counts a version from; negative if it counts from later. */
private fun earliness(
    size: FleetSize,
    trouble: ReaderTrouble,
    seed: Int,
    phase: Duration,
): List<Duration> =
    VirtualStoreSite(size.domains, size.daemonsPerDomain, seed).use { site ->
        site.declare(model, WeightNumber(1))
        site.advance(warmUp + phase)
        trouble.strike(site)
        site.declare(model, declared)
        val acknowledgedAt = site.now
        site.advance(observed)
        site.daemons.filter { it.isRunning }.map { daemon ->
            val declaration = daemon.storeView.versions.declaration(model, declared)
            acknowledgedAt - (declaration?.countsFrom ?: site.now)
        }
    }
