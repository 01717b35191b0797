package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import lagoonrudder.control.direct.admission.WaitLimit
import lagoonrudder.control.direct.suspicion.SuspicionController
import lagoonrudder.control.strictInvariants
import lagoonrudder.model.BackEnd
import lagoonrudder.model.BackEndNotice
import lagoonrudder.model.CustomerId
import lagoonrudder.model.DomainId
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.Refusal
import lagoonrudder.model.RegionId
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightNumber
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
private val CompletableDeferred<Placement>.target: TargetId?
    get() = (getCompleted() as? Placement.Placed)?.backEnd?.id

private class Scene(
    backEnds: List<BackEnd>,
    cold: Double? = null,
    seed: Int = 1,
    self: PeerDaemon = peer("self"),
) {
    var now = 100.seconds
    val storeView = StoreViewController(strictInvariants())
    val peers = PeerController(self, emptyList())
    val slots = BackEndStateController()
    val notices = BackEndNoticeController()
    val placement =
        PlacementController(
            Topology(NEAR, REGIONS),
            PlacementBounds(1.5, 5.0),
            storeView,
            peers,
            slots,
            SuspicionController(peers),
            notices,
            Random(seed),
        )

    init {
        storeView.applyChanges(listOf(item("op/config", 1, StoreRecord.Configuration(servingSet(1, cold)))), 1, 10.seconds)
        storeView.applyChanges(backEnds.mapIndexed { index, each -> registered(each, index + 2L) }, 50, 10.seconds)
    }

    val plainRequest =
        PlacementRequest(
            service = ENGINES,
            customer = null,
            rank = 1,
            homeRegions = emptyList(),
            excluded = emptySet(),
            number = null,
            promptTokens = 0,
            isLate = false,
            wait = WaitLimit.Within(Duration.ZERO),
            timeLeft = 6.seconds,
        )

    fun place(
        maxWait: Duration = Duration.ZERO,
        customer: String? = null,
        homeRegions: List<Set<RegionId>> = emptyList(),
        excluded: Set<TargetId> = emptySet(),
        number: Long? = null,
        promptTokens: Int = 0,
        isLate: Boolean = false,
    ): CompletableDeferred<Placement> {
        val request =
            plainRequest.copy(
                customer = customer?.let { CustomerId(it) },
                homeRegions = homeRegions,
                excluded = excluded,
                number = number?.let { WeightNumber(it) },
                promptTokens = promptTokens,
                isLate = isLate,
                wait = WaitLimit.Within(maxWait),
            )
        return placement.place(request, now).result
    }

    /** Declares version [number] right after an answer of the store without it, so that its age is known. */
    fun declare(number: Long) {
        storeView.applyChanges(emptyList(), 50, now)
        storeView.applyChanges(
            listOf(item("op/version/model", 60 + number, StoreRecord.VersionDeclaration(MODEL, WeightNumber(number)))),
            60 + number,
            now,
        )
    }

    fun evacuate(domain: DomainId) =
        storeView.applyChanges(listOf(item("op/evacuate/${domain.text}", 90, StoreRecord.DomainEvacuation(domain))), 90, now)
}

@OptIn(ExperimentalCoroutinesApi::class)
class PlacementControllerTest :
    FunSpec({
        test("a request goes to the back end with the lowest utilization") {
            val scene = Scene(listOf(backEnd("a"), backEnd("b")))
            val targets = (1..8).map { scene.place().target }
            targets.count { it == TargetId("a") } shouldBe 4
        }

        test("a request stays in its failure domain while utilization there is not much higher") {
            val scene = Scene(listOf(backEnd("a"), backEnd("c", FAR)))
            (1..3).map { scene.place().target } shouldBe List(3) { TargetId("a") }
            val later = (1..3).map { scene.place().target }
            later.contains(TargetId("c")) shouldBe true
        }

        test("a back end in prefill for this process is avoided while another one is not in prefill") {
            val scene = Scene(listOf(backEnd("a"), backEnd("b")))
            val first = scene.place(promptTokens = 1_000).target.shouldNotBeNull()
            scene.placement.onAttemptEnded(first, null, AttemptOutcome.ANSWERED, scene.now)
            val other = if (first == TargetId("a")) "b" else "a"
            scene.peers.onGossipReceived(peer("other"), mapOf(TargetId(other) to 1), scene.now)
            scene.place(promptTokens = 1_000).target shouldBe TargetId(other)
        }

        test("requests in flight from other entry daemons count towards the load") {
            val scene = Scene(listOf(backEnd("a"), backEnd("b")))
            scene.peers.onGossipReceived(peer("other"), mapOf(TargetId("a") to 4), scene.now)
            (1..3).map { scene.place().target }.toSet() shouldBe setOf(TargetId("b"))
        }

        test("a queued request gets the first slot that becomes free") {
            val scene = Scene(listOf(backEnd("a")))
            repeat(5) { scene.place().target shouldBe TargetId("a") }
            val waiting = scene.place(maxWait = 1.seconds)
            waiting.isCompleted shouldBe false
            scene.placement.onAttemptEnded(TargetId("a"), null, AttemptOutcome.ANSWERED, scene.now)
            waiting.target shouldBe TargetId("a")
        }

        test("a request that waited too long is refused as overloaded") {
            val scene = Scene(listOf(backEnd("a")))
            repeat(5) { scene.place() }
            val waiting = scene.place(maxWait = 100.milliseconds)
            scene.now += 200.milliseconds
            scene.placement.dispatchQueued(scene.now)
            waiting
                .getCompleted()
                .shouldBeInstanceOf<Placement.Refused>()
                .refusal
                .shouldBeInstanceOf<Refusal.Overloaded>()
        }

        test("a request whose wait has timed out is decided immediately, and the others stay queued") {
            val scene = Scene(listOf(backEnd("a")))
            repeat(5) { scene.place() }
            val shortWait = scene.place(maxWait = 100.milliseconds)
            val longWait = scene.place(maxWait = 1.seconds)
            scene.placement.onWaitTimeout(shortWait, scene.now + 100.milliseconds)
            shortWait.getCompleted().shouldBeInstanceOf<Placement.Refused>()
            longWait.isCompleted shouldBe false
        }

        test("a free slot skips a cancelled request and goes to the next one in the queue") {
            val scene = Scene(listOf(backEnd("a")))
            repeat(5) { scene.place() }
            val first = scene.place(maxWait = 1.seconds)
            val second = scene.place(maxWait = 1.seconds)
            scene.placement.withdraw(first)
            scene.placement.onAttemptEnded(TargetId("a"), null, AttemptOutcome.ANSWERED, scene.now)
            second.target shouldBe TargetId("a")
        }

        test("the customer with fewer requests in flight goes first when slots are scarce") {
            val scene = Scene(listOf(backEnd("a")))
            repeat(5) { scene.place(customer = "large") }
            val large = scene.place(maxWait = 1.seconds, customer = "large")
            val small = scene.place(maxWait = 1.seconds, customer = "small")
            scene.placement.onAttemptEnded(TargetId("a"), CustomerId("large"), AttemptOutcome.ANSWERED, scene.now)
            small.isCompleted shouldBe true
            large.isCompleted shouldBe false
        }

        test("a request that can still meet its latency objective goes before one that can't") {
            val scene = Scene(listOf(backEnd("a")))
            repeat(5) { scene.place() }
            val late = scene.place(maxWait = 1.seconds, isLate = true)
            val fresh = scene.place(maxWait = 1.seconds)
            scene.placement.onAttemptEnded(TargetId("a"), null, AttemptOutcome.ANSWERED, scene.now)
            fresh.isCompleted shouldBe true
            late.isCompleted shouldBe false
        }

        test("the last slots of an engine are reserved for requests that can still meet their latency objective") {
            val scene = Scene(listOf(backEnd("a")))
            repeat(2) { scene.place(isLate = true).target shouldBe TargetId("a") }
            scene
                .place(isLate = true)
                .getCompleted()
                .shouldBeInstanceOf<Placement.Refused>()
                .refusal
                .shouldBeInstanceOf<Refusal.Overloaded>()
            scene.place().target shouldBe TargetId("a")
        }

        test("while places are short, daemons that see the same free place don't all take it") {
            val others = (1..4).map { peer("other-$it") }
            val taken =
                (1..40).count { seed ->
                    val scene = Scene(listOf(backEnd("a")), seed = seed)
                    val placed = generateSequence { scene.place().target }.take(10).toList()
                    placed.forEach { scene.placement.onAttemptEnded(it, null, AttemptOutcome.ANSWERED, scene.now) }
                    scene.now += 200.milliseconds
                    others.forEach { scene.peers.onGossipReceived(it, mapOf(TargetId("a") to 1), scene.now) }
                    scene.place().target != null
                }
            // One of five daemons should take the place, so each takes it in about one of five cases.
            (taken in 2..16) shouldBe true
        }

        test("a place that a daemon's own request releases is its own, also while places are short") {
            val scene = Scene(listOf(backEnd("a")))
            repeat(5) { scene.place().target shouldBe TargetId("a") }
            (1..4).forEach { scene.peers.onGossipReceived(peer("other-$it"), mapOf(TargetId("b") to 1), scene.now) }
            val waiting = scene.place(maxWait = 1.seconds)
            scene.placement.onAttemptEnded(TargetId("a"), null, AttemptOutcome.ANSWERED, scene.now)
            waiting.target shouldBe TargetId("a")
        }

        test("looking for a place for those that wait takes up no times to return") {
            val scene = Scene(listOf(backEnd("a")))
            repeat(40) {
                val target = scene.place(isLate = true).target.shouldNotBeNull()
                scene.placement.onAttemptEnded(target, null, AttemptOutcome.ANSWERED, scene.now, AttemptTimes(50.milliseconds, null))
            }
            repeat(2) { scene.place(isLate = true) }
            val waiting = scene.place(maxWait = 5.seconds, isLate = true)
            repeat(100) { scene.placement.dispatchQueued(scene.now) }
            waiting.isCompleted shouldBe false
            val refused = scene.place(isLate = true).getCompleted().shouldBeInstanceOf<Placement.Refused>()
            (refused.refusal.retryAfter.shouldNotBeNull() < 300.milliseconds) shouldBe true
        }

        test("a leaving back end and an evacuated failure domain get no requests") {
            val scene = Scene(listOf(backEnd("a", leaving = true), backEnd("b"), backEnd("c", FAR)))
            scene.evacuate(NEAR)
            (1..3).map { scene.place().target }.toSet() shouldBe setOf(TargetId("c"))
        }

        test("a back end must be in the home regions of both the route and the customer") {
            val scene = Scene(listOf(backEnd("a"), backEnd("c", FAR)))
            scene.place(homeRegions = listOf(setOf(RegionId("far-region")), emptySet())).target shouldBe TargetId("c")
            val unplaceable = scene.place(homeRegions = listOf(setOf(RegionId("far-region")), setOf(RegionId("near-region"))))
            unplaceable.getCompleted().shouldBeInstanceOf<Placement.Refused>()
        }

        test("a back end without complete weights gets no requests until its daemon reports that it holds them") {
            val empty = backEnd("a", number = null)
            val scene = Scene(listOf(empty))
            scene.place().getCompleted().shouldBeInstanceOf<Placement.Refused>()
            val part = HeldWeights(MODEL, WeightNumber(1), LAYERS - 1)
            scene.slots.onGossipReceived(SlotWord(empty.address, empty.born, part, closed = false), scene.now)
            scene.place().getCompleted().shouldBeInstanceOf<Placement.Refused>()
            scene.slots.onGossipReceived(SlotWord(empty.address, empty.born, part.copy(layers = LAYERS), closed = false), scene.now)
            scene.place().target shouldBe TargetId("a")
        }

        test("a status of an earlier incarnation of a back end is ignored") {
            val restarted = backEnd("a", number = null, born = 2)
            val scene = Scene(listOf(restarted))
            scene.slots.onGossipReceived(
                SlotWord(restarted.address, 1, HeldWeights(MODEL, WeightNumber(1), LAYERS), closed = false),
                scene.now,
            )
            scene.place().getCompleted().shouldBeInstanceOf<Placement.Refused>()
        }

        test("a back end gets no requests once its daemon reports a later incarnation at its address") {
            val replaced = backEnd("a", born = 1)
            val scene = Scene(listOf(replaced, backEnd("b")))
            scene.slots.onGossipReceived(SlotWord(replaced.address, 2, null, closed = false), scene.now)
            (1..3).map { scene.place().target }.toSet() shouldBe setOf(TargetId("b"))
        }

        test("a back end that is loading gets no requests") {
            val scene = Scene(listOf(backEnd("a"), backEnd("b")))
            val loading = backEnd("a")
            scene.slots.onGossipReceived(SlotWord(loading.address, loading.born, loading.weights, closed = true), scene.now)
            (1..3).map { scene.place().target }.toSet() shouldBe setOf(TargetId("b"))
        }

        test("an older version serves until its switch deadline is near, then only the declared one, which the request requires") {
            val scene = Scene(listOf(backEnd("old", number = 1), backEnd("new", number = 2)))
            scene.declare(2)
            val before = (1..6).map { scene.place().target.shouldNotBeNull() }
            before.toSet() shouldBe setOf(TargetId("old"), TargetId("new"))
            before.forEach { scene.placement.onAttemptEnded(it, null, AttemptOutcome.ANSWERED, scene.now) }
            scene.now += 7.3.seconds
            repeat(3) {
                val placed = scene.place().getCompleted().shouldBeInstanceOf<Placement.Placed>()
                placed.backEnd.id shouldBe TargetId("new")
                placed.number shouldBe WeightNumber(2)
            }
        }

        test("a placement tells which version the back end was believed to hold, by what status, and which one was declared") {
            val scene = Scene(listOf(backEnd("a", number = 1)))
            scene.declare(2)
            scene.now += 2.seconds
            val known = {
                scene
                    .place()
                    .getCompleted()
                    .shouldBeInstanceOf<Placement.Placed>()
                    .versions
                    .shouldNotBeNull()
            }
            val listed = known()
            listed.statusAge.shouldBeNull()
            listed.held shouldBe WeightNumber(1)
            val reported = backEnd("a", number = 2)
            scene.slots.onGossipReceived(SlotWord(reported.address, reported.born, reported.weights, closed = false), scene.now)
            scene.now += 150.milliseconds
            val heard = known()
            heard.statusAge shouldBe 150.milliseconds
            heard.held shouldBe WeightNumber(2)
            heard.at shouldBe scene.now
            heard.newest.shouldNotBeNull().number shouldBe WeightNumber(2)
        }

        // The version was the one required when the request was placed, however long its connection took to open.
        test("a place that is confirmed requires the version of that moment, and is refused on an older one") {
            val scene = Scene(listOf(backEnd("old", number = 1), backEnd("new", number = 2)))
            scene.declare(2)
            scene.now += 6.5.seconds
            val takenAt = scene.now
            val old = scene.storeView.backEnd(TargetId("old")).shouldNotBeNull()
            val new = scene.storeView.backEnd(TargetId("new")).shouldNotBeNull()
            generateSequence { scene.place().target }.take(6).toSet() shouldBe setOf(old.id, new.id)
            scene.placement
                .confirm(old, scene.plainRequest, takenAt, scene.now)
                ?.number
                .shouldBeNull()
            scene.now += 500.milliseconds
            scene.placement.confirm(old, scene.plainRequest, takenAt, scene.now).shouldBeNull()
            scene.placement.confirm(new, scene.plainRequest, takenAt, scene.now)?.number shouldBe WeightNumber(2)
        }

        test("a place that is confirmed counts towards the rate of a cold back end from then on, and one that is withdrawn does not") {
            val scene = Scene(listOf(backEnd("a")), cold = 0.0)
            scene.peers.entryCount(90.seconds)
            val backEnd = scene.storeView.backEnd(TargetId("a")).shouldNotBeNull()
            // Five a second at most, a tenth of which is left to others.
            repeat(4) { scene.place().target shouldBe backEnd.id }
            val takenAt = scene.now
            scene.now += 500.milliseconds
            repeat(2) { scene.placement.confirm(backEnd, scene.plainRequest, takenAt, scene.now).shouldNotBeNull() }
            scene.placement.confirm(backEnd, scene.plainRequest.copy(excluded = setOf(backEnd.id)), takenAt, scene.now).shouldBeNull()
            repeat(4) { scene.placement.onAttemptEnded(backEnd.id, null, AttemptOutcome.ABANDONED, scene.now) }
            scene.place().target shouldBe backEnd.id
            scene.now += 650.milliseconds
            scene.place().target shouldBe backEnd.id
            scene.place().target.shouldBeNull()
            scene.now += 500.milliseconds
            scene.place().target shouldBe backEnd.id
        }

        test("a back end close to its switch deadline gets only the requests that it can start immediately") {
            val scene = Scene(listOf(backEnd("old", number = 1)))
            scene.declare(2)
            scene.now += 6.2.seconds
            scene.place().target shouldBe TargetId("old")
            scene
                .place()
                .getCompleted()
                .shouldBeInstanceOf<Placement.Refused>()
                .refusal
                .shouldBeInstanceOf<Refusal.Overloaded>()
        }

        test("close to its switch deadline, a back end that is silent gets no request that could begin there too late") {
            val scene = Scene(listOf(backEnd("old", number = 1)))
            scene.declare(2)
            scene.placement.onSilent(TargetId("old"))
            scene.now += 5.seconds
            scene.place().target shouldBe TargetId("old")
            scene.placement.onAttemptEnded(TargetId("old"), null, AttemptOutcome.ANSWERED, scene.now)
            scene.now += 1.seconds
            val waiting = scene.place(maxWait = 1.seconds)
            waiting.isCompleted shouldBe false
            scene.placement.onNoLongerSilent(TargetId("old"))
            scene.placement.dispatchQueued(scene.now)
            waiting.target shouldBe TargetId("old")
        }

        test("a back end whose first events took longer than what is left until its limit gets no further request") {
            val scene = Scene(listOf(backEnd("old", number = 1), backEnd("new", number = 2)))

            fun answerAtOld(firstEvent: Duration) {
                scene.place(excluded = setOf(TargetId("new"))).target shouldBe TargetId("old")
                val times = AttemptTimes(firstEvent + 1.seconds, firstEvent)
                scene.placement.onAttemptEnded(TargetId("old"), null, AttemptOutcome.ANSWERED, scene.now, times)
            }
            scene.declare(2)
            answerAtOld(2.seconds)
            scene.now += 5_500.milliseconds
            scene.place(excluded = setOf(TargetId("new"))).target shouldBe TargetId("old")
            scene.placement.onAttemptEnded(TargetId("old"), null, AttemptOutcome.ANSWERED, scene.now)
            scene.now += 500.milliseconds
            repeat(4) { scene.place().target shouldBe TargetId("new") }
            scene.place(excluded = setOf(TargetId("new"))).getCompleted().shouldBeInstanceOf<Placement.Refused>()
        }

        test("a back end whose first events come soon gets requests until its switch deadline, whatever one of them took long ago") {
            val scene = Scene(listOf(backEnd("old", number = 1)))
            scene.declare(2)
            for (firstEvent in listOf(2_000) + List(10) { 300 }) {
                scene.place().target shouldBe TargetId("old")
                val times = AttemptTimes(1.seconds, firstEvent.milliseconds)
                scene.placement.onAttemptEnded(TargetId("old"), null, AttemptOutcome.ANSWERED, scene.now, times)
            }
            scene.now += 6_790.milliseconds
            scene.place().target shouldBe TargetId("old")
        }

        test("a further declared version does not postpone the switch deadline of the previous one") {
            val scene = Scene(listOf(backEnd("old", number = 1), backEnd("new", number = 2)))
            scene.declare(2)
            scene.now += 2.seconds
            scene.declare(3)
            scene.now += 5.3.seconds
            repeat(3) { scene.place().target shouldBe TargetId("new") }
        }

        // Expecting the declared version, which is older, such a back end rejected every request until the newer one was binding.
        test("a back end that holds a newer version than the one that binds is expected to hold that") {
            val scene = Scene(listOf(backEnd("newest", number = 3)))
            scene.declare(2)
            scene.now += 2.seconds
            scene.declare(3)
            scene.now += 5.3.seconds
            scene
                .place()
                .getCompleted()
                .shouldBeInstanceOf<Placement.Placed>()
                .number shouldBe WeightNumber(3)
        }

        test("a stream that is resumed elsewhere continues with the version that started it") {
            val scene = Scene(listOf(backEnd("old", number = 1), backEnd("new", number = 2)))
            scene.place(number = 1).target shouldBe TargetId("old")
            scene.place(number = 2).target shouldBe TargetId("new")
        }

        test("all entry daemons together stay within the rate of a cold back end, in every second") {
            val entries = 4
            val bound = 28.0 * 1.5 + 5
            val sent =
                (1..entries).map { self ->
                    val scene = Scene(listOf(backEnd("a")), cold = 28.0)
                    (1..entries).filter { it != self }.forEach { scene.peers.onGossipReceived(peer("entry-$it"), emptyMap(), 10.seconds) }
                    scene.peers.entryCount(10.seconds)
                    (1..200).count {
                        val placed = scene.place().getCompleted() is Placement.Placed
                        if (placed) scene.placement.onAttemptEnded(TargetId("a"), null, AttemptOutcome.ANSWERED, scene.now)
                        placed
                    }
                }
            sent.sum() shouldBeLessThanOrEqual bound.toInt()
        }

        // Each daemon took at least one request a second, so 36 of them sent 28 and more to a back end that bears 27.
        test("entry daemons that outnumber the requests a cold back end bears stay within its rate, and each has back ends to use") {
            val bound = 15.0 * 1.5 + 5
            val entries = (0 until 36).map { peer("entry-$it", if (it % 2 == 0) NEAR else FAR) }
            val backEnds = (0 until 8).map { backEnd("b-$it", if (it % 2 == 0) NEAR else FAR) }
            val sent = backEnds.associate { it.id to mutableListOf<PeerDaemon>() }
            for (self in entries) {
                val scene = Scene(backEnds, cold = 15.0, self = self)
                (entries - self).forEach { scene.peers.onGossipReceived(it, emptyMap(), 10.seconds) }
                scene.peers.entryCount(10.seconds)
                for (backEnd in backEnds) {
                    val others = backEnds.mapTo(mutableSetOf()) { it.id } - backEnd.id
                    repeat(5) { if (scene.place(excluded = others).target == backEnd.id) sent.getValue(backEnd.id) += self }
                }
            }
            for (backEnd in backEnds) {
                val senders = sent.getValue(backEnd.id)
                senders.size shouldBeLessThanOrEqual bound.toInt()
                senders.filter { it.domain == backEnd.domain } shouldHaveSize 18
            }
            for (self in entries) sent.values.count { self in it } shouldBeGreaterThanOrEqual 4
        }

        test("the daemons that may use a cold back end follow its rate and the daemons that are known") {
            val entries = (0 until 36).map { peer("entry-$it") }
            val controllers = entries.map { PeerController(it, emptyList()) }
            val shares = controllers.map { ColdRateShares(it) }

            fun users(total: Double) = shares.count { it.maxRequests(backEnd("a"), total, 20.seconds) >= 1 }
            for (controller in controllers) {
                controller.entryCount(10.seconds)
                controller.mergeLivePeers(entries.map { LivePeer(it, Duration.ZERO) }, 20.seconds)
            }
            users(24.7) shouldBe 24
            users(12.0) shouldBe 12
            users(0.4) shouldBe 1
            val joined = peer("entry-36")
            controllers.forEach { it.mergeLivePeers(listOf(LivePeer(joined, Duration.ZERO)), 20.seconds) }
            users(12.0) shouldBeLessThanOrEqual 12
        }

        test("consecutive failures eject a back end until the ejection time has passed") {
            val scene = Scene(listOf(backEnd("a"), backEnd("b")))
            repeat(3) {
                scene.place(excluded = setOf(TargetId("b")))
                scene.placement.onAttemptEnded(TargetId("a"), null, AttemptOutcome.FAILED, scene.now)
            }
            scene.place().target shouldBe TargetId("b")
            scene.place().target shouldBe TargetId("b")
            scene.now += 10.seconds
            scene.place(excluded = setOf(TargetId("b"))).target shouldBe TargetId("a")
        }

        test("a back end that says that it leaves gets no further request, whatever the store says, until it starts anew") {
            val scene = Scene(listOf(backEnd("a"), backEnd("b")))
            scene.notices.onNoticeReceived(backEnd("a").run, BackEndNotice.Leaving, scene.now)
            repeat(4) { scene.place().target shouldBe TargetId("b") }
            scene.storeView.applyChanges(listOf(item("servers/b", 60, null), registered(backEnd("a", born = 2), 61)), 61, scene.now)
            scene.place().target shouldBe TargetId("a")
        }

        test("a back end that wants nothing for some time gets nothing until then, even if no other one is left") {
            val scene = Scene(listOf(backEnd("a"), backEnd("b")))
            scene.notices.onNoticeReceived(backEnd("a").run, BackEndNotice.ClosedFor(3.seconds), scene.now)
            repeat(3) { scene.place().target shouldBe TargetId("b") }
            scene.notices.onNoticeReceived(backEnd("b").run, BackEndNotice.ClosedFor(5.seconds), scene.now)
            val refused = scene.place().getCompleted().shouldBeInstanceOf<Placement.Refused>()
            refused.refusal.retryAfter shouldBe 3.seconds
            val waiting = scene.place(maxWait = 4.seconds)
            scene.now += 2_900.milliseconds
            scene.placement.dispatchQueued(scene.now)
            waiting.isCompleted shouldBe false
            scene.now += 100.milliseconds
            scene.placement.dispatchQueued(scene.now)
            waiting.target shouldBe TargetId("a")
        }

        test("a shorter time in a later answer does not end a longer one") {
            val scene = Scene(listOf(backEnd("a")))
            scene.notices.onNoticeReceived(backEnd("a").run, BackEndNotice.ClosedFor(3.seconds), scene.now)
            scene.notices.onNoticeReceived(backEnd("a").run, BackEndNotice.ClosedFor(1.seconds), scene.now)
            scene.now += 2.seconds
            scene.place().getCompleted().shouldBeInstanceOf<Placement.Refused>()
        }
    })
