/**
 * Decides when a target moves to another version, and with which engine order.
 *
 * The fleet's targets stand in one order that all processes know. With room for w targets out of service, the target at
 * place i waits until the target at place i-w is done, and everyone waits for the first: so at most w are out at once,
 * although no one counts the fleet, and a version that fails on the first target stops there. An engine is ordered to
 * load only a complete verified version. Fencing numbers come from the wall clock and are never below what the engine
 * reads back, so they rise across restarts without stored state; whether an engine checks them is learned by a probe
 * that changes nothing.
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

/** How far a target is with the version that its fleet should serve. */
enum class SwitchStatus { SERVING_OTHER, SWITCHING, SERVING, FAILED }

/** What another target says of its switch; null in place of a status means that it can't be reached. */
data class SwitchReport(
    val target: TargetId,
    val version: VersionId?,
    val status: SwitchStatus,
)

sealed class SwitchStep {
    /** Nothing to do until something changes. */
    data object NoAction : SwitchStep()

    data object ReadEngine : SwitchStep()

    /** The version's chunks must be drawn and verified first. */
    data object FetchWeights : SwitchStep()

    /** Ask [targets] how far they are. */
    data class QueryTargets(
        val targets: List<TargetId>,
    ) : SwitchStep()

    /** New work is refused; wait until what is in hand has ended. */
    data object Drain : SwitchStep()

    /** Give [order], then read the engine back. */
    data class SendOrder(
        val order: EngineOrder,
    ) : SwitchStep()

    /** Orders of an earlier process may still arrive until [until]. */
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
    private var wanted: OperatorObject.Version? = null
    private var order: List<TargetId> = emptyList()
    private var engine: EngineState? = null
    private var knowledge: FencingKnowledge = FencingKnowledge.Unknown
    private var lastFencing = 0L
    private var raised = false
    private var draining = false
    private var attempts = 0
    private var failedDetail: String? = null
    private var asked = mutableMapOf<TargetId, SwitchStatus>()
    private var unreachableSince = mutableMapOf<TargetId, Duration>()
    private var readNeeded = true

    /** Takes over a set that came into force: the fleet, the version it should serve, and its targets in order. */
    fun configure(
        fleet: OperatorObject.Fleet,
        version: OperatorObject.Version?,
        targets: List<TargetId>,
    ) {
        if (version != wanted) forgetAttempt()
        this.fleet = fleet
        wanted = version
        order = targets
    }

    /** The engine was read. */
    fun onEngineState(state: EngineState) {
        val restarted = engine != null && engine?.incarnation != state.incarnation
        if (restarted) forgetAttempt()
        engine = state
        state.fencing?.let { lastFencing = max(lastFencing, it.number) }
        readNeeded = false
        if (state.version == wanted?.id && !state.loading) draining = false
    }

    /** The engine can't be relied on until it is read again. */
    fun onEngineLost() {
        readNeeded = true
    }

    /** The version that the engine serves as far as known, null while it serves none or is being switched. */
    fun servingVersion(): VersionId? = engine?.takeIf { !it.loading && !readNeeded }?.version

    /** Whether new work may go to the engine: it serves a whole version that the fleet accepts. */
    fun refusal(): Refusal? {
        val fleet = fleet ?: return Refusal.NotServing(RETRY, "no fleet for this target")
        if (fleet.kind == FleetKind.PLAIN) return if (readNeeded) Refusal.NotServing(RETRY, "back end not reached") else null
        if (draining) return Refusal.NotServing(RETRY, "switching")
        val version = servingVersion() ?: return Refusal.NotServing(RETRY, "no version loaded")
        return if (fleet.accepts(version)) null else Refusal.WrongVersion(RETRY)
    }

    fun status(): SwitchStatus =
        when {
            failedDetail != null -> SwitchStatus.FAILED
            wanted != null && servingVersion() == wanted?.id && !draining -> SwitchStatus.SERVING
            draining -> SwitchStatus.SWITCHING
            else -> SwitchStatus.SERVING_OTHER
        }

    fun report(): SwitchReport = SwitchReport(self, wanted?.id, status())

    /** Another target answered, or could not be reached when [status] is null. */
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
        val same = version == wanted?.id
        asked[target] = if (same) status else SwitchStatus.SERVING_OTHER
    }

    /** Decides on the next step; [complete] says that the wanted version is whole and verified, [inFlight] what is in hand. */
    fun next(
        complete: Boolean,
        inFlight: Int,
        now: Duration,
        date: Instant,
    ): SwitchStep {
        val version = wanted ?: return SwitchStep.NoAction
        if (readNeeded) return SwitchStep.ReadEngine
        val state = engine ?: return SwitchStep.ReadEngine
        if (knowledge == FencingKnowledge.Unknown) return probe(date)
        if (state.version == version.id && !state.loading) return SwitchStep.NoAction
        if (failedDetail != null) return SwitchStep.NoAction
        if (!complete) return SwitchStep.FetchWeights
        val empty = state.version == null
        if (!empty) othersToAsk(now)?.let { return it }
        draining = true
        if (inFlight > 0) return SwitchStep.Drain
        waitOut(now)?.let { return it }
        return SwitchStep.SendOrder(load(version, date))
    }

    /** The order ended with [result]; the engine is read back in any case. */
    fun onOrderResult(
        order: EngineOrder,
        result: OrderResult,
    ) {
        readNeeded = true
        if (order is EngineOrder.ChangeRole) learn(result) else attempt(result)
    }

    fun fencing(): FencingKnowledge = knowledge

    fun dump(): DumpSection =
        dumpSection("switch") {
            entry("wanted", wanted?.id?.text)
            entry("engine", engine)
            entry("status", status())
            entry("fencing", knowledge)
            entry("last-fencing", lastFencing)
            entry("attempts", attempts)
            entry("failure", failedDetail)
            entry("place", "${order.indexOf(self)} of ${order.size}, ${placesOut()} out at once")
            entry("waits-for", predecessors().map { it.text })
        }

    private fun forgetAttempt() {
        draining = false
        attempts = 0
        failedDetail = null
        readNeeded = true
        asked.clear()
        unreachableSince.clear()
    }

    /** An order that sets the role it has, under a number that is too low: an engine that checks refuses it. */
    private fun probe(date: Instant): SwitchStep {
        val state = engine ?: return SwitchStep.ReadEngine
        if (state.fencing == null) return settle(FencingKnowledge.Ignores, date)
        if (state.fencing.number == 0L && raised) return settle(FencingKnowledge.Ignores, date)
        if (state.fencing.number == 0L) return SwitchStep.SendOrder(EngineOrder.ChangeRole(nextFencing(date), state.role))
        return SwitchStep.SendOrder(EngineOrder.ChangeRole(FencingNumber(state.fencing.number - 1), state.role))
    }

    private fun settle(
        found: FencingKnowledge,
        date: Instant,
    ): SwitchStep {
        knowledge = found
        nextFencing(date)
        return SwitchStep.ReadEngine
    }

    private fun learn(result: OrderResult) {
        val probedBelow = (engine?.fencing?.number ?: 0L) > 0L
        raised = raised || result is OrderResult.Done
        knowledge =
            when (result) {
                OrderResult.Fenced -> FencingKnowledge.Checks
                OrderResult.Done -> if (probedBelow) FencingKnowledge.Ignores else FencingKnowledge.Unknown
                is OrderResult.Declined -> FencingKnowledge.Ignores
                is OrderResult.Unknown -> FencingKnowledge.Unknown
            }
    }

    private fun attempt(result: OrderResult) {
        when (result) {
            OrderResult.Done -> Unit
            OrderResult.Fenced -> Unit
            is OrderResult.Declined -> count(result.detail)
            is OrderResult.Unknown -> count(result.detail)
        }
    }

    private fun count(detail: String) {
        attempts++
        if (attempts >= ATTEMPTS) failedDetail = detail
    }

    private fun load(
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

    private fun waitOut(now: Duration): SwitchStep? {
        val until = startedAt + ORDER_TIMEOUT
        val safe = knowledge is FencingKnowledge.Checks || now >= until
        return if (safe) null else SwitchStep.AwaitOrderTimeout(until)
    }

    private fun placesOut(): Int {
        val floor = fleet?.floor ?: 1.0
        return ((1.0 - floor) * order.size).toInt().coerceAtLeast(1)
    }

    private fun predecessors(): List<TargetId> {
        val place = order.indexOf(self)
        if (place <= 0) return emptyList()
        val before = place - placesOut()
        return listOfNotNull(order.first(), order.getOrNull(before)).distinct()
    }

    private fun othersToAsk(now: Duration): SwitchStep? {
        val open = predecessors().filter { asked[it] != SwitchStatus.SERVING && !isGone(it, now) }
        return if (open.isEmpty()) null else SwitchStep.QueryTargets(open)
    }

    private fun isGone(
        target: TargetId,
        now: Duration,
    ): Boolean = unreachableSince[target]?.let { now - it > GONE_AFTER } ?: false

    companion object {
        /** How long an order may take to reach the engine and take effect. */
        val ORDER_TIMEOUT = 10.seconds
        private val GONE_AFTER = 20.seconds
        private val RETRY = 300.milliseconds
        private const val ATTEMPTS = 3
    }
}
