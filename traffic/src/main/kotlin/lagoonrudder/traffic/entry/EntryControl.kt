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
    private val sleepers = mutableMapOf<RequestId, CompletableDeferred<Dispatched>>()

    /** Lets a request wait; the result is completed when it may go or is refused. */
    fun enter(ticket: Ticket): CompletableDeferred<Dispatched> {
        val now = clock.elapsed()
        val sleeper = CompletableDeferred<Dispatched>()
        when (val decision = dispatch.enter(ticket.waiting, ticket.need, now)) {
            is QueueDecision.Refused -> sleeper.complete(Dispatched.Refused(ticket.waiting.id, decision.refusal))
            QueueDecision.Queued -> {
                sleepers[ticket.waiting.id] = sleeper
                pump()
            }
        }
        return sleeper
    }

    /** Lets a request that did not get its answer wait again. */
    fun reenter(ticket: Ticket): CompletableDeferred<Dispatched> {
        val sleeper = CompletableDeferred<Dispatched>()
        sleepers[ticket.waiting.id] = sleeper
        dispatch.reenter(ticket.waiting, ticket.need, clock.elapsed())
        pump()
        return sleeper
    }

    fun leave(ticket: Ticket) {
        sleepers.remove(ticket.waiting.id)
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

    /** An answer carried back what room its target has. */
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

    /** A new set is in force, or the list of instances changed. */
    fun configured() {
        val entries = membership.instances().count { it.role == DaemonRole.ENTRY && it.domain == domain && !it.leaving }
        routing.configure(configuration.current.objects, entries)
        pump()
    }

    fun pump() {
        for (dispatched in dispatch.pump(clock.elapsed())) sleepers.remove(dispatched.request)?.complete(dispatched)
    }

    /** Opens the memory of an answer; false when the budget has no room for it. */
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

    /** Notes the regular tick; returns whether the process was paused, in which case its configuration must be confirmed. */
    fun wasPaused(limit: Duration): Boolean {
        val now = clock.elapsed()
        val paused = service.tick(now)
        if (paused) configuration.suspectStale(now, limit)
        return paused
    }

    /** Time has passed: late requests are refused and a stalled answer may have to give up its back end. */
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
