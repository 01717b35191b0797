/**
 * The controllers of a target daemon. All functions run on the control thread.
 */
package lagoonrudder.traffic.target

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import lagoonrudder.control.ConcurrencyLimitController
import lagoonrudder.control.ConfigurationController
import lagoonrudder.control.ControlThread
import lagoonrudder.control.DumpSection
import lagoonrudder.control.EngineResult
import lagoonrudder.control.IdempotencyController
import lagoonrudder.control.LimitDecision
import lagoonrudder.control.MembershipController
import lagoonrudder.control.ServingController
import lagoonrudder.control.ServingState
import lagoonrudder.control.TargetCapacity
import lagoonrudder.control.TargetReport
import lagoonrudder.control.VersionSwitchController
import lagoonrudder.control.WeightFetchController
import lagoonrudder.control.WeightHolder
import lagoonrudder.control.keyOwners
import lagoonrudder.control.refusal
import lagoonrudder.model.Clock
import lagoonrudder.model.FleetKind
import lagoonrudder.model.IncarnationId
import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestId
import lagoonrudder.model.Step
import lagoonrudder.model.TargetId
import lagoonrudder.model.VersionId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class TargetControl(
    val thread: ControlThread,
    private val clock: Clock,
    private val invariants: Invariants,
    val self: TargetId,
    private val incarnation: IncarnationId,
    val configuration: ConfigurationController,
    val membership: MembershipController,
    val limits: ConcurrencyLimitController,
    val idempotency: IdempotencyController,
    val switch: VersionSwitchController,
    val weights: WeightFetchController,
    val service: ServingController,
) {
    private class PendingAdmission(
        val version: VersionId?,
        val result: CompletableDeferred<Refusal?>,
    )

    private val pendingAdmissions = mutableMapOf<RequestId, PendingAdmission>()
    private val revisions = MutableStateFlow(0L)
    private val reports = MutableStateFlow(report())

    /** The revision of the active configuration, for filters that wait for a newer one. */
    val revision: StateFlow<Long> = revisions

    /** The reports that are sent to entry daemons. */
    val latestReport: StateFlow<TargetReport> = reports

    /** Handles a new active configuration or a change in the list of instances. */
    fun configured() {
        val objects = configuration.current.objects
        weights.configure(objects)
        val target = objects.targets[self]
        val fleet = target?.let { objects.fleets[it.fleet] }
        if (target != null && fleet != null) configure(objects, target, fleet)
        revisions.value = configuration.current.revision.number
        publish()
    }

    /** Returns the refusal for new work now, or null if it may be admitted; disregards weights and limits. */
    fun closed(): Refusal? {
        val now = clock.elapsed()
        val confirmed = configuration.mayServe(now) && !service.wasPaused(now)
        return when (val state = service.state(configuration.current.objects, confirmed)) {
            ServingState.Serving -> null
            is ServingState.Unavailable -> state.refusal()
        }
    }

    /** Handles the periodic tick; returns whether the process was paused, in which case its configuration must be confirmed. */
    fun wasPaused(limit: Duration): Boolean {
        val now = clock.elapsed()
        val paused = service.tick(now)
        if (paused) configuration.requireConfirmation(now, limit)
        return paused
    }

    /** Returns the refusal for an attempt at [version] now, or null if it may be admitted; disregards the limits. */
    fun refusal(version: VersionId?): Refusal? {
        closed()?.let { return it }
        if (version != switch.servingVersion()) return Refusal.NotServing(RETRY, "switching")
        return switch.refusal()
    }

    /** Admits, queues or refuses a request; the result completes with null on admission, otherwise with the refusal. */
    fun admit(
        request: RequestId,
        version: VersionId?,
        tokens: Long,
    ): Deferred<Refusal?> {
        val pending = CompletableDeferred<Refusal?>()
        val refusal = refusal(version)
        if (refusal != null) return pending.also { it.complete(refusal) }
        when (val decision = limits.admit(request, tokens)) {
            LimitDecision.Admitted -> admitted(request, pending)
            LimitDecision.Queued -> pendingAdmissions[request] = PendingAdmission(version, pending)
            is LimitDecision.Refused -> pending.complete(decision.refusal)
        }
        publish()
        return pending
    }

    /** Ends the wait of a queued request with a refusal; returns null if it was admitted meanwhile. */
    fun abandonAdmission(request: RequestId): Refusal? {
        if (pendingAdmissions.remove(request) == null) return null
        limits.withdraw(request)
        publish()
        return Refusal.Overloaded(RETRY)
    }

    fun onRequestFinished(
        request: RequestId,
        result: EngineResult,
    ) {
        service.onRequestEnded()
        limits.onRequestFinished(request, result, clock.elapsed())
        admitWaiting()
        publish()
    }

    /** Admits queued requests to free slots, and refuses them if the target has stopped accepting work meanwhile. */
    private fun admitWaiting() {
        while (true) {
            val request = limits.admitNext() ?: return
            val pending = pendingAdmissions.remove(request)
            val refusal = if (pending == null) Refusal.Overloaded(RETRY) else refusal(pending.version)
            if (pending != null && refusal == null) {
                admitted(request, pending.result)
            } else {
                limits.onRequestFinished(request, EngineResult.Cancelled, clock.elapsed())
                pending?.result?.complete(refusal)
            }
        }
    }

    private fun admitted(
        request: RequestId,
        pending: CompletableDeferred<Refusal?>,
    ) {
        val target = configuration.current.objects.targets[self]
        val inService = target != null && configuration.current.objects.inService(target)
        invariants.check(inService, Invariant.NO_NEW_WORK_WHEN_OUT, Step.ADMIT) { "request=${request.text}" }
        service.onRequestStarted()
        pending.complete(null)
    }

    /** Publishes the current state to entry daemons. */
    fun publish() {
        reports.value = report()
    }

    /** Returns the daemons that should hold the version of this target's fleet. */
    fun holders(): List<WeightHolder> {
        val objects = configuration.current.objects
        val fleet = objects.targets[self]?.fleet ?: return emptyList()
        val daemons = membership.targetDaemons()
        return objects.targetsOf[fleet].orEmpty().mapNotNull { target ->
            val instance = daemons[target.id]?.takeUnless { it.leaving } ?: return@mapNotNull null
            val region = objects.regionOf(target.domain) ?: return@mapNotNull null
            WeightHolder(instance.daemon, target.domain, region)
        }
    }

    /** Returns the version that this target should serve; null for a plain service. */
    fun wantedVersion(): OperatorObject.Version? {
        val objects = configuration.current.objects
        val fleet = objects.targets[self]?.let { objects.fleets[it.fleet] }
        return fleet?.version?.let { objects.versions[it] }
    }

    fun dump(): List<DumpSection> =
        listOf(
            service.dump(),
            configuration.dump(),
            membership.dump(clock.elapsed()),
            limits.dump(),
            idempotency.dump(),
            switch.dump(),
            weights.dump(),
        )

    private fun configure(
        objects: ObjectSet,
        target: OperatorObject.Target,
        fleet: OperatorObject.Fleet,
    ) {
        limits.configure(TargetCapacity(target.requests, target.memoryTokens))
        val inService =
            objects.targetsOf[fleet.id]
                .orEmpty()
                .filter(objects::inService)
                .map { it.id }
        switch.configure(fleet, fleet.version?.let { objects.versions[it] }, inService)
        if (fleet.kind == FleetKind.PLAIN) idempotency.configure(keyOwners(objects, fleet), clock.elapsed(), clock.now())
    }

    private fun report(): TargetReport {
        val accepting = closed() == null && switch.refusal() == null
        return TargetReport(self, incarnation, limits.load(), switch.servingVersion(), accepting)
    }

    companion object {
        /** How long a filter waits for a configuration that the entry daemon has but this process lacks. */
        val CATCH_UP_LIMIT: Duration = 300.milliseconds
        private val RETRY = 100.milliseconds
    }
}
