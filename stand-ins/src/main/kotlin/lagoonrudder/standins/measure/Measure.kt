/**
 * The command line of the measurements: `bin/measure NAME [--seed N] [OPTION ...]`.
 *
 * Each prints a summary line of key=value pairs with a verdict last. The exit code is 0 if its thresholds were met, 1 if not, and 2 on
 * invalid arguments.
 */
package lagoonrudder.standins.measure

import lagoonrudder.standins.allowManyServers
import kotlin.system.exitProcess

private const val EXIT_INVALID_INPUT = 2

private val measurements: Map<String, (MeasureOptions) -> Verdict> =
    mapOf(
        "traffic" to ::measureTraffic,
        "once" to ::measureAtMostOnce,
        "random" to ::measureRandom,
        "weights" to ::measureWeights,
        "readers" to ::measureReaders,
        "control" to ::measureControl,
        "configuration" to ::measureConfiguration,
        "overload" to ::measureOverload,
        "store" to ::measureStoreCalls,
        "suspicion" to ::measureSuspicion,
        "urgency" to ::measureUrgency,
        "versions" to ::measureVersions,
    )

fun main(arguments: Array<String>) {
    allowManyServers()
    val name = arguments.firstOrNull()
    val measurement = measurements[name] ?: exitInvalid("expected one of ${measurements.keys.joinToString(", ")}")
    val verdict =
        try {
            measurement(MeasureOptions(arguments.drop(1)))
        } catch (invalid: InvalidOptionException) {
            exitInvalid(invalid.message.orEmpty())
        }
    println("measure=$name ${verdict.line} verdict=${if (verdict.passed) "holds" else "broken"}")
    exitProcess(if (verdict.passed) 0 else 1)
}

private fun exitInvalid(message: String): Nothing {
    System.err.println("measure: $message")
    exitProcess(EXIT_INVALID_INPUT)
}
