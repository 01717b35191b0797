package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withTests
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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoreViewControllerTest :
    FunSpec({
        val start = 10.seconds

        test("an older configuration never replaces a newer one, whatever its source") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(item("op/config", 7, StoreRecord.Configuration(servingSet(9)))), 7, start)
            storeView.applyChanges(listOf(item("op/config", 5, StoreRecord.Configuration(servingSet(4)))), 8, start)
            storeView.serving?.revision?.number shouldBe 9
        }

        test("a stale full read changes nothing") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 4)), 9, start)
            storeView.applySnapshot(emptyList(), 6, start)
            storeView.backEnds.map { it.id.text } shouldContainExactly listOf("a")
        }

        test("a full read after lost history removes items that no longer exist") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 4), registered(backEnd("b"), 5)), 5, start)
            storeView.applySnapshot(listOf(registered(backEnd("b"), 5)), 20, start)
            storeView.backEnds.map { it.id.text } shouldContainExactly listOf("b")
        }

        test("a registration that expired while the store was unavailable stays for a grace period, and permanently if it is renewed") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 1), registered(backEnd("b"), 2)), 2, start)
            storeView.onStoreBack(start)
            storeView.applyChanges(listOf(item("servers/a", 3, null), item("servers/b", 4, null)), 4, start + 100.milliseconds)
            storeView.backEnds.size shouldBe 2
            storeView.applyChanges(listOf(registered(backEnd("b"), 5)), 5, start + 1.seconds)
            storeView.expire(start + 2.seconds).shouldBe(emptyList())
            storeView.expire(start + 3.seconds) shouldContainExactly listOf(TargetId("a"))
            storeView.backEnds.map { it.id.text } shouldContainExactly listOf("b")
        }

        context("what a daemon has heard of the store decides whether a removal that it sees waits") {
            val seenAt = 20.seconds

            /** The store answers every second from [start] to [until]. */
            fun StoreViewController.hearUntil(until: Duration) {
                for (second in start.inWholeSeconds..until.inWholeSeconds) onStoreHeard(second.seconds)
            }

            /** [heard] is what the daemon knows when it sees the removal; [waits] whether the back end stays meanwhile. */
            class Case(
                val name: String,
                val waits: Boolean,
                val heard: StoreViewController.() -> Unit,
            )
            withTests(
                nameFn = { it.name },
                Case("the store answered shortly before", waits = false) { hearUntil(seenAt - 1.seconds) },
                Case("a call got no response for as long as one may take", waits = false) {
                    hearUntil(seenAt - 2.seconds)
                    onStoreHeard(seenAt - 1_850.milliseconds)
                },
                Case("it was away for four seconds", waits = true) { hearUntil(seenAt - 4.seconds) },
                Case("a peer heard of its return first", waits = true) {
                    hearUntil(seenAt - 5.seconds)
                    onStoreHeard(seenAt - 1.seconds)
                },
                Case("it returned three seconds ago", waits = false) {
                    hearUntil(seenAt - 8.seconds)
                    listOf(3, 2, 1).forEach { onStoreHeard(seenAt - it.seconds) }
                },
                Case("this process was paused for as long as an outage", waits = true) {
                    hearUntil(seenAt - 1.seconds)
                    onPaused(5.seconds, uncounted = Duration.ZERO, 12.seconds)
                },
                Case("this process was paused for a second", waits = false) {
                    hearUntil(seenAt - 1.seconds)
                    onPaused(1.seconds, uncounted = Duration.ZERO, 12.seconds)
                },
                Case("an old word of it came late", waits = false) {
                    hearUntil(seenAt - 1.seconds)
                    onStoreHeard(seenAt - 9.seconds)
                },
            ) { case ->
                val storeView = StoreViewController(strictInvariants())
                storeView.applyChanges(listOf(registered(backEnd("a"), 1)), 1, start)
                case.heard(storeView)
                storeView.onStoreHeard(seenAt)
                storeView.applyChanges(listOf(item("servers/a", 2, null)), 2, seenAt)
                (storeView.backEnd(TargetId("a")) != null) shouldBe case.waits
                storeView.settledPosition shouldBe StorePosition.unstated(if (case.waits) 1 else 2)
                storeView.expire(seenAt + 2_500.milliseconds)
                storeView.backEnd(TargetId("a")).shouldBeNull()
            }
        }

        // A daemon that had just started took its first contact for the end of an outage, although its peers had heard the store before.
        context("what others know of the store decides how long a daemon that has just started lets a removal wait") {
            val startedAt = 20.seconds

            class Case(
                val name: String,
                val goneAt: Duration,
                val heard: StoreContact?,
            )
            withTests(
                nameFn = { it.name },
                Case("nothing", goneAt = startedAt + 2_300.milliseconds, heard = null),
                Case("it has answered all the while", goneAt = startedAt + 1.seconds, heard = StoreContact(2.seconds, 20.9.seconds)),
                Case("it answered shortly before", goneAt = startedAt + 1.seconds, heard = StoreContact(2.seconds, 18.seconds)),
                Case("it answered long before", goneAt = startedAt + 2_300.milliseconds, heard = StoreContact(2.seconds, 17.seconds)),
                Case(
                    "it returned a second before",
                    goneAt = startedAt + 1_300.milliseconds,
                    heard = StoreContact(19.seconds, 20.5.seconds),
                ),
            ) { case ->
                val storeView = StoreViewController(strictInvariants())
                storeView.onStoreHeard(startedAt)
                storeView.applySnapshot(listOf(registered(backEnd("a"), 1)), 1, startedAt)
                storeView.applyChanges(listOf(item("servers/a", 2, null)), 2, startedAt + 100.milliseconds)
                storeView.settledPosition shouldBe StorePosition.unstated(1)
                case.heard?.let { storeView.onStoreHeard(it) }
                storeView.expire(case.goneAt - 1.milliseconds).isEmpty() shouldBe (case.goneAt > startedAt + 1.seconds)
                storeView.expire(case.goneAt)
                storeView.backEnd(TargetId("a")).shouldBeNull()
                storeView.settledPosition shouldBe StorePosition.unstated(2)
            }
        }

        // A daemon that started after an outage knows no registration that expired in it, and its peers dropped them for that.
        test("a registration that a peer doesn't know because it started after an outage is kept until it is back") {
            val running = StoreViewController(strictInvariants())
            running.onStoreHeard(StoreContact(1.seconds, start))
            running.applyChanges(listOf(registered(backEnd("a"), 1), registered(backEnd("b"), 2)), 2, start)
            val started = StoreViewController(strictInvariants())
            started.onStoreHeard(start + 5.seconds)
            started.applySnapshot(listOf(registered(backEnd("a"), 1)), 3, start + 5.seconds)
            running.onStoreHeard(checkNotNull(started.storeContact))
            running.applySettledSnapshot(listOf(registered(backEnd("a"), 1)), 3, start + 5.1.seconds).removed.shouldBeEmpty()
            running.settledPosition shouldBe StorePosition.unstated(2)
            running.applyChanges(listOf(registered(backEnd("b"), 4)), 4, start + 7.seconds)
            running.expire(start + 10.seconds).shouldBeEmpty()
            running.backEnds.map { it.id.text } shouldContainExactlyInAnyOrder listOf("a", "b")
        }

        // Every removal that followed a start of all daemons waited, also of back ends that had registered after it.
        test("a registration that was written after the store's first answer is removed immediately, an older one is kept for a while") {
            val storeView = StoreViewController(strictInvariants())
            for (since in listOf(start, start + 20.seconds)) {
                val revision = since.inWholeSeconds
                storeView.onStoreHeard(since)
                storeView.applySnapshot(listOf(registered(backEnd("a"), revision)), revision, since)
                storeView.applyChanges(listOf(registered(backEnd("b"), revision + 1)), revision + 1, since + 100.milliseconds)
                val removals = listOf(item("servers/a", revision + 2, null), item("servers/b", revision + 3, null))
                val change = storeView.applyChanges(removals, revision + 3, since + 200.milliseconds)
                change.removed shouldContainExactly listOf(TargetId("b"))
                storeView.expire(since + 3.seconds) shouldContainExactly listOf(TargetId("a"))
            }
        }

        test("a registration that is removed while the store is available is removed immediately") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 1)), 1, start)
            storeView.applyChanges(listOf(item("servers/a", 2, null)), 2, start).removed shouldContainExactly listOf(TargetId("a"))
            storeView.backEnd(TargetId("a")).shouldBeNull()
        }

        test("a registration that becomes unreadable removes its back end") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 1)), 1, start)
            storeView.applyChanges(listOf(item("servers/a", 2, StoreRecord.Unreadable("field slots"))), 2, start).unusable.size shouldBe 1
            storeView.backEnds.size shouldBe 0
        }

        test("a declared version never decreases") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(item("op/version/model", 3, StoreRecord.VersionDeclaration(MODEL, WeightNumber(2)))), 3, start)
            storeView.applyChanges(
                listOf(item("op/version/model", 4, StoreRecord.VersionDeclaration(MODEL, WeightNumber(1)))),
                4,
                start + 1.seconds,
            )
            storeView.versions.newest[MODEL] shouldBe WeightNumber(2)
        }

        test("a version that was declared before the start gets the assumed age") {
            val storeView = StoreViewController(strictInvariants(), VERSION_LIMIT)
            storeView.applyChanges(listOf(item("op/version/model", 3, StoreRecord.VersionDeclaration(MODEL, WeightNumber(2)))), 3, start)
            storeView.versions
                .bindingAt(MODEL, start - 6.seconds + VERSION_LIMIT)
                .shouldNotBeNull()
                .number shouldBe WeightNumber(2)
        }

        test("a failure domain is no longer evacuated after its item is removed") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(item("op/evacuate/near", 3, StoreRecord.DomainEvacuation(NEAR))), 3, start).evacuated shouldBe
                setOf(NEAR)
            storeView.applyChanges(listOf(item("op/evacuate/near", 4, null)), 4, start).evacuated shouldBe emptySet()
        }

        test("a peer gets the changes after its revision, including removals") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 1), registered(backEnd("b"), 2)), 2, start)
            storeView.applyChanges(listOf(item("servers/a", 3, null)), 3, start)
            storeView.itemsSince(1).items.map { it.key to (it.value == null) } shouldContainExactlyInAnyOrder
                listOf("servers/a" to true, "servers/b" to false)
        }

        test("after a pause the view is unconfirmed until the store or a peer responds") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(item("op/config", 1, StoreRecord.Configuration(servingSet(1)))), 1, start)
            storeView.confirmed shouldBe true
            storeView.onPaused(1.seconds, uncounted = Duration.ZERO, start + 1.seconds)
            storeView.confirmed shouldBe false
            storeView.applyChanges(emptyList(), 1, start + 1.seconds)
            storeView.confirmed shouldBe true
        }

        test("a registration that expired and was renewed within one store response stays") {
            for (storeUnavailable in listOf(true, false)) {
                val storeView = StoreViewController(strictInvariants())
                storeView.applyChanges(listOf(registered(backEnd("a"), 2)), 2, 1.seconds)
                if (storeUnavailable) storeView.onStoreBack(5.seconds)
                val removed = storeView.applyChanges(listOf(item("servers/a", 3, null), registered(backEnd("a"), 4)), 4, 6.seconds).removed
                removed.shouldBeEmpty()
                storeView.expire(60.seconds).shouldBeEmpty()
                storeView.backEnd(TargetId("a")).shouldNotBeNull()
            }
        }

        test("a removal settled by a peer takes effect immediately, although this process can't reach the store") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 2)), 2, 1.seconds)
            storeView.onStoreBack(5.seconds)
            storeView.applySettledChanges(listOf(item("servers/a", 3, null)), 3, 5.seconds).removed shouldContainExactly
                listOf(TargetId("a"))
            storeView.backEnd(TargetId("a")).shouldBeNull()
        }

        test("peers learn of a pending removal only after it has taken effect") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 2), registered(backEnd("b"), 3)), 3, 1.seconds)
            storeView.onStoreBack(5.seconds)
            storeView.applyChanges(listOf(item("servers/a", 4, null), registered(backEnd("b"), 5)), 5, 5.seconds)
            storeView.settledPosition shouldBe StorePosition.unstated(3)
            storeView.itemsSince(3).items.map { it.key } shouldContainExactly listOf("servers/b")
            storeView.expire(60.seconds)
            storeView.settledPosition shouldBe StorePosition.unstated(5)
            storeView
                .itemsSince(3)
                .items
                .map { it.key }
                .sorted() shouldContainExactly listOf("servers/a", "servers/b")
        }

        // A daemon that read all items after the removal has no tombstone of it, and sent none to those that lagged behind.
        test("a removal that a daemon missed reaches it through a peer that has started since") {
            val lagging = StoreViewController(strictInvariants())
            val evacuation = item("op/evacuate/near", 3, StoreRecord.DomainEvacuation(NEAR))
            lagging.applyChanges(listOf(registered(backEnd("a"), 1), registered(backEnd("b"), 2), evacuation), 3, start)
            val started = StoreViewController(strictInvariants())
            started.applySnapshot(listOf(registered(backEnd("b"), 2)), 6, start)
            val sent = started.itemsSince(lagging.at)
            sent.isComplete shouldBe true
            sent.items.map { it.key } shouldContainExactly listOf("servers/b")
            val change = lagging.applySettledSnapshot(listOf(registered(backEnd("b"), 2)), started.settledPosition, start)
            change.removed shouldContainExactly listOf(TargetId("a"))
            change.evacuated shouldBe emptySet()
            lagging.backEnds.map { it.id.text } shouldContainExactly listOf("b")
            started.itemsSince(lagging.at).isComplete shouldBe false
        }

        test("all items for a peer include a back end whose removal waits, and an item that the peer knows in a later form stays") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applySnapshot(listOf(registered(backEnd("a"), 4), registered(backEnd("b"), 5)), 6, 1.seconds)
            storeView.onStoreBack(5.seconds)
            storeView.applyChanges(listOf(item("servers/a", 8, null)), 8, 5.seconds)
            val sent = storeView.itemsSince(2)
            sent.isComplete shouldBe true
            sent.items.map { it.key to it.position.revision.number } shouldContainExactlyInAnyOrder
                listOf("servers/a" to 4L, "servers/b" to 5L)
            val peer = StoreViewController(strictInvariants())
            peer.applyChanges(listOf(registered(backEnd("c"), 9)), 9, 5.seconds)
            peer.applySettledSnapshot(
                listOf(registered(backEnd("a"), 4), registered(backEnd("b"), 5)),
                storeView.settledPosition,
                5.seconds,
            )
            peer.backEnds.map { it.id.text } shouldContainExactlyInAnyOrder listOf("a", "b", "c")
        }

        test("an odd item removes no back end but the one of its own key") {
            for (key in listOf("servers/other/a", "op/version/a", "op/evacuate/a", "other/a", "/a")) {
                for (odd in listOf(StoreRecord.Unreadable("field slots"), null)) {
                    val storeView = StoreViewController(strictInvariants())
                    storeView.applyChanges(listOf(registered(backEnd("a"), 1)), 1, start)
                    val change = DecodedItem(StoreItem(key, 2, ByteArray(0)), odd)
                    storeView.applyChanges(listOf(change), 2, start).removed.shouldBeEmpty()
                    storeView.applyChanges(listOf(item(key, 3, null)), 3, start).removed.shouldBeEmpty()
                    storeView.backEnd(TargetId("a")).shouldNotBeNull()
                }
            }
        }

        test("a back end whose registration became unreadable is back with its next registration, and others hold meanwhile") {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(registered(backEnd("a"), 1), registered(backEnd("b"), 2)), 2, start)
            val odd = item("servers/a", 3, StoreRecord.Unreadable("field slots"))
            storeView.applyChanges(listOf(odd, registered(backEnd("b"), 4)), 4, start).removed shouldContainExactly listOf(TargetId("a"))
            storeView.backEnds.map { it.id.text } shouldContainExactly listOf("b")
            storeView.applyChanges(listOf(registered(backEnd("a"), 5)), 5, start).added.size shouldBe 1
            storeView.backEnds.map { it.id.text } shouldContainExactlyInAnyOrder listOf("a", "b")
        }
    })
