/**
 * Admits requests by urgency, from what all entry daemons report of their callers.
 *
 * Each daemon counts its own requests and adds the counts that it has heard. What a service can take is estimated from the requests
 * placed in a second for each slot in use, both over all daemons that report, so that daemons which are not heard change neither
 * side of the comparison alone. The decision is renewed when a request arrives and the last one is older than a report.
 */
package lagoonrudder.control.direct.admission

import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.direct.StoreViewController
import lagoonrudder.model.ServiceId
import lagoonrudder.model.ServingConfiguration
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A change of what is admitted to [service], with what it was computed from. */
data class AdmissionChange(
    val service: ServiceId,
    val before: AdmissionLevel,
    val after: AdmissionLevel,
    val demand: List<LevelDemand>,
    val use: SlotUse,
    val capacity: Double,
)

/** Requests that were admitted and refused since the start of the process. */
data class AdmissionTotals(
    val admitted: Long,
    val refused: Long,
)

/** [slotUse] returns the use of the slots of a service now; [onChange] runs when another level is admitted. */
internal class UrgencyController(
    private val storeView: StoreViewController,
    private val peers: PeerController,
    private val random: Random,
    private val policy: AdmissionPolicy,
    private val slotUse: (ServiceId, Duration) -> SlotUse,
    private val waitingOf: (ServiceId, UrgencyLevel) -> Int,
    private val onChange: (AdmissionChange) -> Unit,
) {
    private class State(
        val credits: DoubleArray,
    ) {
        val counter = DemandCounter()
        var admission: AdmissionLevel = AdmissionLevel.Open
        var decidedAt: Duration? = null
        var placedPerSlot: Double? = null
        var scarceAt = Duration.ZERO
    }

    private val states = mutableMapOf<ServiceId, State>()
    private val admitted = LongArray(UrgencyLevels.MAX_LEVELS)
    private val refused = LongArray(UrgencyLevels.MAX_LEVELS)
    private var configuration: ServingConfiguration? = null
    private var levels = UrgencyLevels.NONE

    /** Returns the level of requests with [rank] for [service]; null if urgency decides nothing about them. */
    fun levelOf(
        service: ServiceId,
        rank: Int,
    ): UrgencyLevel? =
        when (policy) {
            AdmissionPolicy.Everyone -> null
            is AdmissionPolicy.ByUrgency -> currentLevels().levelOf(service, rank)
        }

    private fun currentLevels(): UrgencyLevels {
        val serving = storeView.serving
        if (serving !== configuration) {
            configuration = serving
            levels = serving?.let { UrgencyLevels.of(it) } ?: UrgencyLevels.NONE
            states.keys.retainAll(levels.services)
        }
        return levels
    }

    fun recordArrival(
        service: ServiceId,
        level: UrgencyLevel,
        now: Duration,
    ) = stateOf(service).counter.recordArrival(level, now)

    fun recordPlaced(
        service: ServiceId,
        level: UrgencyLevel,
        now: Duration,
    ) {
        stateOf(service).counter.recordPlaced(level, now)
        admitted[level.index]++
    }

    fun recordRefused(
        service: ServiceId,
        level: UrgencyLevel,
        now: Duration,
    ) {
        stateOf(service).counter.recordRefused(level, now)
        refused[level.index]++
    }

    /** Decides whether a new request of [level] may look for a place. */
    fun admits(
        service: ServiceId,
        level: UrgencyLevel,
        now: Duration,
    ): Boolean {
        val state = stateOf(service)
        decideAgain(service, now)
        val share = state.admission.shareOf(level)
        if (share >= 1.0) return true
        // Credit instead of a draw spreads those who are admitted evenly.
        state.credits[level.index] += share
        if (state.credits[level.index] >= 1.0) {
            state.credits[level.index] -= 1.0
            return true
        }
        return slotUse(service, now).isAmple
    }

    /** Whether [level] is admitted whole while a less urgent one isn't. */
    fun isAdmittedWhole(
        service: ServiceId,
        level: UrgencyLevel,
    ): Boolean =
        when (val admission = admission(service)) {
            AdmissionLevel.Open -> false
            is AdmissionLevel.Bound -> level < admission.level
        }

    /** Whether some requests of [level] are not admitted. */
    fun isAdmittedInPart(
        service: ServiceId,
        level: UrgencyLevel,
    ): Boolean = admission(service).shareOf(level) < 1.0

    /** Records that a request which was placed did not run, so that it tells nothing about what the back ends take. */
    fun onNotRun(service: ServiceId) = states[service]?.counter?.withdrawPlaced()

    /** Whether a slot that a request of [level] could take is left to more urgent ones that wait at other daemons nearby. */
    fun leavesSlot(
        service: ServiceId,
        level: UrgencyLevel,
        now: Duration,
    ): Boolean {
        val nearby = peers.moreUrgentWaitingNearby(service, level, now)
        if (nearby == 0 || slotUse(service, now).isAmple) return false
        val here = waitingOf(service, level).coerceAtLeast(1)
        return random.nextDouble() * (nearby + here) < nearby
    }

    /** Computes again what is admitted to the services from which requests were decided about. */
    fun onTick(now: Duration) = states.keys.forEach { decideAgain(it, now) }

    private fun decideAgain(
        service: ServiceId,
        now: Duration,
    ) {
        val state = stateOf(service)
        val last = state.decidedAt
        if (policy !is AdmissionPolicy.ByUrgency || (last != null && now - last < INTERVAL)) return
        state.decidedAt = now
        val demand = sumOfDemand(listOf(ownDemand(service, now), peers.demandElsewhere(service, now)))
        val use = slotUse(service, now)
        val placedPerSlot = updatePlacedPerSlot(state, demand, use)
        // Where no back end is known to answer, placement tries them one by one, so nothing is refused beforehand.
        val isUnknown = placedPerSlot == null || use.slots == 0
        val capacity = if (isUnknown || use.isAmple) Double.POSITIVE_INFINITY else use.slots * placedPerSlot * policy.usedShare
        val before = state.admission
        val next = admissionLevel(demand, capacity, before)
        if (next is AdmissionLevel.Bound) state.scarceAt = now
        state.admission = if (next is AdmissionLevel.Open && now - state.scarceAt < REOPENING_TIME) admittingAll(before) else next
        if (indexOf(before) != indexOf(state.admission)) onChange(AdmissionChange(service, before, state.admission, demand, use, capacity))
    }

    /** Returns [before] with every request admitted, so that the level itself doesn't change while callers still return. */
    private fun admittingAll(before: AdmissionLevel): AdmissionLevel =
        when (before) {
            AdmissionLevel.Open -> before
            is AdmissionLevel.Bound -> before.copy(share = 1.0, floor = 1.0)
        }

    /** Returns how many requests a slot in use takes in a second; null while nothing tells. */
    private fun updatePlacedPerSlot(
        state: State,
        demand: List<LevelDemand>,
        use: SlotUse,
    ): Double? {
        val placed = demand.sumOf { it.placed }
        if (placed == 0 || use.busy == 0) return state.placedPerSlot
        val observed = placed.toDouble() / use.busy
        return (state.placedPerSlot?.let { it + (observed - it) * SMOOTHING } ?: observed).also { state.placedPerSlot = it }
    }

    private fun ownDemand(
        service: ServiceId,
        now: Duration,
    ): List<LevelDemand> = states[service]?.counter?.demand(now) { waitingOf(service, it) }.orEmpty()

    /** Returns the own counts of the services whose requests differ in rank. */
    fun demand(now: Duration): Map<ServiceId, List<LevelDemand>> =
        states.keys
            .associateWith { ownDemand(it, now) }
            .filterValues { it.isNotEmpty() }

    fun admission(service: ServiceId): AdmissionLevel = states[service]?.admission ?: AdmissionLevel.Open

    /** The index of the least urgent level that is admitted directly, the lowest of all services; one past the last while all are open. */
    val lowestAdmitted: Int get() = states.values.minOfOrNull { indexOf(it.admission) } ?: UrgencyLevels.MAX_LEVELS

    /** Returns what became of the requests of each level, by its index. */
    fun totals(): List<AdmissionTotals> = admitted.indices.map { AdmissionTotals(admitted[it], refused[it]) }

    private fun indexOf(admission: AdmissionLevel): Int =
        when (admission) {
            AdmissionLevel.Open -> UrgencyLevels.MAX_LEVELS
            is AdmissionLevel.Bound -> admission.level.index
        }

    private fun stateOf(service: ServiceId) =
        states.getOrPut(service) { State(DoubleArray(UrgencyLevels.MAX_LEVELS) { random.nextDouble() }) }

    private companion object {
        /** The age of the reports from daemons nearby. */
        val INTERVAL = 100.milliseconds

        /** Callers that were refused return within a third of the time that they have left, mostly two seconds, and count for another. */
        val REOPENING_TIME = 3.seconds
        const val SMOOTHING = 0.3
    }
}
