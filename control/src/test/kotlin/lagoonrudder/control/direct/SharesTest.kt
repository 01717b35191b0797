package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import lagoonrudder.control.direct.admission.LevelDemand
import lagoonrudder.control.direct.admission.UrgencyLevel
import lagoonrudder.control.direct.weights.VersionSupply
import lagoonrudder.control.strictInvariants
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.RequestKind
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
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

        test("spent budget becomes available again after the window has passed") {
            val share = RetryBudgetShare(bounds.copy(allowance = 2.0))
            generateSequence { share.spend(ENGINES, 1, 1.seconds) }.takeWhile { it }.count() shouldBe 1
            share.spend(ENGINES, 1, 12.seconds) shouldBe true
        }
    })

class PeerControllerTest :
    FunSpec({
        test("a peer counts as alive for a short time after its last contact, and towards the shares much longer") {
            val peers = PeerController(peer("self"), emptyList())
            peers.onGossipReceived(peer("other"), emptyMap(), 10.seconds)
            peers.liveEntries(11.seconds).size shouldBe 2
            peers.liveEntries(13.seconds).size shouldBe 1
            peers.entryCount(13.seconds) shouldBe 10
            peers.entryCount(17.seconds) shouldBe 2
        }

        // A daemon with stale seeds took itself for the only one after 3 s, and the whole allowance of a cold back end with it.
        test("a daemon assumes more entry daemons than itself until its seeds have led to one, and not without seeds") {
            val stale = PeerController(peer("self"), listOf(Address("10.1.0.250", 70)))
            stale.entryCount(10.seconds) shouldBe 10
            stale.entryCount(1.hours) shouldBe 10
            stale.seeds = listOf(Address("10.1.0.251", 70))
            stale.entryCount(1.hours) shouldBe 10
            stale.onGossipReceived(peer("other"), emptyMap(), 1.hours)
            stale.entryCount(1.hours) shouldBe 2
            val first = PeerController(peer("self"), listOf(checkNotNull(peer("self").address)))
            first.entryCount(10.seconds) shouldBe 10
            first.entryCount(14.seconds) shouldBe 1
        }

        test("a daemon counts itself alone once all others that it knew have been silent for long") {
            val peers = PeerController(peer("self"), listOf(Address("10.1.0.250", 70)))
            peers.entryCount(1.seconds)
            peers.mergeLivePeers(listOf(LivePeer(peer("other"), Duration.ZERO)), 10.seconds)
            peers.entryCount(30.seconds) shouldBe 2
            peers.nearAddresses(71.seconds)
            peers.entryCount(71.seconds) shouldBe 1
        }

        test("daemons discover each other through gossip") {
            val peers = PeerController(peer("self"), listOf(Address("10.1.0.250", 70)))
            peers.mergeLivePeers(listOf(LivePeer(peer("third"), 500.milliseconds)), 10.seconds)
            peers.nearAddresses(10.seconds) shouldContain peer("third").address.shouldNotBeNull()
        }

        test("an expired report of requests in flight is ignored") {
            val peers = PeerController(peer("self"), emptyList())
            val target = backEnd("a").id
            peers.onGossipReceived(peer("other"), mapOf(target to 3), 10.seconds)
            peers.inFlightElsewhere(target, 10.5.seconds) shouldBe 3
            peers.inFlightElsewhere(target, 15.seconds) shouldBe 0
            peers.reporterCount(15.seconds) shouldBe 0
        }

        test("the requests in flight elsewhere are the sum of the last reports of all peers") {
            val peers = PeerController(peer("self"), emptyList())
            val (first, second) = listOf(backEnd("a").id, backEnd("b").id)
            for (round in 1..3) {
                for (name in 1..4) {
                    peers.onGossipReceived(
                        peer("other-$name"),
                        mapOf(first to round, second to name),
                        10.seconds + 100.milliseconds * round,
                    )
                }
            }
            peers.onGossipReceived(peer("other-4"), emptyMap(), 10.4.seconds)
            peers.inFlightElsewhere(first, 10.5.seconds) shouldBe 3 * 3
            peers.inFlightElsewhere(second, 10.5.seconds) shouldBe 1 + 2 + 3
            peers.reporterCount(10.5.seconds) shouldBe 3
        }
    })

/** Gossip between failure domains: sums instead of the loads of all daemons, and one reader of the store in each domain. */
class DomainGossipTest :
    FunSpec({
        val target = backEnd("a").id

        fun peersOf(
            self: PeerDaemon,
            near: List<PeerDaemon>,
            readers: Set<PeerDaemon> = near.toSet(),
            heardAt: kotlin.time.Duration = 10.seconds,
        ) = PeerController(self, emptyList()).apply {
            for (peer in near - self) {
                onGossipReceived(peer, LoadReport(mapOf(target to 2), 1), 100.milliseconds.takeIf { peer in readers }, heardAt)
            }
        }

        test("a daemon of another failure domain is told the sum of this one, and each daemon is counted once") {
            val near = (1..4).map { peer("near-$it") }
            val sum = peersOf(near.first(), near).loadFor(peer("far", FAR), mapOf(target to 1), 10.1.seconds)
            sum shouldBe LoadReport(mapOf(target to 7), 4)
            val far = PeerController(peer("far", FAR), emptyList())
            repeat(3) { far.onGossipReceived(near[it], sum, null, 10.1.seconds) }
            far.inFlightElsewhere(target, 10.2.seconds) shouldBe 7
            far.reporterCount(10.2.seconds) shouldBe 4
        }

        test("the demand of a failure domain is reported as a sum, counted once, and expires") {
            val near = (1..3).map { peer("near-$it") }
            val own = mapOf(ENGINES to listOf(LevelDemand(UrgencyLevel(1), 4, 3, 2, 1)))
            val peers = peersOf(near.first(), emptyList())
            for (other in near.drop(1)) peers.onGossipReceived(other, LoadReport(emptyMap(), 1, own), null, 10.seconds)
            peers.loadFor(near[1], emptyMap(), 10.1.seconds, own).demand shouldBe own
            val sum = peers.loadFor(peer("far", FAR), emptyMap(), 10.1.seconds, own)
            sum.demand shouldBe mapOf(ENGINES to listOf(LevelDemand(UrgencyLevel(1), 12, 9, 6, 3)))
            val far = PeerController(peer("far", FAR), emptyList())
            repeat(3) { far.onGossipReceived(near[it], sum, null, 10.1.seconds) }
            far.demandElsewhere(ENGINES, 10.2.seconds) shouldBe sum.demand[ENGINES]
            far.demandElsewhere(ENGINES, 11.7.seconds) shouldBe emptyList()
            peers.moreUrgentWaitingNearby(ENGINES, UrgencyLevel(2), 10.1.seconds) shouldBe 2
            peers.moreUrgentWaitingNearby(ENGINES, UrgencyLevel(1), 10.1.seconds) shouldBe 0
        }

        test("a daemon that is new to its own failure domain is not counted with the others there") {
            val peers = peersOf(peer("self"), listOf(peer("first")))
            peers.onGossipReceived(peer("second"), LoadReport(mapOf(target to 9), 3), null, 10.1.seconds)
            peers.inFlightElsewhere(target, 10.2.seconds) shouldBe 2
        }

        test("one side of a pair exchanges, the other one only after some time without contact") {
            val (first, second) = listOf(peer("entry-1"), peer("entry-2"))
            val interval = 100.milliseconds
            val waits =
                listOf(first to second, second to first).map { (self, other) ->
                    peersOf(self, listOf(other)).timeToExchange(other.address.shouldNotBeNull(), interval, 10.seconds)
                }
            waits.first() shouldBe interval
            (waits.last() > interval * 1.2) shouldBe true
        }

        test("of the live daemons of a failure domain exactly one reads the store") {
            val near = (1..9).map { peer("near-$it") }
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(item("op/config", 1, StoreRecord.Configuration(servingSet(1)))), 1, 9.seconds)
            near.count { StoreReaderController(peersOf(it, near), storeView).mustRead(10.1.seconds) } shouldBe 1
        }

        test("when the reader stops, freezes or loses the store, another one reads it within half a second") {
            val near = (1..9).map { peer("near-$it") }
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(item("op/config", 1, StoreRecord.Configuration(servingSet(1)))), 1, 9.seconds)
            val reader = near.single { StoreReaderController(peersOf(it, near), storeView).mustRead(10.1.seconds) }
            val others = near - reader
            // It lost the store and says so.
            others.count { StoreReaderController(peersOf(it, near, readers = others.toSet()), storeView).mustRead(10.1.seconds) } shouldBe 1
            // It is silent, and no other one reads yet.
            val silent =
                others.count { self ->
                    val peers = peersOf(self, near, readers = setOf(reader))
                    (others - self).forEach { peers.onGossipReceived(it, LoadReport(emptyMap(), 1), null, 10.5.seconds) }
                    StoreReaderController(peers, storeView).mustRead(10.5.seconds)
                }
            silent shouldBe others.size
        }

        test("a daemon whose configuration is not confirmed reads the store, whoever else does") {
            val near = (1..9).map { peer("near-$it") }
            val storeView = StoreViewController(strictInvariants())
            near.all { StoreReaderController(peersOf(it, near), storeView).mustRead(10.1.seconds) } shouldBe true
        }
    })

class WeightSourceControllerTest :
    FunSpec({
        val origin = WeightSource.Origin(Address("10.9.9.9", 80))

        test("a source that fails is asked by one fetch at a time, with growing pauses that stay short") {
            val sources = WeightSourceController()
            repeat(3) { sources.mayFetch(origin, 1.seconds) shouldBe true }
            sources.onFailure(origin, 1.seconds) shouldBe true
            repeat(2) { sources.onFailure(origin, 1.seconds) shouldBe false }
            sources.mayFetch(origin, 1.01.seconds) shouldBe false
            sources.mayFetch(origin, 1.3.seconds) shouldBe true
            sources.mayFetch(origin, 1.3.seconds) shouldBe false
            repeat(20) { sources.onFailure(origin, 2.seconds) }
            sources.mayFetch(origin, 2.25.seconds) shouldBe true
        }

        test("the outage of a source ends with its first answer, which tells how long it lasted") {
            val sources = WeightSourceController()
            sources.onAnswer(origin, 1.seconds).shouldBeNull()
            repeat(4) { sources.onFailure(origin, 1.seconds) }
            sources.onAnswer(origin, 7.seconds) shouldBe SourceRecovery(4, 6.seconds)
            repeat(3) { sources.mayFetch(origin, 7.seconds) shouldBe true }
        }

        test("a cancelled fetch leaves the next one to another") {
            val sources = WeightSourceController()
            sources.onFailure(origin, 1.seconds)
            sources.mayFetch(origin, 2.seconds) shouldBe true
            sources.onCancelled(origin)
            sources.mayFetch(origin, 2.seconds) shouldBe true
        }
    })

private val TARGET_DAEMON = PeerDaemon(DaemonId("target"), DaemonRole.TARGET, NEAR, REGIONS.getValue(NEAR), null)

private fun servingStoreView() =
    StoreViewController(strictInvariants()).apply {
        applyChanges(listOf(item("op/config", 1, StoreRecord.Configuration(servingSet(1)))), 1, 1.seconds)
    }

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

        test("a back end without weights loads the newest version, one with the declared version loads nothing") {
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

        // A back end went on with a version of which half was staged, however little time was left to it.
        test("an older version is staged only as long as requests can begin on it for a second before it stops counting") {
            val (storeView, staging) = scene()
            staging.copySize(MODEL) shouldBe 16L
            val supply = VersionSupply(WeightNumber(1), mapOf(WeightNumber(2) to 1L), staging.copySize(MODEL), rate = 2.0)

            fun shouldFinish(
                number: Long,
                now: Duration,
                missing: Long = 1,
            ) = staging
                .chooseVersion(
                    MODEL,
                    supply.copy(missing = mapOf(WeightNumber(2) to missing)),
                    now,
                ).isWorthFetching(WeightNumber(number))

            shouldFinish(1, 10.seconds) shouldBe true
            declare(storeView, 2)
            shouldFinish(2, 10.seconds) shouldBe true
            declare(storeView, 3)
            val stopsAt =
                storeView.versions
                    .declarations(MODEL)
                    .last()
                    .limitAt
            shouldFinish(2, stopsAt - 1.9.seconds) shouldBe true
            shouldFinish(2, stopsAt - 1.7.seconds) shouldBe false
            shouldFinish(2, stopsAt - 1.7.seconds, missing = 0) shouldBe true
            shouldFinish(2, stopsAt - 8.seconds, missing = 16) shouldBe false
            shouldFinish(3, stopsAt) shouldBe true
        }

        test("chunks are fetched from entry daemons of the same region first, and from the origin only if no entry daemon is alive") {
            val (_, staging) = scene()
            val sources = staging.sources(MODEL, WeightNumber(1), 0, 10.seconds)
            sources.size shouldBe 3
            sources.forEach { it.shouldBeInstanceOf<WeightSource.Entry>() }
            sources.first() shouldBe staging.sources(MODEL, WeightNumber(1), 0, 10.seconds).first()
            val alone =
                StagingController(
                    PeerController(TARGET_DAEMON, emptyList()),
                    servingStoreView(),
                    SwitchSchedule(servingStoreView()),
                    REGIONS,
                )
            alone.sources(MODEL, WeightNumber(1), 0, 10.seconds).single().shouldBeInstanceOf<WeightSource.Origin>()
        }

        test("a process that has just started looks for entry daemons before it asks the origin, unless there are none to find") {
            val seed = peer("near-entry")
            for (self in listOf(TARGET_DAEMON, peer("self"))) {
                val peers = PeerController(self, listOfNotNull(seed.address))
                val staging = StagingController(peers, servingStoreView(), SwitchSchedule(servingStoreView()), REGIONS)

                fun sources(now: Duration) =
                    when (self.role) {
                        DaemonRole.TARGET -> staging.sources(MODEL, WeightNumber(1), 0, now)
                        DaemonRole.ENTRY -> staging.upstreamSources(MODEL, WeightNumber(1), 0, now)
                    }
                sources(10.seconds).shouldBeEmpty()
                sources(12.9.seconds).shouldBeEmpty()
                sources(13.seconds).single().shouldBeInstanceOf<WeightSource.Origin>()
            }
            val peers = PeerController(TARGET_DAEMON, listOfNotNull(seed.address))
            val staging = StagingController(peers, servingStoreView(), SwitchSchedule(servingStoreView()), REGIONS)
            staging.sources(MODEL, WeightNumber(1), 0, 10.seconds).shouldBeEmpty()
            peers.onGossipReceived(seed, emptyMap(), 10.1.seconds)
            staging.sources(MODEL, WeightNumber(1), 0, 10.1.seconds) shouldBe listOf(WeightSource.Entry(seed.address.shouldNotBeNull()))
            val first = PeerController(seed, listOfNotNull(seed.address))
            StagingController(first, servingStoreView(), SwitchSchedule(servingStoreView()), REGIONS)
                .upstreamSources(MODEL, WeightNumber(1), 0, 10.seconds)
                .single()
                .shouldBeInstanceOf<WeightSource.Origin>()
        }

        test("the next source is asked first once one has answered several times that it has no data yet") {
            val (_, staging) = scene()
            val first = (0..15).map { staging.sources(MODEL, WeightNumber(1), 0, 10.seconds, attempts = it).first() }
            first
                .zipWithNext()
                .withIndex()
                .filter { (_, pair) -> pair.first != pair.second }
                .map { it.index } shouldBe listOf(4, 9, 14)
            first.last() shouldBe first.first()
        }

        test("an entry daemon is the primary source of the chunks that target daemons of its region request from it first") {
            val (_, staging) = scene()
            val primaryChunks = (0 until 40).filter { staging.isPrimarySource(MODEL, WeightNumber(1), it, 10.seconds) }
            primaryChunks shouldBe
                (0 until 40).filter {
                    staging.sources(MODEL, WeightNumber(1), it, 10.seconds).first() ==
                        WeightSource.Entry(peer("self").address!!)
                }
            (primaryChunks.size in 10..30) shouldBe true
        }

        test("only an entry daemon in the origin's region fetches from the origin first") {
            val (_, staging) = scene()
            val far = peer("far-entry", FAR).address.shouldNotBeNull()
            (0 until 20).forEach {
                staging
                    .upstreamSources(
                        MODEL,
                        WeightNumber(1),
                        it,
                        10.seconds,
                    ).first() shouldBe WeightSource.Entry(far)
            }
        }

        test("serving back ends switch one after another, all within the rollout time; an empty one need not wait") {
            val (storeView, staging) = scene()
            declare(storeView, 2)
            val switches =
                storeView.backEnds.map {
                    staging
                        .scheduledSwitch(
                            ENGINES,
                            it.address,
                            report(1),
                            WeightNumber(2),
                        ).shouldNotBeNull()
                }
            switches.map { it.at }.toSet().size shouldBe storeView.backEnds.size
            switches.filter { it.at > 10.seconds + 6.5.seconds }.shouldBeEmpty()
            staging.scheduledSwitch(ENGINES, backEnd("b1").address, report(null), WeightNumber(2)).shouldBeNull()
        }

        test("a further declared version does not postpone the scheduled switches of the previous one") {
            val (storeView, staging) = scene()
            val first = WeightNumber(2)
            declare(storeView, 2)
            val before = storeView.backEnds.map { staging.scheduledSwitch(ENGINES, it.address, report(1), first).shouldNotBeNull().at }
            storeView.applyChanges(
                listOf(item("op/version/model", 23, StoreRecord.VersionDeclaration(MODEL, WeightNumber(3)))),
                23,
                12.seconds,
            )
            storeView.backEnds.map { staging.scheduledSwitch(ENGINES, it.address, report(1), first).shouldNotBeNull().at } shouldBe before
        }

        test("back ends that switch early hand over unfinished requests to those that switch later, and the last ones drain") {
            val (storeView, staging) = scene()
            declare(storeView, 2)
            val two = WeightNumber(2)
            val switches = storeView.backEnds.map { staging.scheduledSwitch(ENGINES, it.address, report(1), two).shouldNotBeNull() }
            val handovers = switches.sortedBy { it.at }.map { it.handover(it.at) }
            handovers shouldBe List(7) { Handover.RESUME_ELSEWHERE } + List(1) { Handover.DRAIN }
        }

        test("a back end that switches later than scheduled, after the others, drains its requests") {
            val (storeView, staging) = scene()
            declare(storeView, 2)
            val two = WeightNumber(2)
            val switches = storeView.backEnds.map { staging.scheduledSwitch(ENGINES, it.address, report(1), two).shouldNotBeNull() }
            val last = switches.maxOf { it.at }
            switches.map { it.handover(last) }.toSet() shouldBe setOf(Handover.DRAIN)
        }

        test("no back end aborts requests of a service that has a route whose requests can't be resumed elsewhere") {
            val (storeView, staging) = scene()
            val set = servingSet(2).copy(routes = listOf(route(RequestKind.Stream(resumable = false, maxEventGap = null))))
            storeView.applyChanges(listOf(item("op/config", 15, StoreRecord.Configuration(set))), 15, 9.seconds)
            declare(storeView, 2)
            val switches =
                storeView.backEnds.map {
                    staging
                        .scheduledSwitch(
                            ENGINES,
                            it.address,
                            report(1),
                            WeightNumber(2),
                        ).shouldNotBeNull()
                }
            switches.map { it.handover(it.at) }.toSet() shouldBe setOf(Handover.DRAIN)
        }
    })
