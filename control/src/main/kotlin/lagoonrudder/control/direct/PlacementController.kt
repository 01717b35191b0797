/**
 * Decides which back end gets a request, and which requests wait or are refused while all are full.
 *
 * A back end's load is what this process has in flight there and what the other entry daemons say they have. A request goes
 * to the back end with the smallest share of its places taken, the own failure domain first, whose loads are known best.
 * Under overload a request that can still be in time goes before one that can't. Each process keeps to its part of the rate
 * that a cold back end bears, at all times, because a back end may turn cold without notice.
 */
package lagoonrudder.control.direct

import kotlinx.coroutines.CompletableDeferred
import lagoonrudder.control.DumpSection
import lagoonrudder.control.dumpSection
import lagoonrudder.control.entry
import lagoonrudder.model.BackEnd
import lagoonrudder.model.CustomerId
import lagoonrudder.model.DomainId
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.Refusal
import lagoonrudder.model.RegionId
import lagoonrudder.model.ServiceId
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightNumber
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Where the daemons and back ends are. */
data class Topology(
    val domain: DomainId,
    val regions: Map<DomainId, RegionId>,
)

/** What the rules of the deployment allow: times of switching, and how far a cold back end's rate may be passed. */
data class PlacementBounds(
    val versionLimit: Duration,
    val coldRatio: Double,
    val coldAllowance: Double,
)

/**
 * What a request needs of a back end. [excluded] are back ends that it must not go to again, [number] the version that began
 * its answer, where it has begun, [promptTokens] the length of its prompt as far as its caller says, [isLate] whether its
 * objective had passed before it came.
 */
data class PlacementRequest(
    val service: ServiceId,
    val customer: CustomerId?,
    val priority: Int,
    val homeRegions: List<Set<RegionId>>,
    val excluded: Set<TargetId>,
    val number: WeightNumber?,
    val promptTokens: Int,
    val isLate: Boolean,
)

sealed class Placement {
    /** [number] is the version that the back end must hold, where a request may no longer run on an older one. */
    data class Placed(
        val backEnd: BackEnd,
        val number: WeightNumber?,
    ) : Placement()

    data class Refused(
        val refusal: Refusal,
        val reason: String,
    ) : Placement()
}

class PlacementController(
    private val places: Topology,
    private val bounds: PlacementBounds,
    private val storeView: StoreViewController,
    private val peers: PeerController,
    private val slots: BackEndStateController,
    private val random: Random,
) {
    private class Waiting(
        val need: PlacementRequest,
        val since: Duration,
        val until: Duration,
    ) {
        val decided = CompletableDeferred<Placement>()
    }

    private val uses = mutableMapOf<TargetId, BackEndStats>()
    private val line = mutableListOf<Waiting>()
    private val inFlightOf = mutableMapOf<CustomerId, Int>()

    /** Places a request now, or puts it in line for at most [maxWait]; the result is complete in either case or becomes so. */
    fun place(
        need: PlacementRequest,
        maxWait: Duration,
        now: Duration,
    ): CompletableDeferred<Placement> {
        val placement = attempt(need, now)
        val waits = mayWait(placement) && line.size < LONGEST_LINE
        if (!waits || maxWait <= Duration.ZERO) return CompletableDeferred(placement)
        return Waiting(need, now, now + maxWait).also { line += it }.decided
    }

    /** The patience of a request in line is over: it gets a place now or none. */
    fun onWaitTimeout(
        decision: CompletableDeferred<Placement>,
        now: Duration,
    ) {
        val waiting = line.firstOrNull { it.decided === decision } ?: return
        line.remove(waiting)
        waiting.decided.complete(attempt(waiting.need, now))
    }

    /** The caller of a request in line is gone. */
    fun cancelWaiting(decision: CompletableDeferred<Placement>) {
        line.removeAll { it.decided === decision }
    }

    /** An attempt has ended; its place is free for the next in line. */
    fun ended(
        target: TargetId,
        customer: CustomerId?,
        end: AttemptOutcome,
        now: Duration,
    ) {
        useOf(target).ended(end, now)
        if (customer != null) inFlightOf.merge(customer, -1, Int::plus)
        dispatchQueued(now)
    }

    /** Serves and ends what is in line; called when something changed and now and then. */
    fun dispatchQueued(now: Duration) {
        if (line.isEmpty()) return
        // A place serves somebody in time only if it goes to a request that can still be in time.
        line.sortWith(compareBy({ it.need.priority }, { it.need.isLate }, { inFlightOf[it.need.customer] ?: 0 }, { it.since }))
        val entries = line.iterator()
        while (entries.hasNext()) {
            val waiting = entries.next()
            val placement = attempt(waiting.need, now)
            if (mayWait(placement) && now < waiting.until) continue
            entries.remove()
            waiting.decided.complete(placement)
        }
    }

    /** Forgets back ends that are gone. */
    fun published() {
        uses.keys.removeIf { storeView.backEnd(it) == null && (uses[it]?.inFlight ?: 0) == 0 }
    }

    /** What this process has in flight at each back end. */
    fun inFlight(): Map<TargetId, Int> = uses.filterValues { it.inFlight > 0 }.mapValues { it.value.inFlight }

    fun waiting(): Int = line.size

    fun dump(now: Duration): DumpSection =
        dumpSection("placement") {
            entry("waiting", line.size)
            for ((id, use) in uses) {
                val elsewhere = peers.inFlightElsewhere(id, now)
                val aside = use.ejectedUntil - now
                entry(id.text, "in-flight=${use.inFlight} elsewhere=$elsewhere failures=${use.failures} aside=$aside")
            }
        }

    /** Whether all that keeps a request from a back end is that their places are taken. */
    private fun mayWait(placement: Placement) = placement is Placement.Refused && placement.refusal is Refusal.Overloaded

    private fun attempt(
        need: PlacementRequest,
        now: Duration,
    ): Placement {
        val usable = storeView.backEnds.filter { it.service == need.service && isUsable(it, need, now) }
        if (usable.isEmpty()) return Placement.Refused(Refusal.NoTarget(NO_TARGET_RETRY), reasonOf(need, now))
        val rested = usable.filter { useOf(it.id).ejectedUntil <= now }.ifEmpty { listOf(usable.minBy { useOf(it.id).ejectedUntil }) }
        val free = rested.filter { load(it, now) < mostInFlight(it, need, now) && bearsOneMore(it, now) }
        if (free.isEmpty()) return Placement.Refused(Refusal.Overloaded(FULL_RETRY), "full back-ends=${rested.size}")
        val chosen = free.minBy { score(it, now) }
        useOf(chosen.id).send(need.promptTokens, now)
        if (need.customer != null) inFlightOf.merge(need.customer, 1, Int::plus)
        return Placement.Placed(chosen, requiredNumber(slots.held(chosen, now), need, now))
    }

    private fun isUsable(
        backEnd: BackEnd,
        need: PlacementRequest,
        now: Duration,
    ): Boolean {
        val region = places.regions[backEnd.domain]
        val inHomes = need.homeRegions.all { it.isEmpty() || region in it }
        val isOpen =
            !backEnd.leaving && backEnd.domain !in storeView.evacuated && !slots.closed(backEnd, now) && backEnd.id !in need.excluded
        return isOpen && inHomes && holdsWeights(backEnd, need, now)
    }

    private fun holdsWeights(
        backEnd: BackEnd,
        need: PlacementRequest,
        now: Duration,
    ): Boolean {
        val layout = storeView.serving?.service(backEnd.service)?.weights ?: return true
        val held = slots.held(backEnd, now) ?: return false
        if (held.layers < layout.layers) return false
        val begun = need.number
        if (begun != null && held.number != begun) return false
        val required = requiredNumber(held, need, now) ?: return true
        return held.number >= required
    }

    /** The version that a request must begin on: the declared one once its time to spread is nearly over. */
    private fun requiredNumber(
        held: HeldWeights?,
        need: PlacementRequest,
        now: Duration,
    ): WeightNumber? {
        val declared = held?.let { storeView.declaredAsOf(it.model, now - bounds.versionLimit + SWITCH_MARGIN) }
        return declared?.number ?: need.number
    }

    private fun reasonOf(
        need: PlacementRequest,
        now: Duration,
    ): String {
        val all = storeView.backEnds.filter { it.service == need.service }
        val without = all.count { !holdsWeights(it, need, now) }
        val leaving = all.count { it.leaving }
        return "no back end listed=${all.size} leaving=$leaving without-weights=$without passed-over=${need.excluded.size}"
    }

    private fun load(
        backEnd: BackEnd,
        now: Duration,
    ): Int = useOf(backEnd.id).inFlight + peers.inFlightElsewhere(backEnd.id, now)

    /**
     * A place in an engine's batch is taken for a second, one in a plain service for milliseconds. The last places of an engine
     * are kept for requests that can still be in time.
     */
    private fun mostInFlight(
        backEnd: BackEnd,
        need: PlacementRequest,
        now: Duration,
    ): Int {
        val isEngine = storeView.serving?.service(backEnd.service)?.weights != null
        return when {
            !isEngine -> backEnd.slots + QUEUED_CALLS
            isDueSoon(backEnd, now) -> (backEnd.slots - SPARED_WHEN_DUE).coerceAtLeast(1)
            need.isLate -> (backEnd.slots - KEPT_FROM_LATE).coerceAtLeast(1)
            else -> backEnd.slots + QUEUED_STREAMS
        }
    }

    /** Whether [backEnd] is about to be too old: a request that waits in its queue could begin after the bound. */
    private fun isDueSoon(
        backEnd: BackEnd,
        now: Duration,
    ): Boolean {
        val held = slots.held(backEnd, now) ?: return false
        val due = storeView.declaredAsOf(held.model, now - bounds.versionLimit + SWITCH_MARGIN + DUE_SOON) ?: return false
        return held.number < due.number
    }

    private fun bearsOneMore(
        backEnd: BackEnd,
        now: Duration,
    ): Boolean {
        val rate = storeView.serving?.service(backEnd.service)?.coldRequestsPerSecond ?: return true
        val most = (rate * bounds.coldRatio + bounds.coldAllowance) * COLD_SAFE_PART / peers.entryCount(now)
        return useOf(backEnd.id).recentRequests(now) + 1 <= most.coerceAtLeast(1.0)
    }

    private fun score(
        backEnd: BackEnd,
        now: Duration,
    ): Double {
        val places = backEnd.slots.coerceAtLeast(1)
        val distance = if (backEnd.domain == this.places.domain) 0.0 else DISTANCE_PENALTY
        val reading = useOf(backEnd.id).prefillTokens(now) * PENALTY_OF_READ_TOKEN
        return (load(backEnd, now) + random.nextDouble() + distance + reading) / places
    }

    private fun useOf(target: TargetId) = uses.getOrPut(target) { BackEndStats() }

    private companion object {
        /** What may wait in a back end's own queue without making answers late. */
        const val QUEUED_STREAMS = 1
        const val QUEUED_CALLS = 4
        const val LONGEST_LINE = 200

        /** In requests: what this process knows of other domains is older than words between neighbours. */
        const val DISTANCE_PENALTY = 3.0

        /** In requests: 1,000 tokens that are being read put a first event off by about a pass of the engine. */
        const val PENALTY_OF_READ_TOKEN = 0.002
        val NO_TARGET_RETRY = 1_000.milliseconds
        val FULL_RETRY = 1_000.milliseconds

        /** Requests sent within the margin may still wait in a back end's queue when the time to switch is over. */
        val SWITCH_MARGIN = 1_200.milliseconds

        /** Before that, a back end with the older version gets no more than it can begin at once, by words that may be old. */
        val DUE_SOON = 1_000.milliseconds
        const val SPARED_WHEN_DUE = 3

        /** Places of an engine; that many are freed in the time between two words of a neighbour. */
        const val KEPT_FROM_LATE = 2

        /** The rest is left for entry daemons that this one hasn't heard of and for requests that arrive late together. */
        const val COLD_SAFE_PART = 0.9
    }
}
