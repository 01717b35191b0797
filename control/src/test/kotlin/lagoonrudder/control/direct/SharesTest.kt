package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import lagoonrudder.control.strictInvariants
import lagoonrudder.model.Address
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.RequestKind
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RepeatShareTest :
    FunSpec({
        val bounds = RepeatBounds(0.2, 10.seconds, 100.0)

        test("the shares of all entry daemons stay within the budget") {
            val entries = 6
            val spent =
                (1..entries).sumOf {
                    val share = RepeatShare(bounds)
                    repeat(50) { share.requested(ENGINES, 1.seconds) }
                    (1..500).count { share.spend(ENGINES, entries, 2.seconds) }
                }
            spent.toDouble() shouldBeLessThanOrEqual 0.2 * 50 * entries + 100
        }

        test("what was spent comes back when the window has passed") {
            val share = RepeatShare(bounds.copy(allowance = 2.0))
            generateSequence { share.spend(ENGINES, 1, 1.seconds) }.takeWhile { it }.count() shouldBe 1
            share.spend(ENGINES, 1, 12.seconds) shouldBe true
        }
    })

class PeerControllerTest :
    FunSpec({
        test("a daemon that was heard of counts as alive for a while, and for shares much longer") {
            val peers = PeerController(peer("self"), emptyList())
            peers.heard(peer("other"), emptyMap(), 10.seconds)
            peers.liveEntries(11.seconds).size shouldBe 2
            peers.liveEntries(13.seconds).size shouldBe 1
            peers.entryCount(13.seconds) shouldBe 10
            peers.entryCount(17.seconds) shouldBe 2
        }

        test("daemons learn of each other from each other") {
            val peers = PeerController(peer("self"), listOf(Address("10.1.0.250", 70)))
            peers.sighted(listOf(PeerSighting(peer("third"), 500.milliseconds)), 10.seconds)
            peers.partners(10.seconds) shouldContain peer("third").address.shouldNotBeNull()
        }

        test("an old word about what is in flight doesn't count") {
            val peers = PeerController(peer("self"), emptyList())
            val target = backEnd("a").id
            peers.heard(peer("other"), mapOf(target to 3), 10.seconds)
            peers.inFlightElsewhere(target, 10.5.seconds) shouldBe 3
            peers.inFlightElsewhere(target, 15.seconds) shouldBe 0
        }
    })

class StagingControllerTest :
    FunSpec({
        fun report(number: Long?) =
            BackEndReport(
                1,
                number?.let { HeldWeights(MODEL, WeightNumber(it), LAYERS) },
                loading = false,
                orders = 0,
                running = 0,
                waiting = 0,
            )

        fun scene(): Pair<PublicationController, StagingController> {
            val publication = PublicationController(strictInvariants())
            val peers = PeerController(peer("self"), emptyList())
            peers.heard(peer("near-entry"), emptyMap(), 10.seconds)
            peers.heard(peer("far-entry", FAR), emptyMap(), 10.seconds)
            publication.take(listOf(item("op/config", 1, StoreRecord.Configuration(servingSet(1)))), 1, 1.seconds)
            publication.take((1..8).map { registered(backEnd("b$it"), it + 1L) }, 9, 2.seconds)
            return publication to StagingController(peers, publication, SwitchTurns(publication), REGIONS)
        }

        fun declare(
            publication: PublicationController,
            number: Long,
        ) = publication.take(
            listOf(item("op/version/model", 20 + number, StoreRecord.VersionDeclaration(MODEL, WeightNumber(number)))),
            20 + number,
            10.seconds,
        )

        test("a back end without weights wants the newest, one with the declared version nothing") {
            val (publication, staging) = scene()
            staging
                .wanted(ENGINES, report(null))
                .shouldNotBeNull()
                .number
                .shouldBeNull()
            staging.wanted(ENGINES, report(1)).shouldBeNull()
            declare(publication, 2)
            staging.wanted(ENGINES, report(1)).shouldNotBeNull().number shouldBe WeightNumber(2)
            staging.wanted(ENGINES, report(2)).shouldBeNull()
            declare(publication, 3)
            staging.wanted(ENGINES, report(2)).shouldNotBeNull().number shouldBe WeightNumber(3)
        }

        test("a version that is half staged is finished although a newer one was declared") {
            val (publication, staging) = scene()
            staging.finishes(MODEL, WeightNumber(1), 0, 48) shouldBe true
            declare(publication, 2)
            staging.finishes(MODEL, WeightNumber(2), 0, 48) shouldBe true
            declare(publication, 3)
            staging.finishes(MODEL, WeightNumber(2), 23, 48) shouldBe false
            staging.finishes(MODEL, WeightNumber(2), 24, 48) shouldBe true
            staging.finishes(MODEL, WeightNumber(3), 0, 48) shouldBe true
        }

        test("pieces come from entry daemons of the own region first and from the origin last") {
            val (_, staging) = scene()
            val sources = staging.sources(MODEL, WeightNumber(1), 0, 10.seconds)
            sources.first().shouldBeInstanceOf<PieceSource.Entry>()
            sources.last().shouldBeInstanceOf<PieceSource.Origin>()
        }

        test("an entry daemon leads the pieces for which the target daemons of its region ask it first") {
            val (_, staging) = scene()
            val led = (0 until 40).filter { staging.leads(MODEL, WeightNumber(1), it, 10.seconds) }
            led shouldBe
                (0 until 40).filter {
                    staging.sources(MODEL, WeightNumber(1), it, 10.seconds).first() ==
                        PieceSource.Entry(peer("self").address!!)
                }
            (led.size in 10..30) shouldBe true
        }

        test("only an entry daemon in the origin's region draws from the origin first") {
            val (_, staging) = scene()
            val far = peer("far-entry", FAR).address.shouldNotBeNull()
            (0 until 20).forEach { staging.sourcesAbove(MODEL, WeightNumber(1), it, 10.seconds).first() shouldBe PieceSource.Entry(far) }
        }

        test("back ends that serve switch one after the other, all within the time to spread; an empty one needn't wait") {
            val (publication, staging) = scene()
            declare(publication, 2)
            val turns = publication.backEnds.map { staging.turn(ENGINES, it.address, report(1), WeightNumber(2)).shouldNotBeNull() }
            turns.map { it.at }.toSet().size shouldBe publication.backEnds.size
            turns.filter { it.at > 10.seconds + 6.5.seconds }.shouldBeEmpty()
            staging.turn(ENGINES, backEnd("b1").address, report(null), WeightNumber(2)).shouldBeNull()
        }

        test("a version declared on top of another doesn't put off the turns of the first") {
            val (publication, staging) = scene()
            val first = WeightNumber(2)
            declare(publication, 2)
            val before = publication.backEnds.map { staging.turn(ENGINES, it.address, report(1), first).shouldNotBeNull().at }
            publication.take(listOf(item("op/version/model", 23, StoreRecord.VersionDeclaration(MODEL, WeightNumber(3)))), 23, 12.seconds)
            publication.backEnds.map { staging.turn(ENGINES, it.address, report(1), first).shouldNotBeNull().at } shouldBe before
        }

        test("the back ends that switch first hand unfinished requests to those that switch later, and the last let them end") {
            val (publication, staging) = scene()
            declare(publication, 2)
            val two = WeightNumber(2)
            val turns = publication.backEnds.map { staging.turn(ENGINES, it.address, report(1), two).shouldNotBeNull() }
            val handovers = turns.sortedBy { it.at }.map { it.handover(it.at) }
            handovers shouldBe List(7) { Handover.GO_ON_ELSEWHERE } + List(1) { Handover.LET_END }
        }

        test("a back end that comes to its turn late, when the others have switched, lets its requests end") {
            val (publication, staging) = scene()
            declare(publication, 2)
            val two = WeightNumber(2)
            val turns = publication.backEnds.map { staging.turn(ENGINES, it.address, report(1), two).shouldNotBeNull() }
            val last = turns.maxOf { it.at }
            turns.map { it.handover(last) }.toSet() shouldBe setOf(Handover.LET_END)
        }

        test("no back end breaks off requests of a service that has a route whose requests can't go on elsewhere") {
            val (publication, staging) = scene()
            val set = servingSet(2).copy(routes = listOf(route(RequestKind.Stream(resumable = false, maxEventGap = null))))
            publication.take(listOf(item("op/config", 15, StoreRecord.Configuration(set))), 15, 9.seconds)
            declare(publication, 2)
            val turns = publication.backEnds.map { staging.turn(ENGINES, it.address, report(1), WeightNumber(2)).shouldNotBeNull() }
            turns.map { it.handover(it.at) }.toSet() shouldBe setOf(Handover.LET_END)
        }
    })
