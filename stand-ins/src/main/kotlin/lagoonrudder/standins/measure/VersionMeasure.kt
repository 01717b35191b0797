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

/** Failure domains and the daemons in each. */
private val sizes = listOf(2 to 5, 10 to 10, 32 to 25)
private val warmUp = 10.seconds
private val observed = 3.seconds
private val phases = listOf(0, 190, 380, 570).map { it.milliseconds }

/** What a daemon without a word from others loses while its reader is replaced. */
private val maxEarly = 2_500.milliseconds

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
    val measured =
        sizes
            .flatMap { size ->
                ReaderTrouble.entries.map { (size to it) }
            }.associateWith { (size, trouble) -> observe(size, trouble, seed) }
    measured.forEach { (case, errors) -> println(lineOf(case.first, case.second, errors)) }
    val line =
        figures {
            add("seed", seed)
            add("max-early", measured.values.maxOf { it.maxEarly })
            add("max-late", measured.values.maxOf { it.late })
        }
    return Verdict(line, measured.values.all { it.late == Duration.ZERO && it.maxEarly <= maxEarly })
}

private fun lineOf(
    size: Pair<Int, Int>,
    trouble: ReaderTrouble,
    errors: AgeErrors,
): String =
    figures {
        add("daemons", size.first * size.second)
        add("domains", size.first)
        add("trouble", trouble.name.lowercase())
        add("mean-early", errors.meanEarly)
        add("max-early", errors.maxEarly)
        add("max-late", errors.late)
    }

private fun observe(
    size: Pair<Int, Int>,
    trouble: ReaderTrouble,
    seed: Int,
): AgeErrors {
    val errors = phases.flatMap { phase -> earliness(size, trouble, seed, phase) }
    return AgeErrors(errors.map { it.coerceAtLeast(Duration.ZERO) }, (-errors.min()).coerceAtLeast(Duration.ZERO))
}

/** Returns how long before its acknowledgement each daemon counts a version from; negative if it counts from later. */
private fun earliness(
    size: Pair<Int, Int>,
    trouble: ReaderTrouble,
    seed: Int,
    phase: Duration,
): List<Duration> =
    VirtualStoreSite(size.first, size.second, seed).use { site ->
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
