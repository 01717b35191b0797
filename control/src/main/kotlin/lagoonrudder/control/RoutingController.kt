/**
 * Decides at an entry daemon which target gets a request.
 *
 * It keeps what each target last reported and what this process has sent since. Reports age: a target without a fresh
 * report gets one request at a time. Targets that fail several times in a row are set aside for a time that grows, then tried with one request.
 * Other failure domains are used when the own one has no room, within a budget for the link and for their room.
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

/** How a target is chosen among those that may serve. */
sealed class LoadBalancingPolicy {
    /** Each in turn, whatever its load: a baseline. */
    data object RoundRobin : LoadBalancingPolicy()

    /** The one with the fewest requests of this process, whatever others send: a baseline. */
    data object LeastInFlight : LoadBalancingPolicy()

    /** The one with more room of [choices] drawn at random; a known prompt prefix counts as [prefixBonus] of room. */
    data class FreshRoom(
        val choices: Int = 2,
        val prefixBonus: Double = 0.25,
    ) : LoadBalancingPolicy()
}

/** What a target daemon tells of itself. */
data class TargetReport(
    val target: TargetId,
    val incarnation: IncarnationId,
    val load: TargetLoad,
    val version: VersionId?,
    val accepting: Boolean,
)

/** What a request needs of a target. [bytes] is what it may carry over a link, body and answer together. */
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

    /** Some target may serve it later. */
    data object NoCapacity : RoutingDecision()

    /** No target in service can be reached. */
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
        var asideUntil = -Duration.INFINITE
        var linked = false
    }

    private val states = mutableMapOf<TargetId, TargetState>()
    private val prefixes = PrefixAffinity()
    private val spillBudgets = mutableMapOf<DomainId, TokenBucket>()
    private var objects = ObjectSet.EMPTY
    private var subsets: Map<FleetId, List<OperatorObject.Target>> = emptyMap()
    private var sharing = 1
    private var turn = 0
    private var spills = 0L

    /** Takes over a set that came into force; [entries] is the number of entry daemons that share this domain's links. */
    fun configure(
        set: ObjectSet,
        entries: Int,
    ) {
        objects = set
        sharing = entries.coerceAtLeast(1)
        subsets = set.fleets.keys.associateWith { subsetOf(set.targetsOf[it].orEmpty()) }
        states.keys.retainAll(set.targets.keys)
        set.domains.keys
            .filter { it != domain }
            .forEach { configureSpill(it, entries.coerceAtLeast(1)) }
    }

    /** The targets whose reports this process should receive. */
    fun subset(): List<OperatorObject.Target> = subsets.values.flatten().filter(objects::inService)

    fun onTargetReport(
        report: TargetReport,
        now: Duration,
    ) {
        val state = stateOf(report.target)
        state.report = report
        state.reportedAt = now
        state.sentSinceReport = 0
        state.linked = true
    }

    /** An answer or a refusal of [target] told its room. */
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

    /** The connection that carries reports of [target] broke or went silent. */
    fun onDisconnected(target: TargetId) {
        val state = states[target] ?: return
        state.linked = false
        state.report = null
    }

    /** Chooses a target and counts the request as sent to it; [onRequestFinished] must follow. */
    fun selectTarget(
        need: RoutingRequest,
        now: Duration,
    ): RoutingDecision {
        val candidates = candidates(need)
        if (candidates.isEmpty()) return RoutingDecision.NoTarget
        val near = candidates.filter { it.domain == domain }
        val chosen = pick(near, need, now) ?: spill(candidates - near.toSet(), near, need, now) ?: return noneFree(candidates)
        val state = stateOf(chosen.id)
        state.ownInFlight++
        state.sentSinceReport++
        need.prefix?.let { prefixes.remember(it, chosen.id) }
        return RoutingDecision.Selected(chosen.id, chosen.domain)
    }

    /** The request that [selectTarget] counted has ended at [target]; [failed] when the target, not the request, was at fault. */
    fun onRequestFinished(
        target: TargetId,
        failed: Boolean,
        now: Duration,
    ) {
        val state = stateOf(target)
        state.ownInFlight = (state.ownInFlight - 1).coerceAtLeast(0)
        if (failed) setAside(state, now) else state.failures = 0
    }

    /** The target turned a request away without running it: its room is gone until it reports again. */
    fun onRejected(target: TargetId) {
        val state = stateOf(target)
        state.ownInFlight = (state.ownInFlight - 1).coerceAtLeast(0)
        state.report = state.report?.let { it.copy(load = it.load.copy(inFlight = it.load.limit)) }
    }

    /** The engine of [target] dropped these prompt prefixes from its cache. */
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
        return byDomain.flatMap { (home, members) ->
            val size = if (home == domain) subsetSize else remoteSubsetSize
            rendezvousOrder(self, members) { it.id.text }.take(size)
        }
    }

    private fun configureSpill(
        other: DomainId,
        entries: Int,
    ) {
        val mine = objects.regionOf(domain)
        val theirs = objects.regionOf(other)
        val link = if (mine != null && theirs != null) objects.link(mine, theirs) else null
        val rate = (link?.bytesPerSecond ?: UNLIMITED_BYTES) * SPILL_SHARE / entries
        val bucket = spillBudgets.getOrPut(other) { TokenBucket(rate, rate * SPILL_BURST_SECONDS) }
        bucket.configure(rate, rate * SPILL_BURST_SECONDS)
    }

    private fun candidates(need: RoutingRequest): List<OperatorObject.Target> {
        if (need.owner != null) return listOfNotNull(objects.targets[need.owner]).filter(objects::inService)
        val fleet = objects.fleets[need.fleet] ?: return emptyList()
        return subsets[need.fleet].orEmpty().filter { it.id !in need.excluded && objects.inService(it) && mayServe(it, fleet) }
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
        need: RoutingRequest,
        now: Duration,
    ): OperatorObject.Target? {
        val free = candidates.filter { hasRoom(it.id, need.tokens, now) }
        if (free.isEmpty()) return null
        return when (policy) {
            LoadBalancingPolicy.RoundRobin -> free[turn++ % free.size]
            LoadBalancingPolicy.LeastInFlight -> free.minBy { stateOf(it.id).ownInFlight }
            is LoadBalancingPolicy.FreshRoom -> pickFresh(policy, free, need, now)
        }
    }

    private fun pickFresh(
        policy: LoadBalancingPolicy.FreshRoom,
        free: List<OperatorObject.Target>,
        need: RoutingRequest,
        now: Duration,
    ): OperatorObject.Target {
        val warm = need.prefix?.let { prefix -> free.firstOrNull { prefixes.isWarm(prefix, it.id) } }
        val drawn = free.shuffled(random).take(policy.choices) + listOfNotNull(warm)
        return drawn.maxBy { freeShare(it.id, now) + if (it == warm) policy.prefixBonus else 0.0 }
    }

    private fun spill(
        far: List<OperatorObject.Target>,
        near: List<OperatorObject.Target>,
        need: RoutingRequest,
        now: Duration,
    ): OperatorObject.Target? {
        val onTargetReport = far.filter { isFresh(stateOf(it.id), now) && spillRoom(it.id) }
        val chosen = pick(onTargetReport, need, now) ?: return null
        val budget = spillBudgets[chosen.domain] ?: return null
        val ownGone = near.isEmpty() || near.all { isAside(stateOf(it.id), now) }
        if (need.owner == null && !ownGone && !budget.take(need.bytes.toDouble(), now)) return null
        spills++
        return chosen
    }

    /** Neighbours keep half of their room for their own callers. */
    private fun spillRoom(target: TargetId): Boolean {
        val report = stateOf(target).report ?: return false
        return report.load.inFlight + stateOf(target).sentSinceReport < (report.load.limit + 1) / 2
    }

    private fun hasRoom(
        target: TargetId,
        tokens: Long,
        now: Duration,
    ): Boolean {
        val state = stateOf(target)
        if (isAside(state, now)) return false
        val ignoresRoom = policy !is LoadBalancingPolicy.FreshRoom
        if (ignoresRoom) return true
        if (!isFresh(state, now) || state.failures >= FAILURES_ALLOWED) return state.ownInFlight == 0
        val report = state.report ?: return false
        val entitled = state.ownInFlight < ownShare(target, report.load)
        return (freeSlots(state) > 0 && report.load.freeTokens >= tokens) || entitled
    }

    /** What this process may have at a near target whatever others have there; the target lets it wait for its turn. */
    private fun ownShare(
        target: TargetId,
        load: TargetLoad,
    ): Int = if (objects.targets[target]?.domain == domain) (load.limit / sharing).coerceAtLeast(minOf(1, load.limit)) else 0

    private fun freeShare(
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
    ): Boolean = state.report != null && now - state.reportedAt < REPORT_LIFE

    private fun isAside(
        state: TargetState,
        now: Duration,
    ): Boolean = now < state.asideUntil

    private fun setAside(
        state: TargetState,
        now: Duration,
    ) {
        state.failures++
        if (state.failures < FAILURES_ALLOWED) return
        val doublings = (state.failures - FAILURES_ALLOWED).coerceAtMost(MOST_DOUBLINGS)
        state.asideUntil = now + FIRST_ASIDE * (1 shl doublings)
        state.report = null
    }

    private fun noneFree(candidates: List<OperatorObject.Target>): RoutingDecision {
        val reachable = candidates.any { stateOf(it.id).linked }
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
            "accepting=${report?.accepting} report-age=$age failures=${state.failures} aside=${isAside(state, now)}"
    }

    private companion object {
        val REPORT_LIFE = 3.seconds
        val FIRST_ASIDE = 250.milliseconds
        const val MOST_DOUBLINGS = 5

        /** Failures in a row after which a target is set aside; fewer are the lot of single requests. */
        const val FAILURES_ALLOWED = 3
        const val SPILL_SHARE = 0.4
        const val SPILL_BURST_SECONDS = 2.0
        const val UNLIMITED_BYTES = 1_000_000_000L
    }
}
