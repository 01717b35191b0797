package lagoonrudder.control.direct.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import lagoonrudder.control.direct.ENGINES
import lagoonrudder.control.direct.route
import lagoonrudder.control.direct.servingSet
import lagoonrudder.model.CallerAccess
import lagoonrudder.model.CustomerId
import lagoonrudder.model.RequestKind
import lagoonrudder.model.ServiceId
import lagoonrudder.model.ServiceShare
import lagoonrudder.model.ServingCustomer
import lagoonrudder.model.rankOf
import kotlin.random.Random

private fun demand(vararg arrivals: Int) = arrivals.mapIndexed { index, count -> LevelDemand(UrgencyLevel(index), count, 0, 0, 0) }

private fun levels(
    routeRanks: List<Int>,
    customerRanks: List<Int?> = emptyList(),
    open: Boolean = false,
): UrgencyLevels {
    val routes = routeRanks.map { route(RequestKind.Idempotent).copy(priority = it, open = open) }
    val customers = customerRanks.mapIndexed { index, rank -> ServingCustomer(CustomerId("c$index"), emptySet(), rank, emptySet()) }
    return UrgencyLevels.of(servingSet(1).copy(routes = routes, access = CallerAccess.OnlyCustomers(customers)))
}

private fun UrgencyLevels.indexes(ranks: IntRange) = ranks.map { levelOf(ENGINES, rankOf(null, it))?.index }

/** Guards against an admission that follows neither the rank nor the capacity. */
class AdmissionLevelTest :
    FunSpec({
        test("ranks are grouped into four levels at most, and a service with one rank has none") {
            levels(listOf(3, 3)).indexes(0..4) shouldBe listOf(null, null, null, null, null)
            levels(listOf(0, 2)).indexes(-1..3) shouldBe listOf(0, 0, 1, 1, 1)
            levels(listOf(0, 1, 2, 3, 4, 5)).indexes(0..5) shouldBe listOf(0, 1, 2, 3, 3, 3)
        }

        // All customers of a deployment may have one priority, which must not hide that its routes differ.
        test("a customer's priority takes precedence over that of the route, which decides among customers of one priority") {
            levels(listOf(1), listOf(1, 1)).services shouldBe emptySet()
            val ranked = levels(listOf(0, 1), listOf(2, 5))
            listOf(rankOf(2, 0), rankOf(2, 1), rankOf(5, 0), rankOf(5, 1)).map { ranked.levelOf(ENGINES, it)?.index } shouldBe
                listOf(0, 1, 2, 3)
            val alike = levels(listOf(0, 1, 2), listOf(1, 1))
            listOf(rankOf(1, 0), rankOf(1, 1), rankOf(1, 2)).map { alike.levelOf(ENGINES, it)?.index } shouldBe listOf(0, 1, 2)
            levels(listOf(1), listOf(null, 5)).indexes(1..5) shouldBe listOf(0, 1, 1, 1, 1)
            levels(listOf(0, 1), listOf(2), open = true).indexes(0..1) shouldBe listOf(0, 1)
        }

        // Counts of the slots of a plain service are older than the time for which its slots are held, and cut it without need.
        test("a service without engines has no levels") {
            val plain = listOf(ServiceShare(ServiceId("plain"), 1.0))
            val routes = listOf(0, 1).map { route(RequestKind.Idempotent).copy(priority = it, shares = plain) }
            UrgencyLevels.of(servingSet(1).copy(routes = routes)).services shouldBe emptySet()
        }

        test("everything is admitted while the capacity suffices") {
            admissionLevel(demand(100, 100, 100), 301.0, AdmissionLevel.Open) shouldBe AdmissionLevel.Open
            admissionLevel(emptyList(), 0.0, AdmissionLevel.Open) shouldBe AdmissionLevel.Open
        }

        test("a burst of the least urgent level is cut at that level and nowhere else") {
            val bound = admissionLevel(demand(100, 100, 400), 400.0, AdmissionLevel.Open).shouldBeInstanceOf<AdmissionLevel.Bound>()
            bound.level shouldBe UrgencyLevel(2)
            bound.share shouldBe (0.5 plusOrMinus 1e-9)
        }

        test("shares follow the rank, add up to the capacity, and leave no level less than a quarter of the overall share") {
            val random = Random(1)
            repeat(1_000) {
                val demand = demand(*IntArray(4) { random.nextInt(500) })
                val total = demand.sumOf { it.arrivals }
                val capacity = random.nextDouble() * total
                val admission = admissionLevel(demand, capacity, AdmissionLevel.Open)
                val shares = demand.map { admission.shareOf(it.level) }
                shares shouldBe shares.sortedDescending()
                shares.min() shouldBeGreaterThanOrEqual capacity / total / 4
                shares.max() shouldBeLessThanOrEqual 1.0
                demand.indices.sumOf { shares[it] * demand[it].arrivals } shouldBe (capacity plusOrMinus 1e-6)
            }
        }

        test("counts that vary around the capacity don't open and bind the level in turns") {
            val random = Random(1)
            var admission: AdmissionLevel = AdmissionLevel.Open
            var changes = 0
            repeat(1_000) {
                val next = admissionLevel(demand(150, 150, 140 + random.nextInt(30)), 450.0, admission)
                if ((next == AdmissionLevel.Open) != (admission == AdmissionLevel.Open)) changes++
                admission = next
            }
            changes shouldBeLessThanOrEqual 1
        }

        test("counts that vary around the point where two levels meet don't move the level in turns") {
            val random = Random(1)
            var admission = admissionLevel(demand(200, 200, 200), 250.0, AdmissionLevel.Open)
            val levels =
                (1..1_000).map {
                    admission = admissionLevel(demand(190 + random.nextInt(20), 190 + random.nextInt(20), 200), 425.0, admission)
                    (admission as AdmissionLevel.Bound).level.index
                }
            levels.zipWithNext().count { (before, after) -> before != after } shouldBeLessThanOrEqual 1
        }

        test("nobody may be refused while a quarter of the slots is free") {
            SlotUse(100, 75).isAmple shouldBe true
            SlotUse(100, 76).isAmple shouldBe false
            SlotUse(0, 0).isAmple shouldBe false
        }
    })
