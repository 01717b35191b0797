package lagoonrudder.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import lagoonrudder.model.DaemonId
import lagoonrudder.model.Revision
import kotlin.random.Random

private fun controllers(count: Int): Map<DaemonId, DisseminationController> =
    (0 until count).map { DaemonId("daemon-$it") }.associateWith { DisseminationController(it, DisseminationPolicy.Tree(), Random(1)) }

/** The daemons that a revision reaches from the watchers when everyone passes it on. */
private fun reached(
    controllers: Map<DaemonId, DisseminationController>,
    revision: Revision,
): Set<DaemonId> {
    val live = controllers.keys
    val reached = mutableSetOf<DaemonId>()
    val open = ArrayDeque(controllers.filterValues { it.shouldWatch(live) }.keys)
    while (open.isNotEmpty()) {
        val daemon = open.removeFirst()
        if (!reached.add(daemon)) continue
        open.addAll(controllers.getValue(daemon).children(revision, live))
    }
    return reached
}

class DisseminationControllerTest :
    FunSpec({
        test("two daemons watch, whatever the size of the failure domain") {
            for (count in listOf(2, 10, 400)) {
                val controllers = controllers(count)
                controllers.values.count { it.shouldWatch(controllers.keys) } shouldBe 2
            }
        }

        test("a revision reaches everyone, and nobody passes it on more than four times") {
            val controllers = controllers(376)
            for (revision in 1L..5L) {
                reached(controllers, Revision(revision)) shouldBe controllers.keys
                controllers.values.forEach { it.children(Revision(revision), controllers.keys).size shouldBeLessThanOrEqual 4 }
            }
        }

        test("when a watcher goes another takes its place") {
            val controllers = controllers(10)
            val watcher = controllers.filterValues { it.shouldWatch(controllers.keys) }.keys.first()
            val left = controllers.keys - watcher
            left.count { controllers.getValue(it).shouldWatch(left) } shouldBe 2
        }
    })
