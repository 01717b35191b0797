/**
 * Simulates entry daemons before engines under overload, in virtual time, with the real placement controllers.
 *
 * Engines run up to their slots at a time and queue the rest. Entry daemons learn of each other's requests by gossip that is a
 * tenth of a second old. Callers go to a random entry daemon, honour the time to return up to a third of the time that they have
 * left, and try once more.
 */
package lagoonrudder.standins.measure

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import lagoonrudder.control.direct.AttemptOutcome
import lagoonrudder.control.direct.AttemptTimes
import lagoonrudder.control.direct.BackEndNoticeController
import lagoonrudder.control.direct.BackEndStateController
import lagoonrudder.control.direct.DecodedItem
import lagoonrudder.control.direct.LoadReport
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
import lagoonrudder.control.direct.admission.OverloadPolicies
import lagoonrudder.control.direct.admission.WaitLimit
import lagoonrudder.control.direct.suspicion.SuspicionController
import lagoonrudder.model.Address
import lagoonrudder.model.BackEnd
import lagoonrudder.model.CallerLimits
import lagoonrudder.model.CustomerId
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.Invariants
import lagoonrudder.model.ModelId
import lagoonrudder.model.RegionId
import lagoonrudder.model.Revision
import lagoonrudder.model.ServiceId
import lagoonrudder.model.ServingConfiguration
import lagoonrudder.model.ServingService
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightLayout
import lagoonrudder.model.WeightNumber
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
    private val entryCount: Int = 6,
    private val engineCount: Int = 8,
) {
    private class Event(
        val at: Duration,
        val order: Long,
        val run: () -> Unit,
    )

    private class Caller(
        val startedAt: Duration,
        val customer: Int,
        val abusive: Boolean,
        val counted: Boolean,
    ) {
        var tries = 0
    }

    private inner class Engine(
        val id: TargetId,
    ) {
        private val waiting = ArrayDeque<() -> Unit>()
        private var running = 0

        fun submit(start: () -> Unit) {
            if (running < SLOTS) begin(start) else waiting.addLast(start)
        }

        fun release() {
            running--
            waiting.removeFirstOrNull()?.let { begin(it) }
        }

        private fun begin(start: () -> Unit) {
            running++
            start()
        }
    }

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy<Event>({ it.at }, { it.order }))
    private var now = Duration.ZERO
    private var order = 0L
    private val engines = (0 until engineCount).associate { TargetId("engine-$it") to Engine(TargetId("engine-$it")) }
    private val entries = (0 until entryCount).map { entry(it) }
    private val capacityPerSecond = engineCount * SLOTS / (MEAN_HOLD / 1.seconds)

    private var started = 0
    private var inTime = 0
    private var late = 0
    private var refusedAgain = 0
    private val startedBy = IntArray(CUSTOMERS)
    private val servedBy = IntArray(CUSTOMERS)
    private val waitsOfRefused = mutableListOf<Duration>()

    private class Entry(
        val peer: PeerDaemon,
        val storeView: StoreViewController,
        val peers: PeerController,
        val placement: PlacementController,
    )

    fun run(): OverloadResult {
        schedule(Duration.ZERO) { arrive() }
        schedule(GOSSIP_INTERVAL) { gossip() }
        if (pattern is LoadPattern.BackEndsGone) {
            schedule(LoadPattern.START) { setHalfLeaving(leaving = true, revision = 100) }
            schedule(pattern.end) { setHalfLeaving(leaving = false, revision = 200) }
        }
        while (true) {
            val event = events.poll() ?: break
            if (event.at > pattern.end + DRAIN_TIME) break
            now = event.at
            event.run()
        }
        val seconds = (pattern.end - LoadPattern.START) / 1.seconds
        val served = servedBy.indices.map { servedBy[it].toDouble() / startedBy[it].coerceAtLeast(1) }
        return OverloadResult(
            goodput = inTime / (capacityPerSecond * seconds),
            inTime = inTime.toDouble() / started,
            late = late.toDouble() / started,
            refusedAgain = refusedAgain.toDouble() / started,
            medianWaitOfRefused = waitsOfRefused.sorted().let { if (it.isEmpty()) Duration.ZERO else it[it.size / 2] },
            leastServedCustomer = served.min() / served.average(),
        )
    }

    private fun arrive() {
        val customer = if (isFlooded()) floodedCustomer() else random.nextInt(CUSTOMERS)
        val counted = now >= LoadPattern.START && now < pattern.end
        val abusive = pattern is LoadPattern.AbusiveRetries && random.nextDouble() < pattern.share
        val caller = Caller(now, customer, abusive, counted)
        if (counted) {
            started++
            startedBy[customer]++
        }
        attempt(caller)
        val gap = (-ln(1 - random.nextDouble()) / (capacityPerSecond * rate())).seconds
        if (now + gap < pattern.end + DRAIN_TIME) schedule(gap) { arrive() }
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
        }
    }

    private fun attempt(caller: Caller) {
        val entry = entries[random.nextInt(entryCount)]
        val attemptAt = now
        val age = now - caller.startedAt
        val timeLeft = DEADLINE - age
        if (timeLeft <= Duration.ZERO) return lose(caller)
        caller.tries++
        val request =
            PlacementRequest(
                service = SERVICE,
                customer = CustomerId("customer-${caller.customer}"),
                priority = 1,
                homeRegions = emptyList(),
                excluded = emptySet(),
                number = null,
                promptTokens = PROMPT_TOKENS,
                isLate = age > OBJECTIVE,
                wait = WaitLimit.ForObjective(OBJECTIVE, (OBJECTIVE - age).coerceAtLeast(Duration.ZERO), PATIENCE, timeLeft),
                timeLeft = timeLeft,
            )
        val ticket = entry.placement.place(request, now)
        ticket.result.invokeOnCompletion { onDecided(caller, entry, ticket.result, attemptAt) }
        if (!ticket.result.isCompleted) schedule(ticket.wait) { entry.placement.onWaitTimeout(ticket.result, now) }
    }

    private fun onDecided(
        caller: Caller,
        entry: Entry,
        result: CompletableDeferred<Placement>,
        attemptAt: Duration,
    ) {
        when (val placement = result.getCompleted()) {
            is Placement.Placed -> send(caller, entry, placement)
            is Placement.Refused -> refuse(caller, placement.refusal.retryAfter ?: Duration.ZERO, attemptAt)
        }
    }

    private fun send(
        caller: Caller,
        entry: Entry,
        placed: Placement.Placed,
    ) {
        val engine = engines.getValue(placed.backEnd.id)
        val sentAt = now
        engine.submit {
            val prefill = PREFILL + PREFILL_SPREAD * random.nextDouble()
            val firstEventAt = now + prefill + STRIDE
            val hold = prefill + MEAN_GENERATION * length()
            schedule(hold) {
                engine.release()
                val times = AttemptTimes(now - sentAt, firstEventAt - sentAt)
                val customer = CustomerId("customer-${caller.customer}")
                entry.placement.onAttemptEnded(engine.id, customer, AttemptOutcome.ANSWERED, now, times)
            }
            if (caller.counted) {
                servedBy[caller.customer]++
                if (firstEventAt - caller.startedAt <= OBJECTIVE) inTime++ else late++
            }
        }
    }

    /** Returns a length of a response with mean 1 and a long tail that ends at three times the mean. */
    private fun length(): Double = -ln(1 - random.nextDouble() * LENGTH_CUT) / MEAN_LENGTH

    private fun refuse(
        caller: Caller,
        retryAfter: Duration,
        attemptAt: Duration,
    ) {
        if (caller.counted) waitsOfRefused += now - attemptAt
        val timeLeft = DEADLINE - (now - caller.startedAt)
        val maxTries = if (caller.abusive) ABUSIVE_TRIES else TRIES
        if (caller.tries >= maxTries) return lose(caller)
        schedule(if (caller.abusive) Duration.ZERO else minOf(retryAfter, timeLeft / 3)) { attempt(caller) }
    }

    private fun lose(caller: Caller) {
        if (caller.counted) refusedAgain++
    }

    private fun gossip() {
        for (from in entries) {
            val inFlight = from.placement.inFlight()
            schedule(GOSSIP_DELAY) {
                for (to in entries) {
                    if (to !==
                        from
                    ) {
                        to.peers.onGossipReceived(from.peer, LoadReport(inFlight, 1), null, now)
                    }
                }
            }
        }
        for (entry in entries) entry.placement.dispatchQueued(now)
        schedule(GOSSIP_INTERVAL) { gossip() }
    }

    private fun schedule(
        after: Duration,
        run: () -> Unit,
    ) {
        events += Event(now + after, order++, run)
    }

    private fun setHalfLeaving(
        leaving: Boolean,
        revision: Long,
    ) {
        val changes = engines.keys.take(engineCount / 2).mapIndexed { index, id -> registered(id, leaving, revision + index) }
        for (entry in entries) entry.storeView.applyChanges(changes, StorePosition.unstated(revision + engineCount), now)
    }

    private fun entry(index: Int): Entry {
        val peer = PeerDaemon(DaemonId("entry-$index"), DaemonRole.ENTRY, DOMAIN, REGION, Address("10.1.0.${index + 1}", 80))
        val storeView = StoreViewController(Invariants { error("violated: $it") })
        val configuration = DecodedItem(StoreItem("op/config", 1, NO_BYTES), StoreRecord.Configuration(configuration()))
        val backEnds = engines.keys.mapIndexed { number, id -> registered(id, leaving = false, revision = 2L + number) }
        storeView.applyChanges(backEnds + configuration, StorePosition.unstated(2L + engineCount), Duration.ZERO)
        val peers = PeerController(peer, emptyList())
        val decisions = Random(random.nextLong())
        val placement =
            PlacementController(
                Topology(DOMAIN, mapOf(DOMAIN to REGION)),
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
        val backEnd = BackEnd(id, SERVICE, address, DOMAIN, SLOTS, leaving, Duration.ZERO, 1, weights)
        return DecodedItem(StoreItem("servers/${id.text}", revision, NO_BYTES), StoreRecord.Registered(backEnd))
    }

    private fun configuration() =
        ServingConfiguration(
            Revision(1),
            emptyList(),
            listOf(ServingService(SERVICE, 100, null, WeightLayout(listOf(MODEL), LAYERS, 2, 8), null, null)),
            emptyList(),
            CallerLimits(1_000, 1_000, 1.seconds, 1.seconds),
        )

    private companion object {
        val DOMAIN = DomainId("one")
        val REGION = RegionId("first")
        val SERVICE = ServiceId("engines")
        val MODEL = ModelId("model")
        val NO_BYTES = ByteArray(0)
        const val LAYERS = 16
        const val SLOTS = 16
        const val CUSTOMERS = 10
        const val PROMPT_TOKENS = 900
        const val TRIES = 2
        const val ABUSIVE_TRIES = 4
        const val LENGTH_CUT = 0.95

        /** The mean of an exponential distribution with mean 1 without its longest twentieth. */
        const val MEAN_LENGTH = 0.842
        val OBJECTIVE = 400.milliseconds
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
        val DRAIN_TIME = 8.seconds
    }
}
