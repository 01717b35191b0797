/**
 * The measurement `overload`: the policies of the entry daemons beside their baselines, under several patterns of load.
 */
package lagoonrudder.standins.measure

import lagoonrudder.control.direct.admission.ClaimPolicy
import lagoonrudder.control.direct.admission.OverloadPolicies
import lagoonrudder.control.direct.admission.ReturnPolicy
import lagoonrudder.control.direct.admission.WaitPolicy
import kotlin.time.Duration.Companion.seconds

/** The alternatives that are compared: all baselines, each policy in use with the other baselines, and all in use. */
enum class OverloadAlternative(
    val policies: OverloadPolicies,
) {
    BASELINE(OverloadPolicies(WaitPolicy.ObjectiveShare(0.1), ReturnPolicy.Fixed(1.seconds), ClaimPolicy.All)),
    JITTERED_RETURN(BASELINE.policies.copy(returns = ReturnPolicy.Jittered)),
    PREDICTED_RETURN(BASELINE.policies.copy(returns = ReturnPolicy.Predicted)),
    PREDICTED_WAIT(BASELINE.policies.copy(wait = WaitPolicy.Predicted)),
    SHARED_CLAIMS(BASELINE.policies.copy(claims = ClaimPolicy.Share)),
    IN_USE(OverloadPolicies()),
}

val LOAD_PATTERNS: Map<String, LoadPattern> =
    mapOf(
        "busy" to LoadPattern.Step(0.95),
        "step-2x" to LoadPattern.Step(2.0),
        "step-5x" to LoadPattern.Step(5.0),
        "burst-2x-1s" to LoadPattern.Step(2.0, LoadPattern.START + 1.seconds),
        "half-gone-3s" to LoadPattern.BackEndsGone(),
        "flood" to LoadPattern.CustomerFlood(20.0),
        "abusive" to LoadPattern.AbusiveRetries(1.5, 0.3),
    )

/** The goals: the part of the capacity that serves requests in time, and a customer's part of the mean service. */
private const val GOODPUT_AT_2X = 0.9
private const val GOODPUT_AT_5X = 0.85
private const val LEAST_SERVED_CUSTOMER = 0.5

/** Prints a line for each pattern and alternative; passes if the policies in use meet the goals. */
fun measureOverload(options: MeasureOptions): Verdict {
    val seed = options.long("seed", 1)
    val results =
        LOAD_PATTERNS.mapValues { (name, pattern) ->
            OverloadAlternative.entries.associateWith { alternative ->
                OverloadSimulation(pattern, alternative.policies, seed).run().also { println(lineOf(name, alternative, it)) }
            }
        }
    val inUse = results.mapValues { it.value.getValue(OverloadAlternative.IN_USE) }
    val goodputAt2x = inUse.getValue("step-2x").goodput
    val goodputAt5x = inUse.getValue("step-5x").goodput
    val leastServed = inUse.values.minOf { it.leastServedCustomer }
    val line =
        figures {
            add("goodput-2x", goodputAt2x)
            add("goodput-5x", goodputAt5x)
            add("least-served-customer", leastServed)
        }
    return Verdict(line, goodputAt2x >= GOODPUT_AT_2X && goodputAt5x >= GOODPUT_AT_5X && leastServed >= LEAST_SERVED_CUSTOMER)
}

private fun lineOf(
    pattern: String,
    alternative: OverloadAlternative,
    result: OverloadResult,
) = figures {
    add("pattern", pattern)
    add("policies", alternative.name.lowercase().replace('_', '-'))
    add("goodput", result.goodput)
    add("in-time", result.inTime)
    add("late", result.late)
    add("refused-again", result.refusedAgain)
    add("wait-of-refused", result.medianWaitOfRefused)
    add("least-served-customer", result.leastServedCustomer)
}
