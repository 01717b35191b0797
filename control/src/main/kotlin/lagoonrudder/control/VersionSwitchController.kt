/**
 * Controls when a target switches to another version, and which engine order performs the switch.
 *
 * The targets of a fleet have one sequence that all processes know. If w targets may be unavailable simultaneously, the
 * target at position i waits until the target at position i-w is done, and all targets wait for the first. So at most w
 * targets are unavailable, without a count of the entire fleet, and a version that fails on the first target stops there. An engine is
 * ordered to load a version only when the version is complete and verified. Fencing numbers are taken from the wall clock
 * and are never below the number that the engine reports, so they increase across restarts without stored state. A probe
 * without side effects finds out whether the engine checks them.
 */
package lagoonrudder.control

import lagoonrudder.model.FencingNumber
import lagoonrudder.model.FleetKind
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.Refusal
import lagoonrudder.model.TargetId
import lagoonrudder.model.VersionId
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The progress of a target towards the version that its fleet should serve. */
enum class SwitchStatus { SERVING_OTHER, SWITCHING, SERVING, FAILED }

/** The progress of [target] in its switch to [version]. */
data class SwitchReport(
    val target: TargetId,
    val version: VersionId?,
    val status: SwitchStatus,
)

sealed class SwitchStep {
    /** There is nothing to do until the state changes. */
    data object NoAction : SwitchStep()

    /** The state of the engine must be read. */
    data object ReadEngine : SwitchStep()

    /** The chunks of the version must be fetched and verified first. */
    data object FetchWeights : SwitchStep()

    /** [targets] must be queried for their progress. */
    data class QueryTargets(
        val targets: List<TargetId>,
    ) : SwitchStep()

    /** New requests are rejected; the in-flight requests must end first. */
    data object Drain : SwitchStep()

    /** [order] must be sent to the engine, and the state of the engine read afterwards. */
    data class SendOrder(
        val order: EngineOrder,
    ) : SwitchStep()

    /** Orders of a previous process may still reach the engine until [until]. */
    data class AwaitOrderTimeout(
        val until: Duration,
    ) : SwitchStep()
}

/** Whether the engine checks fencing numbers. */
sealed class FencingKnowledge {
    data object Unknown : FencingKnowledge()

    data object Checks : FencingKnowledge()

    data object Ignores : FencingKnowledge()
}

class VersionSwitchController(
    private val self: TargetId,
    private val startedAt: Duration,
) {
    private var fleet: OperatorObject.Fleet? = null
    private var wantedVersion: OperatorObject.Version? = null
    private var switchSequence: List<TargetId> = emptyList()
    private var engine: EngineState? = null
    private var fencingKnowledge: FencingKnowledge = FencingKnowledge.Unknown
    private var lastFencing = 0L
    private var numberRaised = false
    private var draining = false
    private var attempts = 0
    private var failedDetail: String? = null
    private var reportedStatuses = mutableMapOf<TargetId, SwitchStatus>()
    private var unreachableSince = mutableMapOf<TargetId, Duration>()
    private var needsRead = true

    /** Applies the active set: the fleet, the version that it should serve, and its [targets] in switch order. */
    fun configure(
        fleet: OperatorObject.Fleet,
        version: OperatorObject.Version?,
        targets: List<TargetId>,
    ) {
        if (version != wantedVersion) resetSwitch()
        this.fleet = fleet
        wantedVersion = version
        switchSequence = targets
    }

    /** Records a state that was read from the engine. */
    fun onEngineState(state: EngineState) {
        val restarted = engine != null && engine?.incarnation != state.incarnation
        if (restarted) resetSwitch()
        engine = state
        state.fencing?.let { lastFencing = max(lastFencing, it.number) }
        needsRead = false
        if (state.version == wantedVersion?.id && !state.loading) draining = false
    }

    /** The last known state of the engine is no longer valid; it must be read again. */
    fun onEngineLost() {
        needsRead = true
    }

    /** Returns the version that the engine serves, or null if it serves none, is loading, or its state is unknown. */
    fun servingVersion(): VersionId? = engine?.takeIf { !it.loading && !needsRead }?.version

    /** Returns why new requests must not be sent to the engine, or null if it serves a version that the fleet accepts. */
    fun refusal(): Refusal? {
        val fleet = fleet ?: return Refusal.NotServing(RETRY_AFTER, "the target belongs to no fleet")
        if (fleet.kind == FleetKind.PLAIN) return if (needsRead) Refusal.NotServing(RETRY_AFTER, "the back end is unreachable") else null
        if (draining) return Refusal.NotServing(RETRY_AFTER, "switching")
        val version = servingVersion() ?: return Refusal.NotServing(RETRY_AFTER, "the engine has loaded no version")
        return if (fleet.accepts(version)) null else Refusal.WrongVersion(RETRY_AFTER)
    }

    fun status(): SwitchStatus =
        when {
            failedDetail != null -> SwitchStatus.FAILED
            wantedVersion != null && servingVersion() == wantedVersion?.id && !draining -> SwitchStatus.SERVING
            draining -> SwitchStatus.SWITCHING
            else -> SwitchStatus.SERVING_OTHER
        }

    fun report(): SwitchReport = SwitchReport(self, wantedVersion?.id, status())

    /** [target] reported [status] for [version]; a null [status] means that it could not be reached. */
    fun onSwitchReport(
        target: TargetId,
        version: VersionId?,
        status: SwitchStatus?,
        now: Duration,
    ) {
        if (status == null) {
            unreachableSince.putIfAbsent(target, now)
            return
        }
        unreachableSince.remove(target)
        val sameVersion = version == wantedVersion?.id
        reportedStatuses[target] = if (sameVersion) status else SwitchStatus.SERVING_OTHER
    }

    /**
     * Returns the next step. [complete] tells whether the wanted version is complete and verified, and [inFlight] is the number
     * of in-flight requests.
     */
    fun next(
        complete: Boolean,
        inFlight: Int,
        now: Duration,
        date: Instant,
    ): SwitchStep {
        val version = wantedVersion ?: return SwitchStep.NoAction
        if (needsRead) return SwitchStep.ReadEngine
        val state = engine ?: return SwitchStep.ReadEngine
        if (fencingKnowledge == FencingKnowledge.Unknown) return probe(date)
        if (state.version == version.id && !state.loading) return SwitchStep.NoAction
        if (failedDetail != null) return SwitchStep.NoAction
        if (!complete) return SwitchStep.FetchWeights
        val noVersionLoaded = state.version == null
        if (!noVersionLoaded) predecessorsToQuery(now)?.let { return it }
        draining = true
        if (inFlight > 0) return SwitchStep.Drain
        awaitOrderTimeout(now)?.let { return it }
        return SwitchStep.SendOrder(loadOrder(version, date))
    }

    /** The order ended with [result]; the state of the engine is read again in any case. */
    fun onOrderResult(
        order: EngineOrder,
        result: OrderResult,
    ) {
        needsRead = true
        if (order is EngineOrder.ChangeRole) recordProbeResult(result) else recordLoadResult(result)
    }

    fun fencing(): FencingKnowledge = fencingKnowledge

    fun dump(): DumpSection =
        dumpSection("switch") {
            entry("wanted", wantedVersion?.id?.text)
            entry("engine", engine)
            entry("status", status())
            entry("fencing", fencingKnowledge)
            entry("last-fencing", lastFencing)
            entry("attempts", attempts)
            entry("failure", failedDetail)
            entry("place", "${switchSequence.indexOf(self)} of ${switchSequence.size}, ${maxUnavailable()} out at once")
            entry("waits-for", predecessors().map { it.text })
        }

    private fun resetSwitch() {
        draining = false
        attempts = 0
        failedDetail = null
        needsRead = true
        reportedStatuses.clear()
        unreachableSince.clear()
    }

    /**
     * Returns an order that sets the role that the engine already has, with a fencing number that is too low: an engine that
     * checks fencing numbers rejects it.
     */
    private fun probe(date: Instant): SwitchStep {
        val state = engine ?: return SwitchStep.ReadEngine
        if (state.fencing == null) return concludeProbe(FencingKnowledge.Ignores, date)
        if (state.fencing.number == 0L && numberRaised) return concludeProbe(FencingKnowledge.Ignores, date)
        if (state.fencing.number == 0L) return SwitchStep.SendOrder(EngineOrder.ChangeRole(nextFencing(date), state.role))
        return SwitchStep.SendOrder(EngineOrder.ChangeRole(FencingNumber(state.fencing.number - 1), state.role))
    }

    private fun concludeProbe(
        conclusion: FencingKnowledge,
        date: Instant,
    ): SwitchStep {
        fencingKnowledge = conclusion
        nextFencing(date)
        return SwitchStep.ReadEngine
    }

    private fun recordProbeResult(result: OrderResult) {
        val probedWithLowerNumber = (engine?.fencing?.number ?: 0L) > 0L
        numberRaised = numberRaised || result is OrderResult.Done
        fencingKnowledge =
            when (result) {
                OrderResult.Fenced -> FencingKnowledge.Checks
                OrderResult.Done -> if (probedWithLowerNumber) FencingKnowledge.Ignores else FencingKnowledge.Unknown
                is OrderResult.Declined -> FencingKnowledge.Ignores
                is OrderResult.Unknown -> FencingKnowledge.Unknown
            }
    }

    private fun recordLoadResult(result: OrderResult) {
        when (result) {
            OrderResult.Done -> Unit
            OrderResult.Fenced -> Unit
            is OrderResult.Declined -> countFailure(result.detail)
            is OrderResult.Unknown -> countFailure(result.detail)
        }
    }

    private fun countFailure(detail: String) {
        attempts++
        if (attempts >= MAX_ATTEMPTS) failedDetail = detail
    }

    private fun loadOrder(
        version: OperatorObject.Version,
        date: Instant,
    ): EngineOrder {
        val base = version.base
        return if (base == null) {
            EngineOrder.LoadModel(nextFencing(date), version.id, version.chunkCount)
        } else {
            EngineOrder.LoadAdapter(nextFencing(date), version.id, base, version.chunkCount)
        }
    }

    private fun nextFencing(date: Instant): FencingNumber {
        lastFencing = max(lastFencing + 1, date.toEpochMilliseconds())
        return FencingNumber(lastFencing)
    }

    private fun awaitOrderTimeout(now: Duration): SwitchStep? {
        val until = startedAt + ORDER_TIMEOUT
        val noOrderPending = fencingKnowledge is FencingKnowledge.Checks || now >= until
        return if (noOrderPending) null else SwitchStep.AwaitOrderTimeout(until)
    }

    private fun maxUnavailable(): Int {
        val floor = fleet?.floor ?: 1.0
        return ((1.0 - floor) * switchSequence.size).toInt().coerceAtLeast(1)
    }

    private fun predecessors(): List<TargetId> {
        val position = switchSequence.indexOf(self)
        if (position <= 0) return emptyList()
        val blockingPosition = position - maxUnavailable()
        return listOfNotNull(switchSequence.first(), switchSequence.getOrNull(blockingPosition)).distinct()
    }

    private fun predecessorsToQuery(now: Duration): SwitchStep? {
        val open = predecessors().filter { reportedStatuses[it] != SwitchStatus.SERVING && !isUnreachable(it, now) }
        return if (open.isEmpty()) null else SwitchStep.QueryTargets(open)
    }

    private fun isUnreachable(
        target: TargetId,
        now: Duration,
    ): Boolean = unreachableSince[target]?.let { now - it > UNREACHABLE_TIMEOUT } ?: false

    companion object {
        /** The longest time that an order may take to reach the engine and take effect. */
        val ORDER_TIMEOUT = 10.seconds
        private val UNREACHABLE_TIMEOUT = 20.seconds
        private val RETRY_AFTER = 300.milliseconds
        private const val MAX_ATTEMPTS = 3
    }
}
