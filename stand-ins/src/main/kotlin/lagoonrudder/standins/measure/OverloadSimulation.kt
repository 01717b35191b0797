/**
 * Simulates entry daemons before engines under overload, in virtual time, with the real placement controllers.
 *
 * Engines run up to their slots at a time and queue the rest in the order of the priority that they are told. Entry daemons of one
 * failure domain learn of each other's requests by gossip that is a tenth of a second old; every 450 ms, each exchanges the sum of its
 * domain with one daemon of each other domain. Callers go to a random entry daemon, honour the time to return up to a third of the time
 * that they have left, and try once more.
 */
package lagoonrudder.standins.measure

import kotlinx.coroutines.ExperimentalCoroutinesApi
import lagoonrudder.control.direct.AttemptOutcome
import lagoonrudder.control.direct.AttemptTimes
import lagoonrudder.control.direct.BackEndNoticeController
import lagoonrudder.control.direct.BackEndStateController
import lagoonrudder.control.direct.DecodedItem
import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.direct.PeerDaemon
import lagoonrudder.control.direct.Placement
import lagoonrudder.control.direct.PlacementBounds
import lagoonrudder.control.direct.PlacementController
import lagoonrudder.control.direct.PlacementRequest
import lagoonrudder.control.direct.StoreItem
import lagoonrudder.control.direct.StorePosition
import lagoonrudder.control.direct.StoreViewController
import lagoonrudder.control.direct.Topology
import lagoonrudder.control.direct.admission.AdmissionLevel
import lagoonrudder.control.direct.admission.OverloadPolicies
import lagoonrudder.control.direct.admission.UrgencyLevels
import lagoonrudder.control.direct.admission.WaitLimit
import lagoonrudder.control.direct.suspicion.SuspicionController
import lagoonrudder.model.Address
import lagoonrudder.model.BackEnd
import lagoonrudder.model.CallerAccess
import lagoonrudder.model.CallerLimits
import lagoonrudder.model.CustomerId
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.Invariants
import lagoonrudder.model.ModelId
import lagoonrudder.model.RegionId
import lagoonrudder.model.RequestKind
import lagoonrudder.model.Revision
import lagoonrudder.model.RouteId
import lagoonrudder.model.ServiceId
import lagoonrudder.model.ServiceShare
import lagoonrudder.model.ServingConfiguration
import lagoonrudder.model.ServingRoute
import lagoonrudder.model.ServingService
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightLayout
import lagoonrudder.model.WeightNumber
import lagoonrudder.model.rankOf
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class OverloadSimulation(
    private val pattern: LoadPattern,
    private val policies: OverloadPolicies,
    seed: Long,
    private val fleet: SimulatedFleet = SimulatedFleet(),
) {
    private class Event(
        val at: Duration,
        val order: Long,
        val run: () -> Unit,
    )

    private class Caller(
        val startedAt: Duration,
        val customer: Int,
        val rank: SimulatedRank,
        val abusive: Boolean,
    ) {
        var tries = 0
        var firstEventAt: Duration? = null
        var refusedLate = false
        var lost = false
    }

    /** A request at an engine; [onLost] runs if the engine is lost. */
    private class Work(
        val entry: Entry,
        val caller: Caller,
        val priority: Int,
        val onLost: () -> Unit,
        val start: (Work) -> Unit,
    ) {
        var ended = false
    }

    private inner class Engine(
        val id: TargetId,
    ) {
        val domain = domainOf(id.text.substringAfter('-').toInt())
        private val waiting = mutableListOf<Work>()
        private val running = mutableSetOf<Work>()
        val busy get() = minOf(running.size + waiting.size, fleet.slots)
        var isLost = false
            private set

        fun submit(work: Work) {
            if (running.size < fleet.slots) begin(work) else waiting += work
        }

        fun release(work: Work) {
            work.ended = true
            running -= work
            waiting.minByOrNull { it.priority }?.let {
                waiting -= it
                begin(it)
            }
        }

        fun lose() {
            isLost = true
            (running + waiting).forEach {
                it.ended = true
                it.onLost()
            }
            running.clear()
            waiting.clear()
        }

        /** Ends the work of a daemon that is gone, and returns its callers. */
        fun abandon(entry: Entry): List<Caller> {
            val gone = (running + waiting).filter { it.entry === entry }
            waiting.removeAll { it.entry === entry }
            gone.filter { it in running }.forEach { release(it) }
            gone.forEach { it.ended = true }
            return gone.map { it.caller }
        }

        private fun begin(work: Work) {
            running += work
            work.start(work)
        }
    }

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy<Event>({ it.at }, { it.order }))
    private var now = Duration.ZERO
    private var order = 0L
    private val engines = (0 until fleet.engineCount).associate { TargetId("engine-$it") to Engine(TargetId("engine-$it")) }
    private val entries = (0 until fleet.entryCount).map { entry(it) }.toMutableList()
    private val capacityPerSecond = fleet.engineCount * fleet.slots / (MEAN_HOLD / 1.seconds)
    private val fault = (pattern as? LoadPattern.UrgencyBurst)?.fault ?: SimulatedFault.Nothing
    private val gossipRandom = Random(seed)

    /** The callers who began during the load. */
    private val counted = mutableListOf<Caller>()
    private val waitsOfRefused = mutableListOf<Duration>()
    private var refusalsWhileFree = 0
    private val levels = List(fleet.entryCount) { mutableListOf<Pair<Duration, Int>>() }

    private class Entry(
        val peer: PeerDaemon,
        val storeView: StoreViewController,
        val peers: PeerController,
        val placement: PlacementController,
    ) {
        val waiting = mutableSetOf<Caller>()
        var isGone = false
    }

    fun run(): OverloadResult {
        schedule(Duration.ZERO) { arrive() }
        schedule(GOSSIP_INTERVAL) { gossip() }
        if (fleet.domains > 1) entries.indices.forEach { index -> schedule(FAR_INTERVAL * gossipRandom.nextDouble()) { gossipFar(index) } }
        if (pattern is LoadPattern.BackEndsGone) {
            schedule(LoadPattern.START) { setLeaving(engines.keys.take(fleet.engineCount / 2), leaving = true, revision = 100) }
            schedule(pattern.end) { setLeaving(engines.keys.take(fleet.engineCount / 2), leaving = false, revision = 200) }
        }
        scheduleFault()
        while (true) {
            val event = events.poll() ?: break
            if (event.at > pattern.end + DRAIN_TIME) break
            now = event.at
            event.run()
        }
        return result()
    }

    private fun scheduleFault() =
        when (fault) {
            SimulatedFault.Nothing, SimulatedFault.DomainCutOff -> Unit
            SimulatedFault.EnginesLost -> {
                val lost = engines.keys.filterIndexed { index, _ -> index % LOST_FRACTION == 0 }
                schedule(LoadPattern.START) { lost.forEach { engines.getValue(it).lose() } }
                schedule(LoadPattern.START + STORE_EXPIRY) { setLeaving(lost, leaving = true, revision = 100) }
            }
            SimulatedFault.DaemonsRestarted ->
                schedule(LoadPattern.START + 1.seconds) { entries.indices.filter { it % 2 == 1 }.forEach { restart(it) } }
        }

    private fun result(): OverloadResult {
        val seconds = (pattern.end - LoadPattern.START) / 1.seconds
        val served = (0 until CUSTOMERS).map { customer -> counted.filter { it.customer == customer }.shareOf { it.firstEventAt != null } }
        return OverloadResult(
            goodput = counted.count { isInTime(it) } / (capacityPerSecond * seconds),
            inTime = counted.shareOf { isInTime(it) },
            late = counted.shareOf { it.firstEventAt != null && !isInTime(it) },
            refusedAgain = counted.shareOf { it.lost },
            medianWaitOfRefused = waitsOfRefused.sorted().let { if (it.isEmpty()) Duration.ZERO else it[it.size / 2] },
            leastServedCustomer = served.min() / served.average(),
            ranks = fleet.ranks.map { rankResult(it) },
            admission = AdmissionTrace(boundAfter(), reversals(), refusalsWhileFree.toDouble() / waitsOfRefused.size.coerceAtLeast(1)),
        )
    }

    private fun rankResult(rank: SimulatedRank): RankResult {
        val callers = counted.filter { it.rank == rank }
        return RankResult(
            rank = rank.rank,
            served = callers.shareOf { it.firstEventAt != null },
            inTime = callers.shareOf { isInTime(it) },
            refusedLate = callers.shareOf { it.refusedLate },
            refusedAgain = callers.shareOf { it.lost },
        )
    }

    private fun isInTime(caller: Caller) = caller.firstEventAt?.let { it - caller.startedAt <= caller.rank.objective } ?: false

    private fun List<Caller>.shareOf(counts: (Caller) -> Boolean) = count(counts).toDouble() / size.coerceAtLeast(1)

    private fun boundAfter(): Duration? =
        levels
            .mapNotNull { trace -> trace.firstOrNull { (at, level) -> at >= LoadPattern.START && level < UrgencyLevels.MAX_LEVELS }?.first }
            .sorted()
            .getOrNull(fleet.entryCount / 2)
            ?.let { it - LoadPattern.START }

    private fun reversals(): Int =
        levels.maxOf { trace ->
            val after = trace.filter { (at, _) -> at in pattern.end..pattern.end + 5.seconds }.map { it.second }
            val steps = after.zipWithNext { first, second -> second.compareTo(first) }.filter { it != 0 }
            steps.zipWithNext().count { (first, second) -> first != second }
        }

    private fun arrive() {
        val customer = if (isFlooded()) floodedCustomer() else random.nextInt(CUSTOMERS)
        val abusive = pattern is LoadPattern.AbusiveRetries && random.nextDouble() < pattern.share
        val caller = Caller(now, customer, nextRank(), abusive)
        if (now >= LoadPattern.START && now < pattern.end) counted += caller
        attempt(caller)
        val gap = (-ln(1 - random.nextDouble()) / (capacityPerSecond * rate())).seconds
        if (now + gap < pattern.end + DRAIN_TIME) schedule(gap) { arrive() }
    }

    private fun nextRank(): SimulatedRank {
        if (fleet.ranks.size == 1) return fleet.ranks.single()
        var left = random.nextDouble() * fleet.ranks.sumOf { weightOf(it) }
        return fleet.ranks.firstOrNull { rank ->
            left -= weightOf(rank)
            left < 0
        } ?: fleet.ranks.last()
    }

    private fun weightOf(rank: SimulatedRank): Double {
        val isBurst = pattern is LoadPattern.UrgencyBurst && isLoaded() && rank == fleet.ranks.last()
        return if (isBurst) rank.share * pattern.factor else rank.share
    }

    private fun isLoaded() = now >= LoadPattern.START && now < pattern.end

    private fun isFlooded() = pattern is LoadPattern.CustomerFlood && isLoaded()

    private fun floodedCustomer(): Int {
        val factor = (pattern as LoadPattern.CustomerFlood).factor
        return if (random.nextDouble() < factor / (CUSTOMERS - 1 + factor)) 0 else 1 + random.nextInt(CUSTOMERS - 1)
    }

    private fun rate(): Double {
        if (!isLoaded()) return pattern.before
        return when (pattern) {
            is LoadPattern.Step -> pattern.rate
            is LoadPattern.BackEndsGone -> pattern.before
            is LoadPattern.CustomerFlood -> pattern.before * (CUSTOMERS - 1 + pattern.factor) / CUSTOMERS
            is LoadPattern.AbusiveRetries -> pattern.rate
            is LoadPattern.UrgencyBurst -> pattern.before * fleet.ranks.sumOf { weightOf(it) }
        }
    }

    private fun attempt(caller: Caller) {
        val entry = entries[random.nextInt(fleet.entryCount)]
        val attemptAt = now
        val age = now - caller.startedAt
        val timeLeft = DEADLINE - age
        if (timeLeft <= Duration.ZERO) return lose(caller)
        caller.tries++
        val objective = caller.rank.objective
        val wait = WaitLimit.ForObjective(objective, (objective - age).coerceAtLeast(Duration.ZERO), PATIENCE, timeLeft)
        place(caller, entry, request(caller, age > objective, wait, timeLeft)) { refuse(caller, entry, it, attemptAt) }
    }

    private fun request(
        caller: Caller,
        isLate: Boolean,
        wait: WaitLimit,
        timeLeft: Duration,
    ) = PlacementRequest(
        service = SERVICE,
        customer = CustomerId("customer-${caller.customer}"),
        rank = rankOf(null, caller.rank.rank),
        homeRegions = emptyList(),
        excluded = emptySet(),
        number = null,
        promptTokens = PROMPT_TOKENS,
        isLate = isLate,
        wait = wait,
        timeLeft = timeLeft,
    )

    private fun place(
        caller: Caller,
        entry: Entry,
        request: PlacementRequest,
        onRefused: (Duration) -> Unit,
    ) {
        val ticket = entry.placement.place(request, now)
        entry.waiting += caller
        ticket.result.invokeOnCompletion {
            entry.waiting -= caller
            if (entry.isGone) return@invokeOnCompletion
            when (val placement = ticket.result.getCompleted()) {
                is Placement.Placed -> send(caller, entry, request, placement)
                is Placement.Refused -> onRefused(placement.refusal.retryAfter ?: Duration.ZERO)
            }
        }
        if (!ticket.result.isCompleted) schedule(ticket.wait) { entry.placement.onWaitTimeout(ticket.result, now) }
    }

    private fun send(
        caller: Caller,
        entry: Entry,
        request: PlacementRequest,
        placed: Placement.Placed,
    ) {
        val engine = engines.getValue(placed.backEnd.id)
        val sentAt = now
        val onLost = { onAttemptLost(caller, entry, request, engine) }
        when {
            engine.isLost -> schedule(REFUSED_CONNECTION) { onLost() }
            isCut(entry.peer.domain, engine.domain) -> schedule(CONNECTION_TIMEOUT) { onLost() }
            else -> engine.submit(Work(entry, caller, placed.level?.index ?: request.rank, onLost) { run(it, engine, sentAt) })
        }
    }

    private fun run(
        work: Work,
        engine: Engine,
        sentAt: Duration,
    ) {
        val prefill = PREFILL + PREFILL_SPREAD * random.nextDouble()
        val firstEventAt = now + prefill + STRIDE
        val hold = prefill + MEAN_GENERATION * length()
        val caller = work.caller
        schedule(hold) {
            if (work.ended) return@schedule
            engine.release(work)
            val times = AttemptTimes(now - sentAt, firstEventAt - sentAt)
            val customer = CustomerId("customer-${caller.customer}")
            work.entry.placement.onAttemptEnded(engine.id, customer, AttemptOutcome.ANSWERED, now, times)
        }
        if (caller.firstEventAt == null) caller.firstEventAt = firstEventAt
    }

    /** The daemon sends the request to another engine; one whose response has begun precedes all others. */
    private fun onAttemptLost(
        caller: Caller,
        entry: Entry,
        request: PlacementRequest,
        engine: Engine,
    ) {
        if (entry.isGone) return
        entry.placement.onAttemptEnded(engine.id, request.customer, AttemptOutcome.UNREACHABLE, now)
        val hasBegun = caller.firstEventAt?.let { it <= now } ?: false
        if (!hasBegun) caller.firstEventAt = null
        val next =
            request.copy(
                rank = if (hasBegun) RESUME_RANK else request.rank,
                excluded = request.excluded + engine.id,
                wait = WaitLimit.Within(if (hasBegun) RESUME_WAIT else RETRY_WAIT),
            )
        val lostAt = now
        place(caller, entry, next) { if (!hasBegun) refuse(caller, entry, it, lostAt) }
    }

    private fun restart(index: Int) {
        val gone = entries[index]
        gone.isGone = true
        entries[index] = entry(index)
        val callers = engines.values.flatMap { it.abandon(gone) } + gone.waiting
        for (caller in callers) {
            if (caller.firstEventAt?.let { it <= now } ?: false) continue
            caller.firstEventAt = null
            if (caller.tries < TRIES) schedule(RECONNECT_TIME) { attempt(caller) } else lose(caller)
        }
    }

    private fun isCut(
        one: DomainId,
        other: DomainId,
    ): Boolean = fault is SimulatedFault.DomainCutOff && isLoaded() && (one == domainOf(0)) != (other == domainOf(0))

    /** Returns a length of a response with mean 1 and a long tail that ends at three times the mean. */
    private fun length(): Double = -ln(1 - random.nextDouble() * LENGTH_CUT) / MEAN_LENGTH

    private fun refuse(
        caller: Caller,
        entry: Entry,
        retryAfter: Duration,
        attemptAt: Duration,
    ) {
        if (caller.startedAt >= LoadPattern.START && caller.startedAt < pattern.end) {
            waitsOfRefused += now - attemptAt
            if (hasFreeQuarter(entry)) refusalsWhileFree++
        }
        if (now - attemptAt > LATE_REFUSAL) caller.refusedLate = true
        val timeLeft = DEADLINE - (now - caller.startedAt)
        val maxTries = if (caller.abusive) ABUSIVE_TRIES else TRIES
        if (caller.tries >= maxTries) return lose(caller)
        schedule(if (caller.abusive) Duration.ZERO else minOf(retryAfter, timeLeft / 3)) { attempt(caller) }
    }

    private fun hasFreeQuarter(entry: Entry): Boolean {
        val usable = engines.values.filter { !it.isLost && !isCut(entry.peer.domain, it.domain) && !isLeaving(entry, it) }
        return usable.sumOf { it.busy } <= usable.size * fleet.slots * BUSY_SHARE
    }

    private fun isLeaving(
        entry: Entry,
        engine: Engine,
    ) = entry.storeView.backEnd(engine.id)?.leaving ?: true

    private fun lose(caller: Caller) {
        caller.lost = true
    }

    private fun gossip() {
        for (from in entries) {
            for (to in entries) if (to !== from && to.peer.domain == from.peer.domain) tell(from, to)
        }
        for ((index, entry) in entries.withIndex()) {
            entry.placement.dispatchQueued(now)
            levels[index] += now to levelOf(entry.placement.admission(SERVICE))
        }
        schedule(GOSSIP_INTERVAL) { gossip() }
    }

    private fun levelOf(admission: AdmissionLevel): Int =
        when (admission) {
            AdmissionLevel.Open -> UrgencyLevels.MAX_LEVELS
            is AdmissionLevel.Bound -> admission.level.index
        }

    /** Exchanges with one daemon of each other domain. */
    private fun gossipFar(index: Int) {
        val from = entries[index]
        for (members in entries.groupBy { it.peer.domain }.filterKeys { it != from.peer.domain }.values) {
            val to = members[gossipRandom.nextInt(members.size)]
            tell(from, to)
            tell(to, from)
        }
        schedule(FAR_INTERVAL) { gossipFar(index) }
    }

    private fun tell(
        from: Entry,
        to: Entry,
    ) {
        if (isCut(from.peer.domain, to.peer.domain)) return
        val load = from.peers.loadFor(to.peer, from.placement.inFlight(), now, from.placement.demand(now))
        schedule(GOSSIP_DELAY) { to.peers.onGossipReceived(from.peer, load, null, now) }
    }

    private fun schedule(
        after: Duration,
        run: () -> Unit,
    ) {
        events += Event(now + after, order++, run)
    }

    private fun setLeaving(
        ids: List<TargetId>,
        leaving: Boolean,
        revision: Long,
    ) {
        val changes = ids.mapIndexed { index, id -> registered(id, leaving, revision + index) }
        for (entry in entries) entry.storeView.applyChanges(changes, StorePosition.unstated(revision + fleet.engineCount), now)
    }

    private fun domainOf(index: Int) = DomainId("domain-${index % fleet.domains}")

    private fun entry(index: Int): Entry {
        val peer = PeerDaemon(DaemonId("entry-$index"), DaemonRole.ENTRY, domainOf(index), REGION, Address("10.1.0.${index + 1}", 80))
        val storeView = StoreViewController(Invariants { error("violated: $it") })
        val configuration = DecodedItem(StoreItem("op/config", 1, NO_BYTES), StoreRecord.Configuration(configuration()))
        val backEnds = engines.keys.mapIndexed { number, id -> registered(id, leaving = false, revision = 2L + number) }
        storeView.applyChanges(backEnds + configuration, StorePosition.unstated(2L + fleet.engineCount), Duration.ZERO)
        val peers = PeerController(peer, emptyList())
        val decisions = Random(random.nextLong())
        val placement =
            PlacementController(
                Topology(peer.domain, (0 until fleet.domains).associate { domainOf(it) to REGION }),
                PlacementBounds(1.5, 5.0),
                storeView,
                peers,
                BackEndStateController(),
                SuspicionController(peers),
                BackEndNoticeController(),
                decisions,
                policies,
            )
        return Entry(peer, storeView, peers, placement)
    }

    private fun registered(
        id: TargetId,
        leaving: Boolean,
        revision: Long,
    ): DecodedItem {
        val weights = HeldWeights(MODEL, WeightNumber(1), LAYERS)
        val address = Address("10.2.0.${id.text.substringAfter('-').toInt() + 1}", 80)
        val backEnd = BackEnd(id, SERVICE, address, engines.getValue(id).domain, fleet.slots, leaving, Duration.ZERO, 1, weights)
        return DecodedItem(StoreItem("servers/${id.text}", revision, NO_BYTES), StoreRecord.Registered(backEnd))
    }

    private fun configuration() =
        ServingConfiguration(
            Revision(1),
            fleet.ranks.map { route(it) },
            listOf(ServingService(SERVICE, 100, null, WeightLayout(listOf(MODEL), LAYERS, 2, 8), null, null)),
            CallerAccess.Anyone,
            CallerLimits(1_000, 1_000, 1.seconds, 1.seconds),
        )

    private fun route(rank: SimulatedRank) =
        ServingRoute(
            id = RouteId("route-${rank.rank}"),
            host = "host",
            prefix = "/${rank.rank}",
            kind = RequestKind.Stream(resumable = true, maxEventGap = null),
            timeout = DEADLINE,
            latencyObjective = rank.objective,
            priority = rank.rank,
            attempts = 2,
            shares = listOf(ServiceShare(SERVICE, 1.0)),
            open = true,
            homeRegions = emptySet(),
        )

    private companion object {
        val REGION = RegionId("first")
        val SERVICE = ServiceId("engines")
        val MODEL = ModelId("model")
        val NO_BYTES = ByteArray(0)
        const val LAYERS = 16
        const val CUSTOMERS = 10
        const val PROMPT_TOKENS = 900
        const val TRIES = 2
        const val ABUSIVE_TRIES = 4
        const val LENGTH_CUT = 0.95

        /** The mean of an exponential distribution with mean 1 without its longest twentieth. */
        const val MEAN_LENGTH = 0.842
        val DEADLINE = 6.seconds
        val PATIENCE = 2_400.milliseconds
        val PREFILL = 50.milliseconds
        val PREFILL_SPREAD = 80.milliseconds
        val MEAN_GENERATION = 1_000.milliseconds
        val MEAN_HOLD = PREFILL + PREFILL_SPREAD / 2 + MEAN_GENERATION

        /** The time in which an engine makes the tokens of one event. */
        val STRIDE = 50.milliseconds
        val GOSSIP_INTERVAL = 100.milliseconds
        val GOSSIP_DELAY = 10.milliseconds
        val FAR_INTERVAL = 450.milliseconds
        val DRAIN_TIME = 8.seconds

        /** One engine in this many is lost. */
        const val LOST_FRACTION = 5
        const val RESUME_RANK = Int.MIN_VALUE
        const val BUSY_SHARE = 0.75
        val RESUME_WAIT = 1.seconds
        val RETRY_WAIT = 60.milliseconds
        val REFUSED_CONNECTION = 5.milliseconds
        val CONNECTION_TIMEOUT = 300.milliseconds
        val RECONNECT_TIME = 100.milliseconds

        /** The time for which the store lists a back end that writes nothing any more. */
        val STORE_EXPIRY = 2_300.milliseconds

        /** A refusal after a longer wait is late: the caller could have been elsewhere. */
        val LATE_REFUSAL = 50.milliseconds
    }
}
