/**
 * The controllers of an entry daemon and the queued requests that are resumed by their decisions.
 *
 * All functions run on the control thread; filters call them through [ControlThread.decide].
 */
package lagoonrudder.traffic.entry

import kotlinx.coroutines.CompletableDeferred
import lagoonrudder.control.AdmissionController
import lagoonrudder.control.BufferDecision
import lagoonrudder.control.ConfigurationController
import lagoonrudder.control.ControlThread
import lagoonrudder.control.DispatchController
import lagoonrudder.control.DispatchResult
import lagoonrudder.control.DumpSection
import lagoonrudder.control.MembershipController
import lagoonrudder.control.QueueDecision
import lagoonrudder.control.ResponseBufferController
import lagoonrudder.control.RetryBudget
import lagoonrudder.control.RoutingController
import lagoonrudder.control.ServingController
import lagoonrudder.control.TargetLoad
import lagoonrudder.control.TargetReport
import lagoonrudder.control.dumpSection
import lagoonrudder.control.entry
import lagoonrudder.model.Clock
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.RequestId
import lagoonrudder.model.TargetId
import kotlin.time.Duration

class EntryControl(
    val thread: ControlThread,
    private val clock: Clock,
    private val domain: DomainId,
    val configuration: ConfigurationController,
    val membership: MembershipController,
    val routing: RoutingController,
    val admission: AdmissionController,
    val readers: ResponseBufferController,
    val service: ServingController,
    val retries: RetryBudget = RetryBudget(),
) {
    private val dispatch = DispatchController(admission, routing)
    private val relays = mutableMapOf<RequestId, ResponseRelay>()
    private val pendingDispatches = mutableMapOf<RequestId, CompletableDeferred<DispatchResult>>()

    /** Queues a request; the result completes when the request is dispatched or refused. */
    fun enqueue(ticket: Ticket): CompletableDeferred<DispatchResult> {
        val now = clock.elapsed()
        val pending = CompletableDeferred<DispatchResult>()
        when (val decision = dispatch.enqueue(ticket.queued, ticket.routingRequest, now)) {
            is QueueDecision.Refused -> pending.complete(DispatchResult.Refused(ticket.queued.id, decision.refusal))
            QueueDecision.Queued -> {
                pendingDispatches[ticket.queued.id] = pending
                dispatchWaiting()
            }
        }
        return pending
    }

    /** Queues a request again whose attempt produced no response. */
    fun requeue(ticket: Ticket): CompletableDeferred<DispatchResult> {
        val pending = CompletableDeferred<DispatchResult>()
        pendingDispatches[ticket.queued.id] = pending
        dispatch.requeue(ticket.queued, ticket.routingRequest, clock.elapsed())
        dispatchWaiting()
        return pending
    }

    fun withdraw(ticket: Ticket) {
        pendingDispatches.remove(ticket.queued.id)
        dispatch.withdraw(ticket.queued)
    }

    fun release(
        ticket: Ticket,
        target: TargetId,
        failed: Boolean,
        blockedByCaller: Duration = Duration.ZERO,
    ) {
        dispatch.onRequestEnded(ticket.queued, target, failed, blockedByCaller, clock.elapsed())
        dispatchWaiting()
    }

    fun onRejected(
        target: TargetId,
        load: TargetLoad?,
    ) {
        routing.onRejected(target)
        load?.let { routing.onLoadUpdate(target, it, clock.elapsed()) }
        dispatchWaiting()
    }

    /** Handles the load of a target that arrived with a response. */
    fun onLoadUpdate(
        target: TargetId,
        load: TargetLoad,
    ) = routing.onLoadUpdate(target, load, clock.elapsed())

    fun onTargetReport(report: TargetReport) {
        routing.onTargetReport(report, clock.elapsed())
        dispatchWaiting()
    }

    fun onDisconnected(target: TargetId) {
        routing.onDisconnected(target)
        dispatchWaiting()
    }

    /** Handles a new active configuration or a change in the list of instances. */
    fun configured() {
        val entries = membership.instances().count { it.role == DaemonRole.ENTRY && it.domain == domain && !it.leaving }
        routing.configure(configuration.current.objects, entries)
        dispatchWaiting()
    }

    fun dispatchWaiting() {
        for (result in dispatch.dispatchWaiting(clock.elapsed())) pendingDispatches.remove(result.request)?.complete(result)
    }

    /** Reserves the buffer of a response; returns false if the memory budget does not allow it. */
    fun open(
        request: RequestId,
        relay: ResponseRelay,
    ): Boolean {
        val opened = readers.open(request, ResponseRelay.BASE_BYTES, clock.elapsed()) is BufferDecision.Granted
        if (opened) relays[request] = relay
        return opened
    }

    fun close(request: RequestId) {
        relays.remove(request)
        readers.close(request)
    }

    /** Handles the periodic tick; returns whether the process was paused, in which case its configuration must be confirmed. */
    fun wasPaused(limit: Duration): Boolean {
        val now = clock.elapsed()
        val paused = service.tick(now)
        if (paused) configuration.requireConfirmation(now, limit)
        return paused
    }

    /** Handles the passage of time: refuses requests past their deadline and may park one stalled response to free its back end. */
    fun tick() {
        dispatchWaiting()
        val victim = readers.selectVictim(admission.nonEmptyQueues().isNotEmpty(), clock.elapsed()) ?: return
        readers.park(victim)
        relays[victim]?.park?.complete(Unit)
    }

    fun dump(): List<DumpSection> {
        val now = clock.elapsed()
        return listOf(
            service.dump(),
            configuration.dump(),
            membership.dump(now),
            admission.dump(),
            routing.dump(now),
            readers.dump(),
            dumpSection("retries") { entry("saved", retries.saved()) },
        )
    }
}
