/**
 * Guards against a store that was restored from a copy: what it brings back must not be used again, what it lacks must not be lost before
 * it is written again, and revisions that are given out twice must not hide the later state.
 */
package lagoonrudder.control.direct

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import lagoonrudder.control.strictInvariants
import lagoonrudder.model.BackEnd
import lagoonrudder.model.Revision
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val A = TargetId("a")

private fun position(
    era: Long,
    revision: Long,
) = StorePosition(StoreEra(era), StoreRevision(revision))

private fun itemAt(
    position: StorePosition,
    key: String,
    published: StoreRecord?,
) = DecodedItem(StoreItem(key, position, if (published == null) null else ByteArray(0)), published)

private fun configuration(
    position: StorePosition,
    version: Long,
) = itemAt(position, "op/config", StoreRecord.Configuration(servingSet(version)))

private fun registration(
    position: StorePosition,
    backEnd: BackEnd = backEnd("a"),
    sequence: Long? = null,
) = itemAt(position, "servers/${backEnd.id.text}", StoreRecord.Registered(backEnd, sequence))

private fun evacuation(position: StorePosition) = itemAt(position, "op/evacuate/near", StoreRecord.DomainEvacuation(NEAR))

/** The position of the store before it was restored, and of the copy. */
private val LOST = position(1, 500)
private val COPY = position(2, 100)
private val RESTORED_AT = 60.seconds

/** A daemon that has read [items] in the first era and has been in contact with the store since. */
private fun running(vararg items: DecodedItem) =
    StoreViewController(strictInvariants()).apply {
        onStoreHeard(StoreContact(10.seconds, RESTORED_AT))
        applySnapshot(items.toList(), LOST, 50.seconds)
    }

private fun StoreViewController.restore(
    vararg items: DecodedItem,
    at: StorePosition = COPY,
    now: Duration = RESTORED_AT,
) = applySnapshot(items.toList(), at, now)

/** Lets [receiver] learn all that it asks this daemon for at [now]. */
private fun StoreViewController.tell(
    receiver: StoreViewController,
    records: List<DecodedItem>,
    now: Duration,
) {
    val sent = itemsSince(receiver.at)
    val items = sent.items.map { item -> DecodedItem(item, records.firstOrNull { it.item === item }?.published) }
    if (sent.isComplete) {
        receiver.applySettledSnapshot(items, settledPosition, now)
    } else {
        receiver.applySettledChanges(items, settledPosition, now)
    }
}

class RestoredStoreTest :
    FunSpec({
        test("a position of a later era is later whatever its revision") {
            (position(2, 1) > position(1, 900)) shouldBe true
            (position(2, 3) > position(2, 2)) shouldBe true
        }

        // Running daemons returned to the copy's configuration after 3 s, so that a key which had been taken away worked again.
        for (writtenAfter in listOf(500.milliseconds, 3.seconds, 5.seconds, 1.minutes, Duration.INFINITE)) {
            test("an older configuration of the copy never applies, and the lost one is written again after $writtenAfter") {
                val view = running(configuration(LOST, 9))
                view.restore(configuration(COPY, 7)).serving shouldBe null
                val end = RESTORED_AT + minOf(writtenAfter, 10.minutes)
                var now = RESTORED_AT
                while (now < end) {
                    view.releaseKept(now).isEmpty shouldBe true
                    view.serving?.revision?.number shouldBe 9
                    view.keptConfiguration shouldBe KeptConfiguration(Revision(9), Revision(7), RESTORED_AT)
                    now += 100.milliseconds
                }
                if (writtenAfter.isFinite()) {
                    view.applyChanges(listOf(configuration(position(2, 101), 9)), position(2, 101), end).serving shouldBe null
                    view.keptConfiguration shouldBe null
                }
                view.serving?.revision?.number shouldBe 9
                val newer = listOf(configuration(position(2, 102), 12))
                view
                    .applyChanges(newer, position(2, 102), end)
                    .serving
                    ?.revision
                    ?.number shouldBe 12
                view.keptConfiguration shouldBe null
            }
        }

        test("a configuration that the copy lacks or holds in a form that can't be read stays, and is told") {
            val unreadable = itemAt(position(2, 60), "op/config", StoreRecord.Unreadable("field routes"))
            for (copy in listOf(emptyList(), listOf(unreadable))) {
                val lost = configuration(LOST, 9)
                val view = running(lost)
                val started = StoreViewController(strictInvariants())
                for (each in listOf(view, started)) each.restore(*copy.toTypedArray())
                view.serving?.revision?.number shouldBe 9
                view.keptConfiguration shouldBe KeptConfiguration(Revision(9), null, RESTORED_AT)
                view.tell(started, copy + lost, RESTORED_AT + 100.milliseconds)
                started.serving?.revision?.number shouldBe 9
                view.applyChanges(listOf(configuration(position(2, 101), 8)), position(2, 101), RESTORED_AT + 1.seconds)
                view.serving?.revision?.number shouldBe 9
            }
        }

        test("daemons that knew different configurations, or only the copy, agree on the newest at any time after the restore") {
            val records = listOf(configuration(LOST, 9), configuration(position(1, 450), 8), configuration(position(2, 90), 7))
            val newest = running(records[0])
            val behind = running(records[1])
            val started = StoreViewController(strictInvariants())
            val last = StoreViewController(strictInvariants())
            for (view in listOf(newest, behind, started, last)) view.restore(records[2])
            val later = RESTORED_AT + 20.seconds
            behind.isOutdatedBy(newest.at, newest.serving?.revision) shouldBe true
            newest.tell(behind, records, later)
            // The daemon that knew it first has ended meanwhile.
            behind.tell(started, records, later + 10.seconds)
            started.tell(last, records, later + 20.seconds)
            for (view in listOf(newest, behind, started, last)) {
                view.releaseKept(later + 1.minutes)
                view.serving?.revision?.number shouldBe 9
                newest.isOutdatedBy(view.at, view.serving?.revision) shouldBe false
            }
            withClue("told only to those that lack it") { last.itemsSince(COPY, Revision(9)).items.shouldBeEmpty() }
            last.applyChanges(listOf(configuration(position(2, 101), 8)), position(2, 101), later + 1.minutes)
            last.serving?.revision?.number shouldBe 9
        }

        test("a configuration that is written again stays, and one between the two does not apply in the time to write again") {
            val view = running(configuration(LOST, 9))
            view.restore(configuration(COPY, 7))
            view.applyChanges(listOf(configuration(position(2, 101), 8)), position(2, 101), RESTORED_AT + 1.seconds)
            view.serving?.revision?.number shouldBe 9
            view.applyChanges(listOf(configuration(position(2, 102), 9)), position(2, 102), RESTORED_AT + 2.seconds)
            view.releaseKept(RESTORED_AT + 4.seconds).isEmpty shouldBe true
            view.serving?.revision?.number shouldBe 9
        }

        test("the last configuration that could be read stays active as well") {
            val view = running(configuration(LOST, 9))
            val unreadable = itemAt(position(1, 501), "op/config", StoreRecord.Unreadable("field routes"))
            view.applyChanges(listOf(unreadable), position(1, 501), 55.seconds)
            view.restore(configuration(COPY, 7))
            view.serving?.revision?.number shouldBe 9
        }

        test("two restores in a row lose neither the configuration nor an evacuation") {
            val view = running(configuration(LOST, 9), evacuation(LOST))
            view.restore(configuration(COPY, 7))
            view.applyChanges(listOf(configuration(position(2, 101), 8)), position(2, 101), RESTORED_AT + 1.seconds)
            view.restore(configuration(position(3, 90), 6), at = position(3, 90), now = RESTORED_AT + 2.seconds)
            view.releaseKept(RESTORED_AT + 1.minutes).isEmpty shouldBe true
            view.serving?.revision?.number shouldBe 9
            view.keptConfiguration shouldBe KeptConfiguration(Revision(9), Revision(6), RESTORED_AT)
            view.evacuated shouldBe setOf(NEAR)
        }

        test("a registration that the copy lacks is kept until it is back, and dropped when it stays away") {
            val view = running(registration(LOST), registration(LOST, backEnd("b")))
            view.restore().removed.shouldBeEmpty()
            view.applyChanges(listOf(registration(position(2, 101))), position(2, 101), RESTORED_AT + 1.seconds)
            view.expire(RESTORED_AT + 2.2.seconds).shouldBeEmpty()
            view.expire(RESTORED_AT + 2.3.seconds) shouldContainExactly listOf(TargetId("b"))
            view.backEnds.map { it.id } shouldContainExactly listOf(A)
        }

        test("a back end that was known to be gone is not used again until it registers anew") {
            for (anew in listOf(registration(position(2, 101), sequence = 21), registration(position(2, 101), backEnd("a", born = 2)))) {
                val view = running(registration(position(1, 490), sequence = 20))
                view.applyChanges(listOf(itemAt(position(1, 501), "servers/a", null)), position(1, 501), 55.seconds)
                view.restore(registration(position(2, 40), sequence = 12))
                view.releaseKept(RESTORED_AT + 10.seconds)
                view.backEnd(A) shouldBe null
                view.applyChanges(listOf(anew), position(2, 101), RESTORED_AT + 10.seconds).added.size shouldBe 1
            }
        }

        test("a back end that registered anew before the first read of the restored store is used at once") {
            val view = running(registration(position(1, 490), sequence = 20))
            view.applyChanges(listOf(itemAt(position(1, 501), "servers/a", null)), position(1, 501), 55.seconds)
            view.restore(registration(COPY, backEnd("a", born = 2), sequence = 0)).added.map { it.born } shouldContainExactly listOf(2L)
        }

        // It took requests again three heartbeats after the restore, although it had not registered anew.
        test("a back end that was known to be leaving stays so until it registers anew or is gone") {
            fun restored() =
                running(registration(LOST, backEnd("a", leaving = true), sequence = 20)).apply {
                    restore(registration(position(2, 40), sequence = 12))
                    releaseKept(RESTORED_AT + 1.minutes)
                    backEnd(A)?.leaving shouldBe true
                }
            val later = RESTORED_AT + 1.minutes
            for (anew in listOf(registration(position(2, 101), sequence = 21), registration(position(2, 101), backEnd("a", born = 2)))) {
                val renewed = restored()
                renewed.applyChanges(listOf(anew), position(2, 101), later)
                renewed.backEnd(A)?.leaving shouldBe false
            }
            val gone = restored()
            gone.applyChanges(listOf(itemAt(position(2, 101), "servers/a", null)), position(2, 101), later).removed shouldContainExactly
                listOf(A)
        }

        test("what else a registration of the copy says applies once three heartbeats have passed without a new one") {
            val view = running(registration(LOST, backEnd("a", number = 2), sequence = 20))
            view.restore(registration(position(2, 40), backEnd("a", number = 1), sequence = 12))
            view.releaseKept(RESTORED_AT + 3.5.seconds)
            view.backEnd(A)?.weights?.number shouldBe WeightNumber(2)
            view.releaseKept(RESTORED_AT + 3.6.seconds)
            view.backEnd(A)?.weights?.number shouldBe WeightNumber(1)
        }

        // An evacuation ended 3 s after the restore, so requests went to the domain before it was taken back.
        test("an evacuation that the copy lacks stays until it ends in the store") {
            val later = RESTORED_AT + 1.minutes
            val view = running(evacuation(LOST))
            view.restore().evacuated shouldBe null
            view.releaseKept(later)
            view.evacuated shouldBe setOf(NEAR)
            view.applyChanges(listOf(evacuation(position(2, 101))), position(2, 101), later)
            view.releaseKept(later + 1.minutes)
            view.evacuated shouldBe setOf(NEAR)
            val ended = listOf(itemAt(position(2, 102), "op/evacuate/near", null))
            view.applyChanges(ended, position(2, 102), later + 1.minutes).evacuated shouldBe emptySet()
        }

        test("an evacuation that the operator does not write again beside other things has ended") {
            val far = itemAt(position(2, 101), "op/evacuate/far", StoreRecord.DomainEvacuation(FAR))
            val declared = itemAt(position(2, 101), "op/version/model", StoreRecord.VersionDeclaration(MODEL, WeightNumber(3)))
            for (written in listOf(configuration(position(2, 101), 9), far, declared)) {
                val view = running(configuration(LOST, 9), evacuation(LOST))
                view.restore(configuration(COPY, 7))
                val writtenAt = RESTORED_AT + 20.seconds
                view.applyChanges(listOf(written), position(2, 101), writtenAt)
                view.applyChanges(listOf(configuration(position(2, 102), 12)), position(2, 102), writtenAt + 9.seconds)
                view.releaseKept(writtenAt + 9.9.seconds)
                (NEAR in view.evacuated) shouldBe true
                view.releaseKept(writtenAt + 10.seconds)
                (NEAR in view.evacuated) shouldBe false
            }
        }

        test("an evacuation that the copy holds in a form that can't be read stays") {
            val view = running(evacuation(LOST))
            view.restore(itemAt(position(2, 60), "op/evacuate/near", StoreRecord.Unreadable("odd")))
            view.releaseKept(RESTORED_AT + 1.minutes)
            view.evacuated shouldBe setOf(NEAR)
        }

        test("what back ends write again says nothing about an evacuation") {
            val view = running(evacuation(LOST), registration(LOST))
            view.restore()
            view.applyChanges(listOf(registration(position(2, 101))), position(2, 101), RESTORED_AT + 1.seconds)
            view.releaseKept(RESTORED_AT + 1.minutes)
            view.evacuated shouldBe setOf(NEAR)
        }

        // One that the operator had taken back kept the domain empty until it was removed once more.
        test("an evacuation that the copy brings back applies only if it was not known to have ended, or once it is written again") {
            running().restore(evacuation(COPY)).evacuated shouldBe setOf(NEAR)
            val view = running(evacuation(position(1, 490)))
            view.applyChanges(listOf(itemAt(position(1, 501), "op/evacuate/near", null)), position(1, 501), 55.seconds)
            val copy = evacuation(position(2, 90))
            view.restore(copy).evacuated shouldBe null
            view.evacuated.shouldBeEmpty()
            val started = StoreViewController(strictInvariants())
            started.restore(copy).evacuated shouldBe setOf(NEAR)
            view.tell(started, listOf(copy), RESTORED_AT + 100.milliseconds)
            withClue("told to a daemon that started") { started.evacuated.shouldBeEmpty() }
            for (each in listOf(view, started)) {
                each.applyChanges(listOf(evacuation(position(2, 101))), position(2, 101), RESTORED_AT + 1.seconds)
                each.evacuated shouldBe setOf(NEAR)
            }
        }

        test("an evacuation that ends in the new era ends at once") {
            val view = running(evacuation(LOST))
            view.restore(evacuation(position(2, 90)))
            val ended = listOf(itemAt(position(2, 101), "op/evacuate/near", null))
            view.applyChanges(ended, position(2, 101), RESTORED_AT + 1.seconds).evacuated shouldBe emptySet()
        }

        test("a declared version that the copy lacks or has in an older form stays declared") {
            fun declared(
                position: StorePosition,
                number: Long,
            ) = itemAt(position, "op/version/model", StoreRecord.VersionDeclaration(MODEL, WeightNumber(number)))
            for (copy in listOf(emptyList(), listOf(declared(COPY, 2)))) {
                val view = running(declared(LOST, 3))
                view.applySnapshot(copy, COPY, RESTORED_AT)
                view.versions.newest[MODEL] shouldBe WeightNumber(3)
            }
        }

        test("what a store or peer of the earlier era says changes nothing, and doesn't confirm the view") {
            val view = running(configuration(LOST, 9))
            view.restore(configuration(COPY, 9))
            view.onPaused(100.milliseconds, uncounted = Duration.ZERO, RESTORED_AT)
            val late = position(1, 900)
            view.applyChanges(listOf(configuration(late, 11)), late, RESTORED_AT)
            view.applySettledChanges(listOf(registration(late)), late, RESTORED_AT)
            view.applySnapshot(emptyList(), late, RESTORED_AT)
            view.applySettledSnapshot(listOf(configuration(late, 11)), late, RESTORED_AT)
            view.serving?.revision?.number shouldBe 9
            view.backEnds.shouldBeEmpty()
            view.at shouldBe COPY
            view.confirmed shouldBe false
        }

        test("changes of a later era are not applied to the earlier history") {
            val view = running(configuration(LOST, 9))
            view.applyChanges(listOf(configuration(position(2, 600), 11)), position(2, 600), RESTORED_AT).isEmpty shouldBe true
            view.at shouldBe LOST
        }

        test("a follower that hears of the era from a peer gets all items, and keeps what it knew itself") {
            val gone = itemAt(position(1, 501), "servers/b", null)
            val items = arrayOf(configuration(LOST, 9), registration(position(1, 480)), registration(LOST, backEnd("b"), sequence = 3))
            val reader = running(*items)
            val follower = running(*items)
            listOf(reader, follower).forEach { it.applyChanges(listOf(gone), position(1, 501), 55.seconds) }
            val copy = listOf(configuration(position(2, 90), 7), registration(position(2, 95), backEnd("b"), sequence = 1))
            reader.applySnapshot(copy, COPY, RESTORED_AT)
            reader.itemsSince(follower.at).isComplete shouldBe true
            reader.tell(follower, copy + items, RESTORED_AT + 100.milliseconds)
            follower.at.era shouldBe StoreEra(2)
            follower.serving?.revision?.number shouldBe 9
            follower.backEnds.map { it.id } shouldContainExactly listOf(A)
            follower.itemsSince(LOST).isComplete shouldBe true
            reader.expire(RESTORED_AT + 2.3.seconds)
            reader.tell(follower, copy + items, RESTORED_AT + 2.4.seconds)
            follower.expire(RESTORED_AT + 2.4.seconds)
            follower.backEnds.shouldBeEmpty()
            follower.releaseKept(RESTORED_AT + 3.1.seconds)
            follower.serving?.revision?.number shouldBe 9
            follower.at shouldBe COPY
        }

        test("a daemon that starts after the restore learns from a peer what the copy lacks") {
            val items =
                arrayOf(
                    configuration(LOST, 9),
                    evacuation(LOST),
                    registration(LOST, sequence = 9),
                    registration(LOST, backEnd("b", leaving = true), sequence = 9),
                )
            val running = running(*items)
            running.applyChanges(listOf(itemAt(position(1, 501), "servers/a", null)), position(1, 501), 55.seconds)
            val copy =
                listOf(
                    configuration(position(2, 90), 7),
                    registration(position(2, 95), sequence = 5),
                    registration(position(2, 96), backEnd("b"), sequence = 5),
                )
            val started = StoreViewController(strictInvariants())
            for (view in listOf(running, started)) {
                view.onStoreHeard(RESTORED_AT)
                view.applySnapshot(copy, COPY, RESTORED_AT)
            }
            started.backEnd(A) shouldBe copy[1].published.let { (it as StoreRecord.Registered).backEnd }
            started.isSettling(RESTORED_AT) shouldBe true
            running.tell(started, copy + items, RESTORED_AT + 100.milliseconds)
            withClue("gone") { started.backEnd(A) shouldBe null }
            withClue("leaving") { started.backEnd(TargetId("b"))?.leaving shouldBe true }
            started.serving?.revision?.number shouldBe 9
            started.evacuated shouldBe setOf(NEAR)
            withClue("passed on") {
                started.itemsSince(COPY).items.map { it.key } shouldContainExactlyInAnyOrder
                    listOf("op/config", "op/evacuate/near", "servers/b")
            }
            started.releaseKept(RESTORED_AT + 4.seconds)
            started.serving?.revision?.number shouldBe 9
            started.evacuated shouldBe setOf(NEAR)
        }

        test("without an era a revision that goes back changes nothing, as before") {
            val view = StoreViewController(strictInvariants())
            view.applySnapshot(listOf(item("op/config", 9, StoreRecord.Configuration(servingSet(9)))), 500, 50.seconds)
            view.applySnapshot(listOf(item("op/config", 7, StoreRecord.Configuration(servingSet(7)))), 100, RESTORED_AT).isEmpty shouldBe
                true
            view.at shouldBe StorePosition.unstated(500)
            view.isSettling(RESTORED_AT) shouldBe false
        }
    })
