package lagoonrudder.control

import arrow.core.getOrElse
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.Revision
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.model.objectSet
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private fun objectsWith(customers: Int): ObjectSet = objectSet { repeat(customers) { customer("customer-$it") } }

private fun ConfigurationController.offerWhole(
    revision: Long,
    objects: ObjectSet,
): ConfigurationOutcome {
    val checked = CheckedSet.ofFullSet(ObjectSnapshot(Revision(revision), objects), current, somePeer)
    return offer(checked.getOrElse { error(it.describe()) })
}

class ConfigurationControllerTest :
    FunSpec({
        test("an older set never displaces a newer one") {
            val controller = ConfigurationController(strictInvariants())
            controller.offerWhole(5, objectsWith(2))
            controller.offerWhole(4, objectsWith(9)) shouldBe ConfigurationOutcome.Superseded(Revision(5), conflicting = false)
            controller.current.revision shouldBe Revision(5)
        }

        test("two sets with one revision settle alike in whatever order they come") {
            val one = objectsWith(1)
            val two = objectsWith(2)
            val settled =
                listOf(listOf(one, two), listOf(two, one)).map { order ->
                    val controller = ConfigurationController(strictInvariants())
                    order.forEach { controller.offerWhole(7, it) }
                    controller.current.digest
                }
            settled.distinct().size shouldBe 1
        }

        test("a set that fails the check is not even offered") {
            val broken = objectSet { domain("ost", region = "nowhere") }
            CheckedSet.ofFullSet(ObjectSnapshot(Revision(1), broken), ObjectSnapshot.EMPTY, somePeer).isLeft() shouldBe true
        }

        test("changes whose digest does not fit are damaged") {
            val controller = ConfigurationController(strictInvariants())
            controller.offerWhole(1, objectsWith(1))
            val other = ConfigurationController(strictInvariants())
            other.offerWhole(1, objectsWith(1))
            val good = other.offerWhole(2, objectsWith(3)).shouldBeInstanceOf<ConfigurationOutcome.Accepted>().changes
            val damaged = good.copy(changes = good.changes.copy(changed = good.changes.changed.drop(1)))
            CheckedSet.ofChanges(damaged, controller.current, somePeer).isLeft() shouldBe true
            CheckedSet.ofChanges(good, controller.current, somePeer).isRight() shouldBe true
        }

        test("changes over several revisions lead from any recent set to the one in force") {
            val random = Random(11)
            val controller = ConfigurationController(strictInvariants())
            val history = mutableListOf<ObjectSnapshot>()
            for (revision in 1L..30L) {
                controller.offerWhole(revision, objectsWith(random.nextInt(1, 12)))
                history += controller.current
            }
            for (old in history.takeLast(20).dropLast(1)) {
                val changes = checkNotNull(controller.changesSince(old.revision, old.digest))
                CheckedSet.ofChanges(changes, old, somePeer).map { it.set.digest }.getOrNull() shouldBe controller.current.digest
            }
        }

        test("a check against a set that was replaced meanwhile is made again") {
            val controller = ConfigurationController(strictInvariants())
            val checked = CheckedSet.ofFullSet(ObjectSnapshot(Revision(2), objectsWith(1)), controller.current, somePeer).getOrNull()!!
            controller.offerWhole(1, objectsWith(2))
            controller.offer(checked) shouldBe ConfigurationOutcome.BaseChanged
        }

        test("after a pause nothing is served until peers confirmed, or the time for that is over") {
            val controller = ConfigurationController(strictInvariants())
            controller.offerWhole(1, objectsWith(1))
            controller.mayServe(Duration.ZERO) shouldBe false
            controller.confirm()
            controller.mayServe(1.seconds) shouldBe true
            controller.requireConfirmation(10.seconds, 1.seconds)
            controller.mayServe(10.seconds) shouldBe false
            controller.mayServe(11.seconds) shouldBe true
        }
    })
