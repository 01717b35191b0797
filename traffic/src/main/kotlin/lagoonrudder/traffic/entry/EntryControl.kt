/**
 * The controllers of an entry daemon and the queued requests that are resumed by their decisions.
 *
 * All functions run on the control thread; filters call them through [ControlThread.decide].
 */
package lagoonrudder.traffic.entry

import kotlinx.coroutines.CompletableDeferred
import lagoonrudder.control.AdmissionController
import lagoonrudder.control.ConfigurationController
import lagoonrudder.control.ControlThread
import lagoonrudder.control.DispatchController
import lagoonrudder.control.Dispatched
import lagoonrudder.control.DumpSection
import lagoonrudder.control.HoldDecision
import lagoonrudder.control.MembershipController
import lagoonrudder.control.QueueDecision
import lagoonrudder.control.ReaderMemoryController
import lagoonrudder.control.RetryBudget
import lagoonrudder.control.Room
import lagoonrudder.control.RoutingController
import lagoonrudder.control.ServiceController
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
    val readers: ReaderMemoryController,
    val service: ServiceController,
    val retries: RetryBudget = RetryBudget(),
) {
    private val dispatch = DispatchController(admission, routing)
    private val relays = mutableMapOf<RequestId, ResponseRelay>()
    private val pendingDispatches = mutableMapOf<RequestId, CompletableDeferred<Dispatched>>()

    /** Queues a request; the result completes when the request is dispatched or refused. */
    fun enter(ticket: Ticket): CompletableDeferred<Dispatched> {
        val now = clock.elapsed()
        val pending = CompletableDeferred<Dispatched>()
        when (val decision = dispatch.enter(ticket.waiting, ticket.need, now)) {
            is QueueDecision.Refused -> pending.complete(Dispatched.Refused(ticket.waiting.id, decision.refusal))
            QueueDecision.Queued -> {
                pendingDispatches[ticket.waiting.id] = pending
                pump()
            }
        }
        return pending
    }

    /** Queues a request again whose attempt produced no response. */
    fun reenter(ticket: Ticket): CompletableDeferred<Dispatched> {
        val pending = CompletableDeferred<Dispatched>()
        pendingDispatches[ticket.waiting.id] = pending
        dispatch.reenter(ticket.waiting, ticket.need, clock.elapsed())
        pump()
        return pending
    }

    fun leave(ticket: Ticket) {
        pendingDispatches.remove(ticket.waiting.id)
        dispatch.leave(ticket.waiting)
    }

    fun ended(
        ticket: Ticket,
        target: TargetId,
        failed: Boolean,
        heldBack: Duration = Duration.ZERO,
    ) {
        dispatch.ended(ticket.waiting, target, failed, heldBack, clock.elapsed())
        pump()
    }

    fun turnedAway(
        target: TargetId,
        room: Room?,
    ) {
        routing.turnedAway(target)
        room?.let { routing.roomSeen(target, it, clock.elapsed()) }
        pump()
    }

    /** Handles the load of a target that arrived with a response. */
    fun roomSeen(
        target: TargetId,
        room: Room,
    ) = routing.roomSeen(target, room, clock.elapsed())

    fun reported(report: TargetReport) {
        routing.reported(report, clock.elapsed())
        pump()
    }

    fun unlinked(target: TargetId) {
        routing.unlinked(target)
        pump()
    }

    /** Handles a new active configuration or a change in the list of instances. */
    fun configured() {
        val entries = membership.instances().count { it.role == DaemonRole.ENTRY && it.domain == domain && !it.leaving }
        routing.configure(configuration.current.objects, entries)
        pump()
    }

    fun pump() {
        for (dispatched in dispatch.pump(clock.elapsed())) pendingDispatches.remove(dispatched.request)?.complete(dispatched)
    }

    /** Reserves the buffer of a response; returns false if the memory budget does not allow it. */
    fun open(
        request: RequestId,
        relay: ResponseRelay,
    ): Boolean {
        val opened = readers.open(request, ResponseRelay.BASE_BYTES, clock.elapsed()) is HoldDecision.Hold
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
        if (paused) configuration.suspectStale(now, limit)
        return paused
    }

    /** Handles the passage of time: refuses requests past their deadline and may park one stalled response to free its back end. */
    fun tick() {
        pump()
        val victim = readers.victim(admission.waitingLines().isNotEmpty(), clock.elapsed()) ?: return
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
