package lagoonrudder.model

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.shouldBe

class RendezvousHashTest :
    FunSpec({
        val candidates = (1..10).map { "daemon-$it" }

        test("when a candidate goes only its own subjects move") {
            for (subject in (1..500).map { "chunk-$it" }) {
                val before = rendezvousFirst(subject, candidates) { it }
                val after = rendezvousFirst(subject, candidates - "daemon-3") { it }
                if (before != "daemon-3") after shouldBe before
            }
        }

        test("subjects are spread evenly") {
            val counts = (1..5_000).groupingBy { rendezvousFirst("chunk-$it", candidates) { name -> name } }.eachCount()
            counts.size shouldBe candidates.size
            counts.values.forEach { it.toDouble().shouldBeBetween(400.0, 600.0, 0.0) }
        }

        test("the order does not depend on the order of the candidates") {
            rendezvousOrder("subject", candidates.reversed()) { it } shouldBe rendezvousOrder("subject", candidates) { it }
        }
    })
