package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import lagoonrudder.control.strictInvariants
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoreViewControllerTest :
    FunSpec({
        val start = 10.seconds

        test("an older configuration never takes the place of a newer one, whoever offers it") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(item("op/config", 7, StoreRecord.Configuration(servingSet(9)))), 7, start)
            storeView.applyChanges(listOf(item("op/config", 5, StoreRecord.Configuration(servingSet(4)))), 8, start)
            storeView.serving?.revision?.number shouldBe 9
        }

        test("a stale whole read changes nothing") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 4)), 9, start)
            storeView.applySnapshot(emptyList(), 6, start)
            storeView.backEnds.map { it.id.text } shouldContainExactly listOf("a")
        }

        test("a whole read after lost history takes away what is no longer there") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 4), registered(backEnd("b"), 5)), 5, start)
            storeView.applySnapshot(listOf(registered(backEnd("b"), 5)), 20, start)
            storeView.backEnds.map { it.id.text } shouldContainExactly listOf("b")
        }

        test("an entry that lapsed while the store was away stays until its grace ends, and for good when it is back") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 1), registered(backEnd("b"), 2)), 2, start)
            storeView.onStoreUnavailable(start)
            storeView.applyChanges(listOf(item("servers/a", 3, null), item("servers/b", 4, null)), 4, start + 100.milliseconds)
            storeView.backEnds.size shouldBe 2
            storeView.applyChanges(listOf(registered(backEnd("b"), 5)), 5, start + 1.seconds)
            storeView.expire(start + 2.seconds).shouldBe(emptyList())
            storeView.expire(start + 3.seconds) shouldContainExactly listOf(TargetId("a"))
            storeView.backEnds.map { it.id.text } shouldContainExactly listOf("b")
        }

        test("an entry that is removed while the store is sound goes at once") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 1)), 1, start)
            storeView.applyChanges(listOf(item("servers/a", 2, null)), 2, start).removed shouldContainExactly listOf(TargetId("a"))
            storeView.backEnd(TargetId("a")).shouldBeNull()
        }

        test("an entry that can no longer be read names no back end") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 1)), 1, start)
            storeView.applyChanges(listOf(item("servers/a", 2, StoreRecord.Unreadable("field slots"))), 2, start).unusable.size shouldBe 1
            storeView.backEnds.size shouldBe 0
        }

        test("a declared version only rises") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(item("op/version/model", 3, StoreRecord.VersionDeclaration(MODEL, WeightNumber(2)))), 3, start)
            storeView.applyChanges(listOf(item("op/version/model", 4, StoreRecord.VersionDeclaration(MODEL, WeightNumber(1)))), 4, start + 1.seconds)
            storeView.declared(MODEL).shouldNotBeNull().number shouldBe WeightNumber(2)
        }

        test("a version that was declared before the start counts as declared long ago") {
            val storeView = StoreViewController(strictInvariants(), ageAtStart = 6.seconds)
            storeView.applyChanges(listOf(item("op/version/model", 3, StoreRecord.VersionDeclaration(MODEL, WeightNumber(2)))), 3, start)
            storeView.declaredAsOf(MODEL, start - 6.seconds).shouldNotBeNull().number shouldBe WeightNumber(2)
        }

        test("an evacuated failure domain is taken back when its item goes") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(item("op/evacuate/near", 3, StoreRecord.DomainEvacuation(NEAR))), 3, start).evacuated shouldBe setOf(NEAR)
            storeView.applyChanges(listOf(item("op/evacuate/near", 4, null)), 4, start).evacuated shouldBe emptySet()
        }

        test("a peer gets what changed after its revision, removals too") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 1), registered(backEnd("b"), 2)), 2, start)
            storeView.applyChanges(listOf(item("servers/a", 3, null)), 3, start)
            storeView.changesSince(1).map { it.key to (it.value == null) } shouldContainExactlyInAnyOrder
                listOf("servers/a" to true, "servers/b" to false)
        }

        test("after a pause nothing is confirmed until the store or a peer answers") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(item("op/config", 1, StoreRecord.Configuration(servingSet(1)))), 1, start)
            storeView.confirmed shouldBe true
            storeView.requireConfirmation()
            storeView.confirmed shouldBe false
            storeView.applyChanges(emptyList(), 1, start + 1.seconds)
            storeView.confirmed shouldBe true
        }

        test("an entry that lapsed and came back within one answer of the store stays") {
            for (isDisturbed in listOf(true, false)) {
                val storeView = StoreViewController(strictInvariants())
                storeView.applyChanges(listOf(registered(backEnd("a"), 2)), 2, 1.seconds)
                if (isDisturbed) storeView.onStoreUnavailable(5.seconds)
                val removed = storeView.applyChanges(listOf(item("servers/a", 3, null), registered(backEnd("a"), 4)), 4, 6.seconds).removed
                removed.shouldBeEmpty()
                storeView.expire(60.seconds).shouldBeEmpty()
                storeView.backEnd(TargetId("a")).shouldNotBeNull()
            }
        }

        test("an entry that a peer with a sound store says is gone goes at once, although this process's own store is away") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 2)), 2, 1.seconds)
            storeView.onStoreUnavailable(5.seconds)
            storeView.applySettledChanges(listOf(item("servers/a", 3, null)), 3, 5.seconds).removed shouldContainExactly listOf(TargetId("a"))
            storeView.backEnd(TargetId("a")).shouldBeNull()
        }

        test("an entry that may have lapsed with the store is told to peers only once it is gone") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 2), registered(backEnd("b"), 3)), 3, 1.seconds)
            storeView.onStoreUnavailable(5.seconds)
            storeView.applyChanges(listOf(item("servers/a", 4, null), registered(backEnd("b"), 5)), 5, 5.seconds)
            storeView.settledRevision shouldBe 3
            storeView.changesSince(3).map { it.key } shouldContainExactly listOf("servers/b")
            storeView.expire(60.seconds)
            storeView.settledRevision shouldBe 5
            storeView.changesSince(3).map { it.key }.sorted() shouldContainExactly listOf("servers/a", "servers/b")
        }
    })
