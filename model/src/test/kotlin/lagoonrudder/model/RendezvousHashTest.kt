package lagoonrudder.model

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.shouldBe

class RendezvousHashTest :
    FunSpec({
        val nodes = (1..10).map { "daemon-$it" }

        test("removing a node moves only its own keys") {
            for (key in (1..500).map { "chunk-$it" }) {
                val before = rendezvousFirst(key, nodes) { it }
                val after = rendezvousFirst(key, nodes - "daemon-3") { it }
                if (before != "daemon-3") after shouldBe before
            }
        }

        test("keys are distributed evenly") {
            val counts = (1..5_000).groupingBy { rendezvousFirst("chunk-$it", nodes) { name -> name } }.eachCount()
            counts.size shouldBe nodes.size
            counts.values.forEach { it.toDouble().shouldBeBetween(400.0, 600.0, 0.0) }
        }

        test("the ranking does not depend on the order of the nodes") {
            rendezvousOrder("subject", nodes.reversed()) { it } shouldBe rendezvousOrder("subject", nodes) { it }
        }
    })
