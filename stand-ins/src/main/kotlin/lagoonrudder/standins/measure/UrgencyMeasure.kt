/**
 * The measurement `urgency`: admission by urgency beside its baseline, in a burst of the least urgent requests with and without a fault.
 */
package lagoonrudder.standins.measure

import lagoonrudder.control.direct.admission.AdmissionPolicy
import lagoonrudder.control.direct.admission.OverloadPolicies
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The alternatives that are compared. */
enum class UrgencyAlternative(
    val policies: OverloadPolicies,
) {
    BASELINE(OverloadPolicies(admission = AdmissionPolicy.Everyone)),
    IN_USE(OverloadPolicies()),
}

val URGENCY_PATTERNS: Map<String, LoadPattern> =
    mapOf(
        "burst" to LoadPattern.UrgencyBurst(3.0),
        "engines-lost" to LoadPattern.UrgencyBurst(3.0, SimulatedFault.EnginesLost),
        "domain-cut-off" to LoadPattern.UrgencyBurst(3.0, SimulatedFault.DomainCutOff),
        "daemons-restarted" to LoadPattern.UrgencyBurst(3.0, SimulatedFault.DaemonsRestarted),
    )

val URGENCY_FLEET =
    SimulatedFleet(
        entryCount = 30,
        engineCount = 41,
        slots = 12,
        domains = 3,
        ranks =
            listOf(
                SimulatedRank(0, 0.3, 400.milliseconds),
                SimulatedRank(1, 0.3, 400.milliseconds),
                SimulatedRank(2, 0.4, 1_000.milliseconds),
            ),
    )

/** The bounds of what callers are promised. */
object UrgencyBounds {
    /** By how much a less urgent rank may be served more often. */
    const val INVERSION = 0.05

    /** The least share of the overall share that a rank is served. */
    const val LEAST_SHARE = 0.25
    const val REVERSALS = 1

    /** The share of refusals that daemons give because they have not heard yet of slots that became free. */
    const val REFUSED_WHILE_FREE = 0.02
    val BOUND_AFTER = 1.seconds
}

/** The greatest amount by which a rank is served more often than a more urgent one. */
val OverloadResult.inversion: Double
    get() = ranks.indices.maxOf { index -> ranks.drop(index).maxOf { it.served } - ranks[index].served }

/** The least share that a rank is served, as a part of the share of all. */
val OverloadResult.leastServedRank: Double get() = ranks.minOf { it.served } / (inTime + late)

private fun keepsBounds(result: OverloadResult): Boolean =
    result.inversion <= UrgencyBounds.INVERSION &&
        result.leastServedRank >= UrgencyBounds.LEAST_SHARE &&
        result.admission.reversals <= UrgencyBounds.REVERSALS &&
        result.admission.refusedWhileFree <= UrgencyBounds.REFUSED_WHILE_FREE &&
        (result.admission.boundAfter ?: Duration.INFINITE) <= UrgencyBounds.BOUND_AFTER

/** Prints a line for each pattern, alternative and rank; passes if the policies in use keep the bounds in each pattern. */
fun measureUrgency(options: MeasureOptions): Verdict {
    val seed = options.long("seed", 1)
    val inUse =
        URGENCY_PATTERNS.map { (name, pattern) ->
            UrgencyAlternative.entries
                .associateWith { alternative ->
                    OverloadSimulation(pattern, alternative.policies, seed, URGENCY_FLEET).run().also { print(name, alternative, it) }
                }.getValue(UrgencyAlternative.IN_USE)
        }
    val line =
        figures {
            add("inversion", inUse.maxOf { it.inversion })
            add("least-served-rank", inUse.minOf { it.leastServedRank })
            add("reversals", inUse.maxOf { it.admission.reversals }.toLong())
        }
    return Verdict(line, inUse.all { keepsBounds(it) })
}

private fun print(
    pattern: String,
    alternative: UrgencyAlternative,
    result: OverloadResult,
) {
    for (rank in result.ranks) {
        println(
            figures {
                add("pattern", pattern)
                add("policies", alternative.name.lowercase().replace('_', '-'))
                add("rank", rank.rank.toLong())
                add("served", rank.served)
                add("in-time", rank.inTime)
                add("refused-late", rank.refusedLate)
                add("refused-again", rank.refusedAgain)
            },
        )
    }
    println(
        figures {
            add("pattern", pattern)
            add("policies", alternative.name.lowercase().replace('_', '-'))
            add("goodput", result.goodput)
            add("wait-of-refused", result.medianWaitOfRefused)
            add("bound-after", result.admission.boundAfter ?: Duration.INFINITE)
            add("reversals", result.admission.reversals.toLong())
            add("refused-while-free", result.admission.refusedWhileFree)
        },
    )
}
