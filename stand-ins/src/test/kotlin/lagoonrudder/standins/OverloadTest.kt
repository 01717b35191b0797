package lagoonrudder.standins

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThan
import lagoonrudder.standins.measure.LOAD_PATTERNS
import lagoonrudder.standins.measure.LoadPattern
import lagoonrudder.standins.measure.OverloadAlternative
import lagoonrudder.standins.measure.OverloadResult
import lagoonrudder.standins.measure.OverloadSimulation

private val SEEDS = 1L..16L

private fun results(
    pattern: LoadPattern,
    alternative: OverloadAlternative,
): List<OverloadResult> = SEEDS.map { OverloadSimulation(pattern, alternative.policies, it).run() }

/** The goals under overload, replayed in virtual time against the real controllers of several entry daemons. */
class OverloadTest :
    FunSpec({
        test("under twice the load, nine tenths of the capacity serve requests in time") {
            val pattern = LOAD_PATTERNS.getValue("step-2x")
            results(pattern, OverloadAlternative.IN_USE).map { it.goodput }.average() shouldBeGreaterThanOrEqual 0.9
            // Entry daemons that take every place which they see free fill the queues of the engines.
            results(pattern, OverloadAlternative.BASELINE).map { it.goodput }.average() shouldBeLessThan 0.8
        }

        test("under five times the load, 0.85 of the capacity serves requests in time") {
            val goodput = results(LOAD_PATTERNS.getValue("step-5x"), OverloadAlternative.IN_USE).map { it.goodput }.average()
            goodput shouldBeGreaterThanOrEqual 0.85
        }

        test("after a short burst and while half of the back ends are gone, fewer callers are refused twice and more are in time") {
            for (name in listOf("burst-2x-1s", "half-gone-3s")) {
                val inUse = results(LOAD_PATTERNS.getValue(name), OverloadAlternative.IN_USE)
                val baseline = results(LOAD_PATTERNS.getValue(name), OverloadAlternative.BASELINE)
                withClue(name) {
                    inUse.map { it.refusedAgain }.average() shouldBeLessThan baseline.map { it.refusedAgain }.average()
                    inUse.map { it.inTime }.average() shouldBeGreaterThan baseline.map { it.inTime }.average()
                }
            }
        }

        test("callers that retry abusively don't take the capacity from requests in time") {
            val pattern = LOAD_PATTERNS.getValue("abusive")
            results(pattern, OverloadAlternative.IN_USE).map { it.goodput }.average() shouldBeGreaterThanOrEqual 0.9
        }

        test("no customer gets less than half of the mean service, also while one sends twenty times its usual") {
            for ((name, pattern) in LOAD_PATTERNS) {
                withClue(name) {
                    results(pattern, OverloadAlternative.IN_USE).minOf { it.leastServedCustomer } shouldBeGreaterThanOrEqual 0.5
                }
            }
        }
    })
