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

class RetryBudgetShareTest :
    FunSpec({
        val bounds = RetryBudgetBounds(0.2, 10.seconds, 100.0)

        test("the shares of all entry daemons stay within the budget") {
            val entries = 6
            val spent =
                (1..entries).sumOf {
                    val share = RetryBudgetShare(bounds)
                    repeat(50) { share.recordRequest(ENGINES, 1.seconds) }
                    (1..500).count { share.spend(ENGINES, entries, 2.seconds) }
                }
            spent.toDouble() shouldBeLessThanOrEqual 0.2 * 50 * entries + 100
        }

        test("what was spent comes back when the window has passed") {
            val share = RetryBudgetShare(bounds.copy(allowance = 2.0))
            generateSequence { share.spend(ENGINES, 1, 1.seconds) }.takeWhile { it }.count() shouldBe 1
            share.spend(ENGINES, 1, 12.seconds) shouldBe true
        }
    })

class PeerControllerTest :
    FunSpec({
        test("a daemon that was heard of counts as alive for a while, and for shares much longer") {
            val peers = PeerController(peer("self"), emptyList())
            peers.onGossipReceived(peer("other"), emptyMap(), 10.seconds)
            peers.liveEntries(11.seconds).size shouldBe 2
            peers.liveEntries(13.seconds).size shouldBe 1
            peers.entryCount(13.seconds) shouldBe 10
            peers.entryCount(17.seconds) shouldBe 2
        }

        test("daemons learn of each other from each other") {
            val peers = PeerController(peer("self"), listOf(Address("10.1.0.250", 70)))
            peers.mergeLivePeers(listOf(LivePeer(peer("third"), 500.milliseconds)), 10.seconds)
            peers.gossipAddresses(10.seconds) shouldContain peer("third").address.shouldNotBeNull()
        }

        test("an old word about what is in flight doesn't count") {
            val peers = PeerController(peer("self"), emptyList())
            val target = backEnd("a").id
            peers.onGossipReceived(peer("other"), mapOf(target to 3), 10.seconds)
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

        fun scene(): Pair<StoreViewController, StagingController> {
            val storeView = StoreViewController(strictInvariants())
            val peers = PeerController(peer("self"), emptyList())
            peers.onGossipReceived(peer("near-entry"), emptyMap(), 10.seconds)
            peers.onGossipReceived(peer("far-entry", FAR), emptyMap(), 10.seconds)
            storeView.applyChanges(listOf(item("op/config", 1, StoreRecord.Configuration(servingSet(1)))), 1, 1.seconds)
            storeView.applyChanges((1..8).map { registered(backEnd("b$it"), it + 1L) }, 9, 2.seconds)
            return storeView to StagingController(peers, storeView, SwitchSchedule(storeView), REGIONS)
        }

        fun declare(
            storeView: StoreViewController,
            number: Long,
        ) = storeView.applyChanges(
            listOf(item("op/version/model", 20 + number, StoreRecord.VersionDeclaration(MODEL, WeightNumber(number)))),
            20 + number,
            10.seconds,
        )

        test("a back end without weights wants the newest, one with the declared version nothing") {
            val (storeView, staging) = scene()
            staging
                .weightsToLoad(ENGINES, report(null))
                .shouldNotBeNull()
                .number
                .shouldBeNull()
            staging.weightsToLoad(ENGINES, report(1)).shouldBeNull()
            declare(storeView, 2)
            staging.weightsToLoad(ENGINES, report(1)).shouldNotBeNull().number shouldBe WeightNumber(2)
            staging.weightsToLoad(ENGINES, report(2)).shouldBeNull()
            declare(storeView, 3)
            staging.weightsToLoad(ENGINES, report(2)).shouldNotBeNull().number shouldBe WeightNumber(3)
        }

        test("a version that is half staged is finished although a newer one was declared") {
            val (storeView, staging) = scene()
            staging.shouldFinishStaging(MODEL, WeightNumber(1), 0, 48) shouldBe true
            declare(storeView, 2)
            staging.shouldFinishStaging(MODEL, WeightNumber(2), 0, 48) shouldBe true
            declare(storeView, 3)
            staging.shouldFinishStaging(MODEL, WeightNumber(2), 23, 48) shouldBe false
            staging.shouldFinishStaging(MODEL, WeightNumber(2), 24, 48) shouldBe true
            staging.shouldFinishStaging(MODEL, WeightNumber(3), 0, 48) shouldBe true
        }

        test("pieces come from entry daemons of the own region first and from the origin last") {
            val (_, staging) = scene()
            val sources = staging.sources(MODEL, WeightNumber(1), 0, 10.seconds)
            sources.first().shouldBeInstanceOf<WeightSource.Entry>()
            sources.last().shouldBeInstanceOf<WeightSource.Origin>()
        }

        test("an entry daemon leads the pieces for which the target daemons of its region ask it first") {
            val (_, staging) = scene()
            val led = (0 until 40).filter { staging.isPrimarySource(MODEL, WeightNumber(1), it, 10.seconds) }
            led shouldBe
                (0 until 40).filter {
                    staging.sources(MODEL, WeightNumber(1), it, 10.seconds).first() ==
                        WeightSource.Entry(peer("self").address!!)
                }
            (led.size in 10..30) shouldBe true
        }

        test("only an entry daemon in the origin's region draws from the origin first") {
            val (_, staging) = scene()
            val far = peer("far-entry", FAR).address.shouldNotBeNull()
            (0 until 20).forEach { staging.upstreamSources(MODEL, WeightNumber(1), it, 10.seconds).first() shouldBe WeightSource.Entry(far) }
        }

        test("back ends that serve switch one after the other, all within the time to spread; an empty one needn't wait") {
            val (storeView, staging) = scene()
            declare(storeView, 2)
            val turns = storeView.backEnds.map { staging.scheduledSwitch(ENGINES, it.address, report(1), WeightNumber(2)).shouldNotBeNull() }
            turns.map { it.at }.toSet().size shouldBe storeView.backEnds.size
            turns.filter { it.at > 10.seconds + 6.5.seconds }.shouldBeEmpty()
            staging.scheduledSwitch(ENGINES, backEnd("b1").address, report(null), WeightNumber(2)).shouldBeNull()
        }

        test("a version declared on top of another doesn't put off the turns of the first") {
            val (storeView, staging) = scene()
            val first = WeightNumber(2)
            declare(storeView, 2)
            val before = storeView.backEnds.map { staging.scheduledSwitch(ENGINES, it.address, report(1), first).shouldNotBeNull().at }
            storeView.applyChanges(listOf(item("op/version/model", 23, StoreRecord.VersionDeclaration(MODEL, WeightNumber(3)))), 23, 12.seconds)
            storeView.backEnds.map { staging.scheduledSwitch(ENGINES, it.address, report(1), first).shouldNotBeNull().at } shouldBe before
        }

        test("the back ends that switch first hand unfinished requests to those that switch later, and the last let them end") {
            val (storeView, staging) = scene()
            declare(storeView, 2)
            val two = WeightNumber(2)
            val turns = storeView.backEnds.map { staging.scheduledSwitch(ENGINES, it.address, report(1), two).shouldNotBeNull() }
            val handovers = turns.sortedBy { it.at }.map { it.handover(it.at) }
            handovers shouldBe List(7) { Handover.RESUME_ELSEWHERE } + List(1) { Handover.DRAIN }
        }

        test("a back end that comes to its turn late, when the others have switched, lets its requests end") {
            val (storeView, staging) = scene()
            declare(storeView, 2)
            val two = WeightNumber(2)
            val turns = storeView.backEnds.map { staging.scheduledSwitch(ENGINES, it.address, report(1), two).shouldNotBeNull() }
            val last = turns.maxOf { it.at }
            turns.map { it.handover(last) }.toSet() shouldBe setOf(Handover.DRAIN)
        }

        test("no back end breaks off requests of a service that has a route whose requests can't go on elsewhere") {
            val (storeView, staging) = scene()
            val set = servingSet(2).copy(routes = listOf(route(RequestKind.Stream(resumable = false, maxEventGap = null))))
            storeView.applyChanges(listOf(item("op/config", 15, StoreRecord.Configuration(set))), 15, 9.seconds)
            declare(storeView, 2)
            val turns = storeView.backEnds.map { staging.scheduledSwitch(ENGINES, it.address, report(1), WeightNumber(2)).shouldNotBeNull() }
            turns.map { it.handover(it.at) }.toSet() shouldBe setOf(Handover.DRAIN)
        }
    })
