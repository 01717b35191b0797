/**
 * Assigns requests to back ends and queues or refuses them while all back ends are at capacity.
 *
 * The load of a back end is the number of requests in flight there, from this process and as reported by other entry daemons.
 * A request goes to the back end with the lowest utilization, with a preference for this daemon's own failure domain, whose
 * load is known best. Under overload a request that can still meet its latency objective goes before one that can't. Each
 * process keeps to its share of a cold back end's request rate at all times, because a back end may become cold without notice.
 */
package lagoonrudder.control.direct

import kotlinx.coroutines.CompletableDeferred
import lagoonrudder.control.DumpSection
import lagoonrudder.control.direct.admission.AdmissionChange
import lagoonrudder.control.direct.admission.AdmissionLevel
import lagoonrudder.control.direct.admission.ClaimPolicy
import lagoonrudder.control.direct.admission.LevelDemand
import lagoonrudder.control.direct.admission.OverloadController
import lagoonrudder.control.direct.admission.OverloadPolicies
import lagoonrudder.control.direct.admission.PlacementQueue
import lagoonrudder.control.direct.admission.QueuedRequest
import lagoonrudder.control.direct.admission.SlotUse
import lagoonrudder.control.direct.admission.UrgencyController
import lagoonrudder.control.direct.admission.UrgencyLevel
import lagoonrudder.control.direct.admission.WaitDecision
import lagoonrudder.control.direct.admission.WaitLimit
import lagoonrudder.control.direct.suspicion.SuspicionController
import lagoonrudder.control.direct.suspicion.Verdict
import lagoonrudder.control.dumpSection
import lagoonrudder.control.entry
import lagoonrudder.model.BackEnd
import lagoonrudder.model.CustomerId
import lagoonrudder.model.Refusal
import lagoonrudder.model.ServiceId
import lagoonrudder.model.TargetId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class PlacementController(
    private val topology: Topology,
    private val bounds: PlacementBounds,
    private val storeView: StoreViewController,
    private val peers: PeerController,
    private val backEndStates: BackEndStateController,
    private val suspicions: SuspicionController,
    private val notices: BackEndNoticeController,
    private val random: Random,
    private val policies: OverloadPolicies = OverloadPolicies(),
    onAdmissionChange: (AdmissionChange) -> Unit = {},
) {
    private val eligibility = BackEndEligibility(topology, storeView, backEndStates, notices)
    private val beginLimits = BeginLimits(storeView, backEndStates)
    private val overload = OverloadController(random, policies)
    private val urgency =
        UrgencyController(
            storeView,
            peers,
            random,
            policies.admission,
            ::slotUse,
            waitingOf = { service, level -> queues[service]?.waitingOf(level) ?: 0 },
            onAdmissionChange,
        )
    private val statsByTarget = mutableMapOf<TargetId, BackEndStats>()
    private val queues = mutableMapOf<ServiceId, PlacementQueue>()
    private val inFlightOf = mutableMapOf<CustomerId, Int>()
    private val coldRateShares = ColdRateShares(peers)

    /** Assigns a back end to the request now, refuses it, or queues it for as long as the prediction of its wait allows. */
    fun place(
        request: PlacementRequest,
        now: Duration,
    ): PlacementTicket {
        val level = levelOf(request)
        if (level != null && !admits(request, level, now)) {
            return decided(overloaded(request, Choice.Full(0), "not admitted level=${level.index}", now))
        }
        if (!request.isLate) overload.recordArrival(request.service, now, level)
        val queue = queueOf(request.service)
        val isOvertaking = level != null && queue.hasMoreUrgent(level) && !slotUse(request.service, now).isAmple
        val choice = if (isOvertaking) Choice.Full(0) else choose(request, request.isLate, now)
        if (choice !is Choice.Full) return decided(placementOf(request, choice, now))
        if (!request.isLate) queue.onShortage(now)
        if (queue.size >= MAX_QUEUE_LENGTH) return decided(placementOf(request, choice, now))
        return when (val decision = overload.decide(request.service, request.wait, queue.lengthsBefore(level), now, level)) {
            is WaitDecision.Refuse -> decided(overloaded(request, choice, "no place predicted within ${decision.predicted}", now))
            is WaitDecision.Wait -> {
                if (decision.limit <= Duration.ZERO) return decided(placementOf(request, choice, now))
                val queued = QueuedRequest(request, level, decision.inTime && !request.isLate, now, now + decision.limit)
                queue.add(queued)
                PlacementTicket(queued.result, decision.limit)
            }
        }
    }

    /** Decides whether a new request of [level] may look for a place. One that was admitted before is not decided about again. */
    private fun admits(
        request: PlacementRequest,
        level: UrgencyLevel,
        now: Duration,
    ): Boolean =
        when (request.wait) {
            is WaitLimit.Within -> true
            is WaitLimit.ForObjective -> {
                if (!request.isLate) urgency.recordArrival(request.service, level, now)
                urgency.admits(request.service, level, now)
            }
        }

    /**
     * Assigns a back end to a request beside those that make no progress with it, [silent]; returns null if none has a place. A back end
     * that is silent itself is none: when all of a service pause at once, nothing is gained by moving their requests.
     */
    fun placeTakeOver(
        request: PlacementRequest,
        silent: List<TargetId>,
        now: Duration,
    ): Placement.Placed? {
        val choice = choose(request, late = false, now) { isSpeaking(it, now) }
        if (choice !is Choice.Chosen) return null
        silent.forEach { statsOf(it).onTimedOut(now) }
        return choice.placed
    }

    /** Decides whether a request that was sent to [backEnd] and has not begun may still begin there. */
    fun beginLimit(
        backEnd: BackEnd,
        now: Duration,
    ): BeginLimit = beginLimits.limit(backEnd, now)

    /**
     * Decides again about the place of [request] at [placed], which was taken at or before [takenAt] and to which nothing was sent yet.
     * Returns null if the request may not be sent to that run of the back end any more; otherwise it counts as sent now. A probe stays one.
     */
    fun confirm(
        placed: BackEnd,
        request: PlacementRequest,
        takenAt: Duration,
        now: Duration,
        isProbe: Boolean = false,
    ): Placement.Placed? {
        val stats = statsOf(placed.id)
        stats.withdrawSend(takenAt)
        val backEnd = storeView.backEnd(placed.id)?.takeIf { it.run == placed.run && it.address == placed.address } ?: return null
        val isOpen = eligibility.isEligible(backEnd, request, now) && notices.closedFor(backEnd, now) == Duration.ZERO
        if (!isOpen || !isWithinColdRate(backEnd, now)) return null
        if (!isProbe && suspicions.verdict(request.parts, request.mayHaveRun, now) != Verdict.Free) return null
        stats.recordDelayedSend(request.promptTokens, now)
        return placed(backEnd, request, isProbe, now)
    }

    /** Records that an attempt at [target] makes no progress. */
    fun onSilent(target: TargetId) = statsOf(target).onSilent()

    /** Records that an attempt of which [onSilent] told makes progress again or has ended. */
    fun onNoLongerSilent(target: TargetId) = statsOf(target).onNoLongerSilent()

    /** Ends the wait of a queued request: it is placed now or refused. */
    fun onWaitTimeout(
        decision: CompletableDeferred<Placement>,
        now: Duration,
    ) {
        for (queue in queues.values) queue.find(decision)?.let { endWait(queue, it, now) }
    }

    /** Removes a queued request whose caller has disconnected. */
    fun withdraw(decision: CompletableDeferred<Placement>) {
        for (queue in queues.values) queue.find(decision)?.let { queue.remove(it) }
    }

    /** Releases the slot of an attempt that has ended and dispatches queued requests. */
    fun onAttemptEnded(
        target: TargetId,
        customer: CustomerId?,
        outcome: AttemptOutcome,
        now: Duration,
        times: AttemptTimes? = null,
    ) {
        statsOf(target).recordOutcome(outcome, now)
        if (times != null) statsOf(target).recordTimes(times)
        if (customer != null) inFlightOf.merge(customer, -1, Int::plus)
        val service = storeView.backEnd(target)?.service ?: return
        val answered = outcome == AttemptOutcome.ANSWERED
        if (outcome == AttemptOutcome.UNREACHABLE || outcome == AttemptOutcome.NOT_RUN) urgency.onNotRun(service)
        if (times != null) overload.recordRelease(service, times.held, times.firstEvent, answered, now)
        dispatchQueued(service, now)
    }

    /** Dispatches the queued requests of all services and refuses those whose wait is over; called after changes and periodically. */
    fun dispatchQueued(now: Duration) {
        urgency.onTick(now)
        queues.keys.forEach { dispatchQueued(it, now) }
    }

    private fun dispatchQueued(
        service: ServiceId,
        now: Duration,
    ) {
        val queue = queues[service] ?: return
        if (queue.size == 0) return
        queue.expired(now).forEach { endWait(queue, it, now) }
        var unplaceable = 0
        for (queued in queue.inOrder { inFlightOf[it] ?: 0 }) {
            val choice = choose(queued.request, late = !queued.inTime, now)
            if (choice is Choice.Full) {
                // Requests differ in the back ends that they may use, but mostly what is full for some is full for the others.
                if (++unplaceable >= MAX_UNPLACEABLE) return
            } else {
                queue.remove(queued)
                queued.result.complete(placementOf(queued.request, choice, now))
            }
        }
    }

    private fun endWait(
        queue: PlacementQueue,
        queued: QueuedRequest,
        now: Duration,
    ) {
        queue.remove(queued)
        val choice = choose(queued.request, queued.request.isLate, now)
        val waited = now - queued.queuedAt
        val placement =
            when (choice) {
                is Choice.Full -> overloaded(queued.request, choice, "no place within $waited", now)
                is Choice.Chosen, is Choice.NoneEligible, is Choice.HeldBack -> placementOf(queued.request, choice, now)
            }
        queued.result.complete(placement)
    }

    private fun decided(placement: Placement) = PlacementTicket(CompletableDeferred(placement), Duration.ZERO)

    /** Decides for [choice] without a wait. A refusal takes up a time to return, so this is called only for what callers get. */
    private fun placementOf(
        request: PlacementRequest,
        choice: Choice,
        now: Duration,
    ): Placement =
        when (choice) {
            is Choice.Chosen -> choice.placed
            is Choice.Full -> overloaded(request, choice, "full back-ends=${choice.backEnds}", now)
            is Choice.NoneEligible -> Placement.Refused(Refusal.NoTarget(retryAfter(request, now)), choice.reason)
            is Choice.HeldBack -> Placement.Refused(Refusal.HeldBack(choice.verdict.retryAfter), choice.verdict.reason)
        }

    private fun overloaded(
        request: PlacementRequest,
        choice: Choice.Full,
        reason: String,
        now: Duration,
    ): Placement {
        levelOf(request)?.let { urgency.recordRefused(request.service, it, now) }
        return Placement.Refused(Refusal.Overloaded(maxOf(retryAfter(request, now), choice.openIn)), reason)
    }

    private fun retryAfter(
        request: PlacementRequest,
        now: Duration,
    ): Duration {
        val level = levelOf(request)
        val queued = queueOf(request.service).lengthsBefore(level)
        return overload.retryAfter(request.service, request.timeLeft, queued, now, level)
    }

    private fun queueOf(service: ServiceId) = queues.getOrPut(service) { PlacementQueue() }

    /** Removes the statistics of back ends that are no longer registered. */
    fun removeStaleStats() {
        coldRateShares.retain { storeView.backEnd(it) != null }
        statsByTarget.keys.removeIf { storeView.backEnd(it) == null && (statsByTarget[it]?.inFlight ?: 0) == 0 }
    }

    /** Returns the number of requests that this process has in flight at each back end. */
    fun inFlight(): Map<TargetId, Int> = statsByTarget.filterValues { it.inFlight > 0 }.mapValues { it.value.inFlight }

    /** Returns what this process's callers ask of the services whose requests differ in rank. */
    fun demand(now: Duration): Map<ServiceId, List<LevelDemand>> = urgency.demand(now)

    fun admission(service: ServiceId): AdmissionLevel = urgency.admission(service)

    /** Returns the gauges of what is admitted, by name. */
    fun admissionGauges(): Map<String, Number> =
        buildMap {
            put("admission_level", urgency.lowestAdmitted)
            urgency.totals().forEachIndexed { index, totals ->
                put("admitted_level_$index", totals.admitted)
                put("refused_level_$index", totals.refused)
            }
        }

    fun queueLength(): Int = queues.values.sumOf { it.size }

    fun dump(now: Duration): DumpSection =
        dumpSection("placement") {
            for ((service, queue) in queues) entry("waiting ${service.text}", queue.lengths)
            for ((id, stats) in statsByTarget) {
                val inFlightElsewhere = peers.inFlightElsewhere(id, now)
                val ejectedFor = stats.ejectedUntil - now
                entry(id.text, "in-flight=${stats.inFlight} elsewhere=$inFlightElsewhere failures=${stats.failures} aside=$ejectedFor")
            }
        }

    /** The result of looking for a back end. */
    private sealed class Choice {
        data class Chosen(
            val placed: Placement.Placed,
        ) : Choice()

        /** All of [backEnds] that could serve the request are at capacity, or take none for [openIn], so it may wait. */
        data class Full(
            val backEnds: Int,
            val openIn: Duration = Duration.ZERO,
        ) : Choice()

        data class NoneEligible(
            val reason: String,
        ) : Choice()

        data class HeldBack(
            val verdict: Verdict.HeldBack,
        ) : Choice()
    }

    /**
     * Takes a place for [request] at the best back end that has one and is [acceptable]; the last places of an engine are kept from a
     * [late] one.
     */
    private fun choose(
        request: PlacementRequest,
        late: Boolean,
        now: Duration,
        acceptable: (BackEnd) -> Boolean = { true },
    ): Choice {
        val verdict = suspicions.verdict(request.parts, request.mayHaveRun, now)
        if (verdict is Verdict.HeldBack) return Choice.HeldBack(verdict)
        val eligible = storeView.backEndsOf(request.service).filter { eligibility.isEligible(it, request, now) && acceptable(it) }
        if (eligible.isEmpty()) return Choice.NoneEligible(eligibility.describeNone(request, now))
        val open = eligible.filter { notices.closedFor(it, now) == Duration.ZERO }
        if (open.isEmpty()) return Choice.Full(eligible.size, openIn = eligible.minOf { notices.closedFor(it, now) })
        val candidates =
            open
                .filter { statsOf(it.id).ejectedUntil <= now }
                .ifEmpty { listOf(open.minBy { statsOf(it.id).ejectedUntil }) }
        val available = candidates.filter { hasPlace(it, request, late, now) && isWithinColdRate(it, now) && beginsInTime(it, now) }
        val level = levelOf(request)
        val isLeft = level != null && urgency.leavesSlot(request.service, level, now)
        if (available.isEmpty() || isLeft) return Choice.Full(candidates.size)
        val chosen = available.minBy { score(it, now) }
        if (verdict is Verdict.Probe) suspicions.onProbeSent(verdict.suspicion, now)
        statsOf(chosen.id).recordSend(request.promptTokens, now)
        if (request.customer != null) inFlightOf.merge(request.customer, 1, Int::plus)
        if (level != null) urgency.recordPlaced(request.service, level, now)
        return Choice.Chosen(placed(chosen, request, verdict is Verdict.Probe, now))
    }

    private fun placed(
        backEnd: BackEnd,
        request: PlacementRequest,
        isProbe: Boolean,
        now: Duration,
    ): Placement.Placed {
        val number = eligibility.expectedNumber(backEnd, request, now)
        return Placement.Placed(backEnd, number, beginLimits.limit(backEnd, now), knownVersions(backEnd, now), levelOf(request), isProbe)
    }

    private fun levelOf(request: PlacementRequest) = urgency.levelOf(request.service, request.rank)

    private fun knownVersions(
        backEnd: BackEnd,
        now: Duration,
    ): KnownVersions? {
        val held = backEndStates.held(backEnd, now) ?: return null
        return KnownVersions(now, held.number, backEndStates.statusAge(backEnd, now), storeView.versions.declarations(held.model))
    }

    private fun isSpeaking(
        backEnd: BackEnd,
        now: Duration,
    ): Boolean = statsOf(backEnd.id).let { it.silent == 0 && it.ejectedUntil <= now }

    /** Returns whether a request sent to [backEnd] would begin before its limit, as far as recent attempts there tell. */
    private fun beginsInTime(
        backEnd: BackEnd,
        now: Duration,
    ): Boolean {
        val stats = statsOf(backEnd.id)
        val isStuck = stats.silent > 0 && eligibility.isNearSwitchDeadline(backEnd, now)
        return !isStuck && stats.firstEvent < beginLimits.timeLeft(backEnd, now)
    }

    private fun hasPlace(
        backEnd: BackEnd,
        request: PlacementRequest,
        late: Boolean,
        now: Duration,
    ): Boolean {
        val limit = maxInFlight(backEnd, late, isAdmittedInPart(request), now)
        val free = limit - load(backEnd, now)
        return free > 0 &&
            when (policies.claims) {
                ClaimPolicy.All -> true
                ClaimPolicy.Share -> {
                    !queueOf(backEnd.service).isContended(now) ||
                        free > limit * AMPLE_SHARE ||
                        isAdmittedWhole(request) ||
                        mayClaim(backEnd, free, now)
                }
            }
    }

    /**
     * Whether [request] is of a level that is admitted whole while others aren't. It takes any free place that it sees, since those who
     * are admitted leave some places free.
     */
    private fun isAdmittedWhole(request: PlacementRequest): Boolean =
        levelOf(request)?.let { urgency.isAdmittedWhole(request.service, it) } ?: false

    private fun isAdmittedInPart(request: PlacementRequest): Boolean =
        levelOf(request)?.let { urgency.isAdmittedInPart(request.service, it) } ?: false

    private fun mayClaim(
        backEnd: BackEnd,
        free: Int,
        now: Duration,
    ): Boolean {
        val interval = if (backEnd.domain == topology.domain) NEAR_REPORT_AGE else FAR_REPORT_AGE
        return statsOf(backEnd.id).claims.mayTake(free, contenders = peers.reporterCount(now) + 1, random.nextDouble(), interval, now)
    }

    private fun load(
        backEnd: BackEnd,
        now: Duration,
    ): Int = statsOf(backEnd.id).inFlight + peers.inFlightElsewhere(backEnd.id, now)

    /** Returns the use of the slots of [service] at the back ends that take requests. */
    private fun slotUse(
        service: ServiceId,
        now: Duration,
    ): SlotUse {
        val usable = storeView.backEndsOf(service).filter { eligibility.isUsable(it, now) && isAnswering(it, now) }
        return SlotUse(usable.sumOf { it.slots }, usable.sumOf { minOf(load(it, now), it.slots) })
    }

    /** A back end that is tried again after an ejection counts only once it has answered. */
    private fun isAnswering(
        backEnd: BackEnd,
        now: Duration,
    ): Boolean = notices.closedFor(backEnd, now) == Duration.ZERO && statsOf(backEnd.id).let { it.ejectedUntil <= now && it.failures == 0 }

    /**
     * Returns the number of requests that may be in flight at [backEnd]. A slot in an engine's batch is occupied for a second,
     * one in a plain service for milliseconds. The last slots of an engine are reserved for requests that can still meet their
     * latency objective, and the last one for levels that are admitted whole.
     */
    private fun maxInFlight(
        backEnd: BackEnd,
        late: Boolean,
        admittedInPart: Boolean,
        now: Duration,
    ): Int {
        val isEngine = storeView.serving?.service(backEnd.service)?.weights != null
        return when {
            !isEngine -> backEnd.slots + QUEUED_CALLS
            eligibility.isNearSwitchDeadline(backEnd, now) -> (backEnd.slots - RESERVED_NEAR_DEADLINE).coerceAtLeast(1)
            late -> (backEnd.slots - RESERVED_FROM_LATE).coerceAtLeast(1)
            admittedInPart -> (backEnd.slots - RESERVED_FROM_ADMITTED_IN_PART).coerceAtLeast(1)
            else -> backEnd.slots + QUEUED_STREAMS
        }
    }

    private fun isWithinColdRate(
        backEnd: BackEnd,
        now: Duration,
    ): Boolean {
        val rate = storeView.serving?.service(backEnd.service)?.coldRequestsPerSecond ?: return true
        val total = (rate * bounds.coldRatio + bounds.coldAllowance) * COLD_RATE_SAFETY_FACTOR
        return statsOf(backEnd.id).recentRequests(now) + 1 <= coldRateShares.maxRequests(backEnd, total, now)
    }

    private fun score(
        backEnd: BackEnd,
        now: Duration,
    ): Double {
        val slots = backEnd.slots.coerceAtLeast(1)
        val distance = if (backEnd.domain == this.topology.domain) 0.0 else DISTANCE_PENALTY
        val prefill = statsOf(backEnd.id).prefillTokens(now) * PREFILL_TOKEN_PENALTY
        return (load(backEnd, now) + random.nextDouble() + distance + prefill) / slots
    }

    private fun statsOf(target: TargetId) = statsByTarget.getOrPut(target) { BackEndStats() }

    private companion object {
        /** The number of requests that may wait in a back end's own queue without delaying responses beyond their objective. */
        const val QUEUED_STREAMS = 1
        const val QUEUED_CALLS = 4
        const val MAX_QUEUE_LENGTH = 200

        /** In requests: load reports from other failure domains are older than those from peers nearby. */
        const val DISTANCE_PENALTY = 3.0

        /** In requests: 1,000 tokens in prefill delay a first event by about one batch iteration of the engine. */
        const val PREFILL_TOKEN_PENALTY = 0.002

        /** How many queued requests in a row may find no place before the others are taken to find none either. */
        const val MAX_UNPLACEABLE = 8

        const val RESERVED_NEAR_DEADLINE = 3

        /** The share of free places above which daemons that don't yet know of each other's last requests can't overload a back end. */
        const val AMPLE_SHARE = 0.25

        /** The age of the reports about requests at the back ends of this failure domain and of the others. */
        val NEAR_REPORT_AGE = 100.milliseconds
        val FAR_REPORT_AGE = 450.milliseconds

        /** Slots of an engine: that many become free between two gossip messages of a peer nearby. */
        const val RESERVED_FROM_LATE = 2

        /** With reports from other failure domains that are half a second old, most engines are then never full for urgent requests. */
        const val RESERVED_FROM_ADMITTED_IN_PART = 1

        /** The remainder is left to entry daemons that this one has not discovered and to requests that are delayed and arrive together. */
        const val COLD_RATE_SAFETY_FACTOR = 0.9
    }
}
