/**
 * Selects a target for each request at an entry daemon.
 *
 * It keeps the last report of each target and counts what this process has sent since. Reports expire: a target without
 * a fresh report gets one request at a time. A target that fails several times in a row is ejected for a period that
 * grows with each further failure, then probed with one request. If no target in the local failure domain has capacity,
 * requests spill over to other failure domains, within a budget for the link and for the capacity of the remote targets.
 */
package lagoonrudder.control

import lagoonrudder.model.DomainId
import lagoonrudder.model.FleetId
import lagoonrudder.model.IncarnationId
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.TargetId
import lagoonrudder.model.VersionId
import lagoonrudder.model.rendezvousOrder
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How a target is selected among those that may serve a request. */
sealed class LoadBalancingPolicy {
    /** Takes the targets in turn, regardless of their load; a baseline for comparison. */
    data object RoundRobin : LoadBalancingPolicy()

    /**
     * Takes the target with the fewest in-flight requests of this process, regardless of what other processes send; a
     * baseline for comparison.
     */
    data object LeastInFlight : LoadBalancingPolicy()

    /**
     * Takes the target with the largest fraction of free slots among [choices] random samples. A target that recently served
     * the prompt prefix is sampled as well, and [prefixBonus] is added to its fraction.
     */
    data class FreshRoom(
        val choices: Int = 2,
        val prefixBonus: Double = 0.25,
    ) : LoadBalancingPolicy()
}

/** The state that a target daemon reports to entry daemons. */
data class TargetReport(
    val target: TargetId,
    val incarnation: IncarnationId,
    val load: TargetLoad,
    val version: VersionId?,
    val accepting: Boolean,
)

/**
 * What a request requires of its target. [owner] is the only possible target when it is set. [tokens] is the memory that the
 * request may need, and [bytes] bounds what it transfers over a link, body and response together. [prefix] is the hash of
 * the prompt prefix, and [excluded] are targets that must not be selected.
 */
data class RoutingRequest(
    val fleet: FleetId,
    val owner: TargetId?,
    val tokens: Long,
    val bytes: Long,
    val prefix: Int?,
    val excluded: Set<TargetId>,
)

sealed class RoutingDecision {
    data class Selected(
        val target: TargetId,
        val domain: DomainId,
    ) : RoutingDecision()

    /** No target has capacity now, but at least one candidate is connected. */
    data object NoCapacity : RoutingDecision()

    /** No candidate is in service and connected. */
    data object NoTarget : RoutingDecision()
}

class RoutingController(
    private val self: String,
    private val domain: DomainId,
    private val policy: LoadBalancingPolicy,
    private val random: Random,
    private val subsetSize: Int = 16,
    private val remoteSubsetSize: Int = 2,
) {
    private class TargetState {
        var report: TargetReport? = null
        var reportedAt = -Duration.INFINITE
        var ownInFlight = 0
        var sentSinceReport = 0
        var failures = 0
        var ejectedUntil = -Duration.INFINITE
        var connected = false
    }

    private val states = mutableMapOf<TargetId, TargetState>()
    private val prefixes = PrefixAffinity()
    private val spillBudgets = mutableMapOf<DomainId, TokenBucket>()
    private var objects = ObjectSet.EMPTY
    private var subsets: Map<FleetId, List<OperatorObject.Target>> = emptyMap()
    private var entryDaemons = 1
    private var roundRobinIndex = 0
    private var spills = 0L

    /**
     * Applies the object set that became active. [entries] is the number of entry daemons that share the links and targets of
     * this failure domain.
     */
    fun configure(
        set: ObjectSet,
        entries: Int,
    ) {
        objects = set
        entryDaemons = entries.coerceAtLeast(1)
        subsets = set.fleets.keys.associateWith { subsetOf(set.targetsOf[it].orEmpty()) }
        states.keys.retainAll(set.targets.keys)
        set.domains.keys
            .filter { it != domain }
            .forEach { configureSpill(it, entries.coerceAtLeast(1)) }
    }

    /** Returns the targets whose reports this process should subscribe to. */
    fun subset(): List<OperatorObject.Target> = subsets.values.flatten().filter(objects::inService)

    fun onTargetReport(
        report: TargetReport,
        now: Duration,
    ) {
        val state = stateOf(report.target)
        state.report = report
        state.reportedAt = now
        state.sentSinceReport = 0
        state.connected = true
    }

    /** A response or a rejection of [target] carried its current load. */
    fun onLoadUpdate(
        target: TargetId,
        load: TargetLoad,
        now: Duration,
    ) {
        val state = states[target] ?: return
        val report = state.report ?: return
        state.report = report.copy(load = load)
        state.reportedAt = now
        state.sentSinceReport = 0
    }

    /** The connection that carries the reports of [target] failed or timed out. */
    fun onDisconnected(target: TargetId) {
        val state = states[target] ?: return
        state.connected = false
        state.report = null
    }

    /** Selects a target and counts the request as in flight there; [onRequestFinished] or [onRejected] must follow. */
    fun selectTarget(
        request: RoutingRequest,
        now: Duration,
    ): RoutingDecision {
        val candidates = candidates(request)
        if (candidates.isEmpty()) return RoutingDecision.NoTarget
        val local = candidates.filter { it.domain == domain }
        val chosen = pick(local, request, now) ?: spill(candidates - local.toSet(), local, request, now) ?: return noSelection(candidates)
        val state = stateOf(chosen.id)
        state.ownInFlight++
        state.sentSinceReport++
        request.prefix?.let { prefixes.remember(it, chosen.id) }
        return RoutingDecision.Selected(chosen.id, chosen.domain)
    }

    /** A request counted by [selectTarget] ended at [target]; [failed] if the target, not the request, was at fault. */
    fun onRequestFinished(
        target: TargetId,
        failed: Boolean,
        now: Duration,
    ) {
        val state = stateOf(target)
        state.ownInFlight = (state.ownInFlight - 1).coerceAtLeast(0)
        if (failed) recordFailure(state, now) else state.failures = 0
    }

    /** The target rejected a request without running it, so it counts as full until its next report. */
    fun onRejected(target: TargetId) {
        val state = stateOf(target)
        state.ownInFlight = (state.ownInFlight - 1).coerceAtLeast(0)
        state.report = state.report?.let { it.copy(load = it.load.copy(inFlight = it.load.limit)) }
    }

    /** The engine of [target] evicted the prompt prefixes [dropped] from its cache. */
    fun onPrefixesEvicted(
        target: TargetId,
        dropped: Collection<Int>,
    ) = prefixes.forget(target, dropped)

    fun dump(now: Duration): DumpSection =
        dumpSection("routing") {
            entry("policy", policy)
            entry("spills", spills)
            entry("prefixes", prefixes.size)
            for ((target, state) in states) entry("target ${target.text}", describe(state, now))
        }

    private fun subsetOf(targets: List<OperatorObject.Target>): List<OperatorObject.Target> {
        val byDomain = targets.groupBy { it.domain }
        return byDomain.flatMap { (memberDomain, members) ->
            val size = if (memberDomain == domain) subsetSize else remoteSubsetSize
            rendezvousOrder(self, members) { it.id.text }.take(size)
        }
    }

    private fun configureSpill(
        other: DomainId,
        entries: Int,
    ) {
        val ownRegion = objects.regionOf(domain)
        val otherRegion = objects.regionOf(other)
        val link = if (ownRegion != null && otherRegion != null) objects.link(ownRegion, otherRegion) else null
        val rate = (link?.bytesPerSecond ?: UNLIMITED_BYTES_PER_SECOND) * SPILL_SHARE / entries
        val bucket = spillBudgets.getOrPut(other) { TokenBucket(rate, rate * SPILL_BURST_SECONDS) }
        bucket.configure(rate, rate * SPILL_BURST_SECONDS)
    }

    private fun candidates(request: RoutingRequest): List<OperatorObject.Target> {
        if (request.owner != null) return listOfNotNull(objects.targets[request.owner]).filter(objects::inService)
        val fleet = objects.fleets[request.fleet] ?: return emptyList()
        return subsets[request.fleet].orEmpty().filter { it.id !in request.excluded && objects.inService(it) && mayServe(it, fleet) }
    }

    private fun mayServe(
        target: OperatorObject.Target,
        fleet: OperatorObject.Fleet,
    ): Boolean {
        val report = states[target.id]?.report ?: return true
        return report.accepting && fleet.accepts(report.version)
    }

    private fun pick(
        candidates: List<OperatorObject.Target>,
        request: RoutingRequest,
        now: Duration,
    ): OperatorObject.Target? {
        val free = candidates.filter { hasCapacity(it.id, request.tokens, now) }
        if (free.isEmpty()) return null
        return when (policy) {
            LoadBalancingPolicy.RoundRobin -> free[roundRobinIndex++ % free.size]
            LoadBalancingPolicy.LeastInFlight -> free.minBy { stateOf(it.id).ownInFlight }
            is LoadBalancingPolicy.FreshRoom -> pickByFreeSlots(policy, free, request, now)
        }
    }

    private fun pickByFreeSlots(
        policy: LoadBalancingPolicy.FreshRoom,
        free: List<OperatorObject.Target>,
        request: RoutingRequest,
        now: Duration,
    ): OperatorObject.Target {
        val warm = request.prefix?.let { prefix -> free.firstOrNull { prefixes.isWarm(prefix, it.id) } }
        val sampled = free.shuffled(random).take(policy.choices) + listOfNotNull(warm)
        return sampled.maxBy { freeFraction(it.id, now) + if (it == warm) policy.prefixBonus else 0.0 }
    }

    private fun spill(
        remote: List<OperatorObject.Target>,
        local: List<OperatorObject.Target>,
        request: RoutingRequest,
        now: Duration,
    ): OperatorObject.Target? {
        val freshRemote = remote.filter { isFresh(stateOf(it.id), now) && hasSpillCapacity(it.id) }
        val chosen = pick(freshRemote, request, now) ?: return null
        val budget = spillBudgets[chosen.domain] ?: return null
        val localUnavailable = local.isEmpty() || local.all { isEjected(stateOf(it.id), now) }
        if (request.owner == null && !localUnavailable && !budget.tryTake(request.bytes.toDouble(), now)) return null
        spills++
        return chosen
    }

    /** Remote targets keep half of their capacity for the callers of their own failure domain. */
    private fun hasSpillCapacity(target: TargetId): Boolean {
        val report = stateOf(target).report ?: return false
        return report.load.inFlight + stateOf(target).sentSinceReport < (report.load.limit + 1) / 2
    }

    private fun hasCapacity(
        target: TargetId,
        tokens: Long,
        now: Duration,
    ): Boolean {
        val state = stateOf(target)
        if (isEjected(state, now)) return false
        val ignoresLoad = policy !is LoadBalancingPolicy.FreshRoom
        if (ignoresLoad) return true
        if (!isFresh(state, now) || state.failures >= EJECTION_THRESHOLD) return state.ownInFlight == 0
        val report = state.report ?: return false
        val withinFairShare = state.ownInFlight < fairShare(target, report.load)
        return (freeSlots(state) > 0 && report.load.freeTokens >= tokens) || withinFairShare
    }

    /**
     * The in-flight requests that this process may always have at a local target, regardless of what others have there. A
     * target that is full lets such a request wait for its turn.
     */
    private fun fairShare(
        target: TargetId,
        load: TargetLoad,
    ): Int = if (objects.targets[target]?.domain == domain) (load.limit / entryDaemons).coerceAtLeast(minOf(1, load.limit)) else 0

    private fun freeFraction(
        target: TargetId,
        now: Duration,
    ): Double {
        val state = stateOf(target)
        val report = state.report
        if (report == null || !isFresh(state, now)) return 0.0
        return freeSlots(state).toDouble() / report.load.limit.coerceAtLeast(1)
    }

    private fun freeSlots(state: TargetState): Int {
        val load = state.report?.load ?: return 0
        return load.limit - maxOf(load.inFlight + state.sentSinceReport, state.ownInFlight)
    }

    private fun isFresh(
        state: TargetState,
        now: Duration,
    ): Boolean = state.report != null && now - state.reportedAt < MAX_REPORT_AGE

    private fun isEjected(
        state: TargetState,
        now: Duration,
    ): Boolean = now < state.ejectedUntil

    private fun recordFailure(
        state: TargetState,
        now: Duration,
    ) {
        state.failures++
        if (state.failures < EJECTION_THRESHOLD) return
        val doublings = (state.failures - EJECTION_THRESHOLD).coerceAtMost(MAX_DOUBLINGS)
        state.ejectedUntil = now + INITIAL_EJECTION * (1 shl doublings)
        state.report = null
    }

    private fun noSelection(candidates: List<OperatorObject.Target>): RoutingDecision {
        val reachable = candidates.any { stateOf(it.id).connected }
        return if (reachable) RoutingDecision.NoCapacity else RoutingDecision.NoTarget
    }

    private fun stateOf(target: TargetId): TargetState = states.getOrPut(target) { TargetState() }

    private fun describe(
        state: TargetState,
        now: Duration,
    ): String {
        val report = state.report
        val load = report?.load
        val age = if (report == null) "none" else (now - state.reportedAt).toString()
        return "limit=${load?.limit} in-flight=${load?.inFlight} own=${state.ownInFlight} version=${report?.version?.text} " +
            "accepting=${report?.accepting} report-age=$age failures=${state.failures} aside=${isEjected(state, now)}"
    }

    private companion object {
        val MAX_REPORT_AGE = 3.seconds
        val INITIAL_EJECTION = 250.milliseconds
        const val MAX_DOUBLINGS = 5

        /** Consecutive failures after which a target is ejected. Fewer can be caused by individual requests. */
        const val EJECTION_THRESHOLD = 3
        const val SPILL_SHARE = 0.4
        const val SPILL_BURST_SECONDS = 2.0
        const val UNLIMITED_BYTES_PER_SECOND = 1_000_000_000L
    }
}
