/**
 * The measurements of the project: bin/measure NAME [--seed N] [OPTION ...].
 *
 * Each ends with one line of key=value figures and a verdict, and exits with 0 when its targets hold and 1 otherwise.
 */
package lagoonrudder.standins.measure

import lagoonrudder.standins.allowManyServers
import kotlin.system.exitProcess

private const val EXIT_WRONG_INPUT = 2

private val measurements: Map<String, (MeasureOptions) -> Verdict> =
    mapOf(
        "traffic" to ::measureTraffic,
        "once" to ::measureAtMostOnce,
        "random" to ::measureRandom,
        "weights" to ::measureWeights,
        "readers" to ::measureReaders,
        "control" to ::measureControl,
        "configuration" to ::measureConfiguration,
    )

fun main(arguments: Array<String>) {
    allowManyServers()
    val name = arguments.firstOrNull()
    val measurement = measurements[name] ?: wrongInput("expected one of ${measurements.keys.joinToString(", ")}")
    val verdict =
        try {
            measurement(MeasureOptions(arguments.drop(1)))
        } catch (wrong: InvalidOptionException) {
            wrongInput(wrong.message.orEmpty())
        }
    println("measure=$name ${verdict.line} verdict=${if (verdict.passed) "holds" else "broken"}")
    exitProcess(if (verdict.passed) 0 else 1)
}

private fun wrongInput(message: String): Nothing {
    System.err.println("measure: $message")
    exitProcess(EXIT_WRONG_INPUT)
}
