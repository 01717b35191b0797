package lagoonrudder.control

import arrow.core.getOrElse
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.model.Revision
import lagoonrudder.model.objectSet
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private fun objectsWith(customers: Int): ObjectSet = objectSet { repeat(customers) { customer("customer-$it") } }

private fun ConfigurationController.offerFullSet(
    revision: Long,
    objects: ObjectSet,
): ConfigurationOutcome {
    val checked = CheckedSet.ofFullSet(ObjectSnapshot(Revision(revision), objects), current, somePeer)
    return offer(checked.getOrElse { error(it.describe()) })
}

class ConfigurationControllerTest :
    FunSpec({
        test("an older set never replaces a newer one") {
            val controller = ConfigurationController(strictInvariants())
            controller.offerFullSet(5, objectsWith(2))
            controller.offerFullSet(4, objectsWith(9)) shouldBe ConfigurationOutcome.Superseded(Revision(5), conflicting = false)
            controller.current.revision shouldBe Revision(5)
        }

        test("of two sets with the same revision the same one wins in either order of arrival") {
            val one = objectsWith(1)
            val two = objectsWith(2)
            val digests =
                listOf(listOf(one, two), listOf(two, one)).map { order ->
                    val controller = ConfigurationController(strictInvariants())
                    order.forEach { controller.offerFullSet(7, it) }
                    controller.current.digest
                }
            digests.distinct().size shouldBe 1
        }

        test("a set that fails validation can't be offered") {
            val broken = objectSet { domain("ost", region = "nowhere") }
            CheckedSet.ofFullSet(ObjectSnapshot(Revision(1), broken), ObjectSnapshot.EMPTY, somePeer).isLeft() shouldBe true
        }

        test("changes that don't result in their digest are rejected") {
            val controller = ConfigurationController(strictInvariants())
            controller.offerFullSet(1, objectsWith(1))
            val other = ConfigurationController(strictInvariants())
            other.offerFullSet(1, objectsWith(1))
            val valid = other.offerFullSet(2, objectsWith(3)).shouldBeInstanceOf<ConfigurationOutcome.Accepted>().changes
            val damaged = valid.copy(changes = valid.changes.copy(changed = valid.changes.changed.drop(1)))
            CheckedSet.ofChanges(damaged, controller.current, somePeer).isLeft() shouldBe true
            CheckedSet.ofChanges(valid, controller.current, somePeer).isRight() shouldBe true
        }

        test("combined changes lead from any recent set to the active one") {
            val random = Random(11)
            val controller = ConfigurationController(strictInvariants())
            val history = mutableListOf<ObjectSnapshot>()
            for (revision in 1L..30L) {
                controller.offerFullSet(revision, objectsWith(random.nextInt(1, 12)))
                history += controller.current
            }
            for (base in history.takeLast(20).dropLast(1)) {
                val changes = checkNotNull(controller.changesSince(base.revision, base.digest))
                CheckedSet.ofChanges(changes, base, somePeer).map { it.set.digest }.getOrNull() shouldBe controller.current.digest
            }
        }

        test("a set validated against a base that was replaced must be validated again") {
            val controller = ConfigurationController(strictInvariants())
            val checked = CheckedSet.ofFullSet(ObjectSnapshot(Revision(2), objectsWith(1)), controller.current, somePeer).getOrNull()!!
            controller.offerFullSet(1, objectsWith(2))
            controller.offer(checked) shouldBe ConfigurationOutcome.BaseChanged
        }

        test("after a pause nothing is served until the configuration is confirmed or the time limit has passed") {
            val controller = ConfigurationController(strictInvariants())
            controller.offerFullSet(1, objectsWith(1))
            controller.mayServe(Duration.ZERO) shouldBe false
            controller.confirm()
            controller.mayServe(1.seconds) shouldBe true
            controller.requireConfirmation(10.seconds, 1.seconds)
            controller.mayServe(10.seconds) shouldBe false
            controller.mayServe(11.seconds) shouldBe true
        }
    })
