package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import lagoonrudder.control.strictInvariants
import lagoonrudder.model.Failure
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Step
import lagoonrudder.model.StoreRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoreReaderControllerTest :
    FunSpec({
        val store = Peer(PeerRole.PLATFORM, "store")

        fun reader() = StoreReaderController(PeerController(peer("self"), emptyList()), StoreViewController(strictInvariants()))

        test("the first call reads all items, and the next ones wait for changes") {
            val reader = reader()
            reader.next(1.seconds) shouldBe StoreStep.ReadAll
            reader.onItemsRead(1.seconds)
            reader.next(1.seconds).shouldBeInstanceOf<StoreStep.Watch>()
            reader.onWatched(changes = 3, 2.seconds)
            reader.next(2.seconds).shouldBeInstanceOf<StoreStep.Rest>()
            reader.next(2.3.seconds).shouldBeInstanceOf<StoreStep.Watch>()
        }

        test("a cut watch is followed by a call that returns at once, and only a second failure loses the store") {
            val reader = reader()
            reader.onItemsRead(1.seconds)
            val cut = Failure.Interrupted(Step.READ_PLATFORM, store, "connection closed")
            reader.onFailure(cut, 2.seconds) shouldBe false
            reader.next(2.seconds).shouldBeInstanceOf<StoreStep.Watch>().wait shouldBe Duration.ZERO
            reader.contactAge(2.seconds) shouldBe 1.seconds
            reader.onFailure(cut, 2.1.seconds) shouldBe true
            reader.contactAge(2.1.seconds) shouldBe null
            reader.next(2.1.seconds).shouldBeInstanceOf<StoreStep.Rest>()
            reader.onWatched(changes = 0, 3.1.seconds) shouldBe 1.seconds
        }

        // A watch at a revision of the lost history is answered without the changes that were written at the same revisions again.
        test("after a response from another era all items are read, at once unless the era is an earlier one") {
            val storeView = StoreViewController(strictInvariants())
            val reader = StoreReaderController(PeerController(peer("self"), emptyList()), storeView)
            val restored = StorePosition(StoreEra(2), StoreRevision(5))
            storeView.applySnapshot(emptyList(), restored, 1.seconds)
            reader.onItemsRead(1.seconds)
            val watch = reader.next(1.seconds).shouldBeInstanceOf<StoreStep.Watch>()
            watch.isContinuedBy(restored.copy(revision = StoreRevision(9))) shouldBe true
            watch.isContinuedBy(StorePosition(StoreEra(3), StoreRevision(5))) shouldBe false
            reader.onOtherEra(StoreEra(3), 2.seconds)
            reader.next(2.seconds) shouldBe StoreStep.ReadAll
            reader.onOtherEra(StoreEra(1), 3.seconds)
            reader.next(3.seconds).shouldBeInstanceOf<StoreStep.Rest>()
            reader.next(3.3.seconds) shouldBe StoreStep.ReadAll
        }

        // A watch shows no removal of what the copy lacks, so a back end that was pending at a peer stayed for good.
        test("a daemon that heard of an era from a peer reads all items before it watches") {
            val storeView = StoreViewController(strictInvariants())
            val reader = StoreReaderController(PeerController(peer("self"), emptyList()), storeView)
            reader.onItemsRead(1.seconds)
            storeView.applySettledSnapshot(emptyList(), StorePosition(StoreEra(2), StoreRevision(5)), 1.seconds)
            reader.next(1.seconds) shouldBe StoreStep.ReadAll
            storeView.applySnapshot(emptyList(), StorePosition(StoreEra(2), StoreRevision(6)), 1.seconds)
            reader.next(1.seconds).shouldBeInstanceOf<StoreStep.Watch>()
        }

        test("a refusal loses the store at once") {
            val reader = reader()
            reader.onItemsRead(1.seconds)
            reader.onFailure(Failure.Declined(Step.READ_PLATFORM, store, "status 503"), 2.seconds) shouldBe true
        }

        test("a daemon that reads the store again calls it at once, whatever failed before") {
            val peers = PeerController(peer("self"), emptyList())
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(item("op/config", 1, StoreRecord.Configuration(servingSet(1)))), 1, 1.seconds)
            val reader = StoreReaderController(peers, storeView)
            val others = (1..9).map { peer("near-$it") }
            others.forEach { peers.onGossipReceived(it, LoadReport(emptyMap(), 1), null, 1.9.seconds) }
            reader.onFailure(Failure.Declined(Step.READ_PLATFORM, store, "status 503"), 2.seconds)
            reader.next(2.seconds).shouldBeInstanceOf<StoreStep.Rest>()
            others.forEach { peers.onGossipReceived(it, LoadReport(emptyMap(), 1), 10.milliseconds, 2.seconds) }
            reader.mustRead(2.01.seconds) shouldBe false
            reader.next(2.01.seconds)
            others.forEach { peers.onGossipReceived(it, LoadReport(emptyMap(), 1), null, 2.02.seconds) }
            reader.next(2.03.seconds) shouldBe StoreStep.ReadAll
        }

        test("after a response that can't be read all items are read") {
            val reader = reader()
            reader.onItemsRead(1.seconds)
            reader.onFailure(Failure.Damaged(Step.READ_PLATFORM, store, "too long"), 2.seconds)
            reader.next(2.seconds + 500.milliseconds) shouldBe StoreStep.ReadAll
        }
    })
