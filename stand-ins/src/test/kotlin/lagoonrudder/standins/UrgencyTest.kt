package lagoonrudder.standins

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import lagoonrudder.standins.measure.OverloadResult
import lagoonrudder.standins.measure.OverloadSimulation
import lagoonrudder.standins.measure.URGENCY_FLEET
import lagoonrudder.standins.measure.URGENCY_PATTERNS
import lagoonrudder.standins.measure.UrgencyAlternative
import lagoonrudder.standins.measure.UrgencyBounds
import lagoonrudder.standins.measure.inversion
import lagoonrudder.standins.measure.leastServedRank
import kotlin.time.Duration

private val SEEDS = 1L..4L

private fun results(alternative: UrgencyAlternative): Map<String, List<OverloadResult>> =
    URGENCY_PATTERNS.mapValues { (_, pattern) ->
        SEEDS.map { OverloadSimulation(pattern, alternative.policies, it, URGENCY_FLEET).run() }
    }

/** A burst of the least urgent requests must not take the slots of the others, whatever fails besides. */
class UrgencyTest :
    FunSpec({
        val inUse by lazy { results(UrgencyAlternative.IN_USE) }

        fun forEach(check: (OverloadResult) -> Unit) =
            inUse.forEach { (name, results) ->
                results.forEachIndexed { index, result -> withClue("$name, seed ${SEEDS.first + index}") { check(result) } }
            }

        test("no rank is served less often than a less urgent one by more than 5 in 100") {
            forEach { it.inversion shouldBeLessThanOrEqual UrgencyBounds.INVERSION }
        }

        test("each rank is served at least a quarter as often as all") {
            forEach { it.leastServedRank shouldBeGreaterThanOrEqual UrgencyBounds.LEAST_SHARE }
        }

        test("hardly anybody is refused while a quarter of the slots is free, as far as reports can tell") {
            forEach { it.admission.refusedWhileFree shouldBeLessThanOrEqual UrgencyBounds.REFUSED_WHILE_FREE }
        }

        test("most refusals come at once") {
            forEach { it.medianWaitOfRefused shouldBe Duration.ZERO }
            inUse.getValue("burst").forEach { result -> result.ranks.forEach { it.refusedLate shouldBeLessThanOrEqual 0.05 } }
        }

        test("the admission level binds within a second of the burst, and falls without oscillation after it") {
            forEach {
                it.admission.boundAfter.shouldNotBeNull() shouldBeLessThanOrEqualTo UrgencyBounds.BOUND_AFTER
                it.admission.reversals shouldBeLessThanOrEqual UrgencyBounds.REVERSALS
            }
        }

        test("without admission by urgency, the most urgent rank is served less often than the least urgent one") {
            val baseline = results(UrgencyAlternative.BASELINE).filterKeys { it != "domain-cut-off" }
            baseline.values.flatten().forEach { it.inversion shouldBeGreaterThan UrgencyBounds.INVERSION }
            baseline.getValue("burst").map { it.ranks.first().inTime }.average() shouldBeLessThan
                inUse.getValue("burst").map { it.ranks.first().inTime }.average()
        }
    })
