/**
 * The controllers of an entry daemon, and the waiting requests that their decisions wake.
 *
 * Everything here runs on the control thread; filters call it through [ControlThread.decide].
 */
package lagoonrudder.traffic.entry

import kotlinx.coroutines.CompletableDeferred
import lagoonrudder.control.AdmissionController
import lagoonrudder.control.ConfigurationController
import lagoonrudder.control.ControlThread
import lagoonrudder.control.DispatchController
import lagoonrudder.control.DispatchResult
import lagoonrudder.control.DumpSection
import lagoonrudder.control.BufferDecision
import lagoonrudder.control.MembershipController
import lagoonrudder.control.QueueDecision
import lagoonrudder.control.ResponseBufferController
import lagoonrudder.control.RetryBudget
import lagoonrudder.control.TargetLoad
import lagoonrudder.control.RoutingController
import lagoonrudder.control.ServingController
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
    private val sleepers = mutableMapOf<RequestId, CompletableDeferred<DispatchResult>>()

    /** Lets a request wait; the result is completed when it may go or is refused. */
    fun enqueue(ticket: Ticket): CompletableDeferred<DispatchResult> {
        val now = clock.elapsed()
        val sleeper = CompletableDeferred<DispatchResult>()
        when (val decision = dispatch.enqueue(ticket.waiting, ticket.need, now)) {
            is QueueDecision.Refused -> sleeper.complete(DispatchResult.Refused(ticket.waiting.id, decision.refusal))
            QueueDecision.Queued -> {
                sleepers[ticket.waiting.id] = sleeper
                dispatchWaiting()
            }
        }
        return sleeper
    }

    /** Lets a request that did not get its answer wait again. */
    fun requeue(ticket: Ticket): CompletableDeferred<DispatchResult> {
        val sleeper = CompletableDeferred<DispatchResult>()
        sleepers[ticket.waiting.id] = sleeper
        dispatch.requeue(ticket.waiting, ticket.need, clock.elapsed())
        dispatchWaiting()
        return sleeper
    }

    fun withdraw(ticket: Ticket) {
        sleepers.remove(ticket.waiting.id)
        dispatch.withdraw(ticket.waiting)
    }

    fun ended(
        ticket: Ticket,
        target: TargetId,
        failed: Boolean,
        heldBack: Duration = Duration.ZERO,
    ) {
        dispatch.ended(ticket.waiting, target, failed, heldBack, clock.elapsed())
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

    /** An answer carried back what room its target has. */
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

    /** A new set is in force, or the list of instances changed. */
    fun configured() {
        val entries = membership.instances().count { it.role == DaemonRole.ENTRY && it.domain == domain && !it.leaving }
        routing.configure(configuration.current.objects, entries)
        dispatchWaiting()
    }

    fun dispatchWaiting() {
        for (dispatched in dispatch.dispatchWaiting(clock.elapsed())) sleepers.remove(dispatched.request)?.complete(dispatched)
    }

    /** Opens the memory of an answer; false when the budget has no room for it. */
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

    /** Notes the regular tick; returns whether the process was paused, in which case its configuration must be confirmed. */
    fun wasPaused(limit: Duration): Boolean {
        val now = clock.elapsed()
        val paused = service.tick(now)
        if (paused) configuration.requireConfirmation(now, limit)
        return paused
    }

    /** Time has passed: late requests are refused and a stalled answer may have to give up its back end. */
    fun tick() {
        dispatchWaiting()
        val victim = readers.victim(admission.nonEmptyQueues().isNotEmpty(), clock.elapsed()) ?: return
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
