/**
 * The cost of decisions on one thread, and its slope with the size of the published set.
 */
package lagoonrudder.standins.measure

import arrow.core.getOrElse
import lagoonrudder.control.AdmissionController
import lagoonrudder.control.CheckedSet
import lagoonrudder.control.ConfigurationController
import lagoonrudder.control.DispatchController
import lagoonrudder.control.DispatchResult
import lagoonrudder.control.DisseminationController
import lagoonrudder.control.DisseminationPolicy
import lagoonrudder.control.LoadBalancingPolicy
import lagoonrudder.control.QueueBounds
import lagoonrudder.control.QueueKey
import lagoonrudder.control.QueuePolicy
import lagoonrudder.control.QueuedRequest
import lagoonrudder.control.RoutingController
import lagoonrudder.control.RoutingRequest
import lagoonrudder.control.TargetLoad
import lagoonrudder.control.TargetReport
import lagoonrudder.control.startsFrom
import lagoonrudder.model.CustomerId
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DomainId
import lagoonrudder.model.FleetId
import lagoonrudder.model.IncarnationId
import lagoonrudder.model.Invariants
import lagoonrudder.model.ObjectChanges
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.RequestId
import lagoonrudder.model.Revision
import lagoonrudder.model.SnapshotDelta
import lagoonrudder.model.VersionId
import lagoonrudder.model.objectSet
import lagoonrudder.wire.documents.writeChanges
import lagoonrudder.wire.documents.writeSet
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.measureTime

private const val WARM_UP = 20_000
private const val REQUESTS = 100_000
private const val CHANGES = 40
private const val MOST_MICROSECONDS = 100.0
private const val REGIONS = 9
private const val DOMAINS = 34
private val sizes = listOf(1_500, 6_000, 12_000)
private val peer = Peer(PeerRole.PLATFORM, "measure")
private val invariants = Invariants { error("violated: $it") }

fun measureControl(options: MeasureOptions): Verdict {
    val seed = options.int("seed", 1)
    val perRequest = listOf(1_500, 12_000).associateWith { requestCost(setOf(it), seed) }
    for ((targets, cost) in perRequest) println("targets=$targets ${figures { add("request-decisions-microseconds", cost) }}")
    val changes = sizes.map { changeCost(it) }
    changes.forEach { println(it) }
    val worst = perRequest.values.max()
    return Verdict(figures { add("request-decisions-microseconds", worst) } + " " + changes.last(), worst < MOST_MICROSECONDS)
}

/** A set of [targets] workers in the regions and failure domains of the two-year target. */
private fun setOf(targets: Int): ObjectSet =
    objectSet {
        repeat(REGIONS) { region("r$it", origin = it == 0) }
        for (first in 0 until REGIONS) for (second in first + 1 until REGIONS) link("r$first", "r$second", 2_250_000)
        repeat(DOMAINS) { domain("d$it", region = "r${it % REGIONS}") }
        repeat(100) { customer("customer-$it") }
        model("m")
        version("m-1", "m")
        repeat(13) { engineFleet("fleet-$it", "m-1") }
        repeat(targets) { target("worker-$it", "fleet-${it % 13}", "d${it % DOMAINS}") }
        repeat(13) { route("route-$it", "/v1/route-$it", "fleet-$it") }
    }

/** Microseconds of the control thread for one request: enter, choose, send off, answer, end. */
private fun requestCost(
    objects: ObjectSet,
    seed: Int,
): Double {
    val routing = RoutingController("entry-1", DomainId("d0"), LoadBalancingPolicy.FreshRoom(), Random(seed))
    routing.configure(objects, 24)
    val admission = AdmissionController(QueuePolicy.WeightedFair, QueueBounds(), invariants)
    val dispatch = DispatchController(admission, routing)
    for (target in routing.subset()) {
        routing.onTargetReport(
            TargetReport(target.id, IncarnationId("i"), TargetLoad(64, 0, 1_000_000), VersionId("m-1"), true),
            Duration.ZERO,
        )
    }
    repeat(WARM_UP) { oneRequest(dispatch, routing, it) }
    val took = measureTime { repeat(REQUESTS) { oneRequest(dispatch, routing, it) } }
    return took.toDouble(DurationUnit.MICROSECONDS) / REQUESTS
}

private fun oneRequest(
    dispatch: DispatchController,
    routing: RoutingController,
    number: Int,
) {
    val now = 1.milliseconds * (number % 1_000)
    val fleet = FleetId("fleet-${number % 13}")
    val request = RequestId("r$number")
    val waiting = QueuedRequest(request, QueueKey(fleet, null), CustomerId("customer-${number % 100}"), 1, 1, 100, 500, now + 10.seconds)
    dispatch.enqueue(waiting, RoutingRequest(fleet, null, 100, 500, number % 50, emptySet()), now)
    for (sent in dispatch.dispatchWaiting(now)) {
        if (sent !is DispatchResult.Sent) continue
        routing.onLoadUpdate(sent.target, TargetLoad(64, 1, 1_000_000), now)
        dispatch.onRequestEnded(waiting, sent.target, failed = false, Duration.ZERO, now)
    }
}

/** What one changed target costs a daemon that has [targets] targets in force. */
private fun changeCost(targets: Int): String {
    val controller = ConfigurationController(invariants)
    val objects = setOf(targets)
    val routing = RoutingController("entry-1", DomainId("d0"), LoadBalancingPolicy.FreshRoom(), Random(1))
    val before = usedMemory()
    controller.offer(
        CheckedSet.ofFullSet(ObjectSnapshot(Revision(1), objects), controller.current, peer).getOrElse { error(it.describe()) },
    )
    var off = Duration.ZERO
    var on = Duration.ZERO
    var bytes = 0
    repeat(CHANGES) { number ->
        val changes = change(controller.current, number)
        bytes = writeChanges(changes).length
        check(startsFrom(changes, controller.current))
        var checked: CheckedSet? = null
        off = measureTime { checked = CheckedSet.ofChanges(changes, controller.current, peer).getOrElse { error(it.describe()) } }
        on =
            measureTime {
                controller.offer(checkNotNull(checked))
                routing.configure(controller.current.objects, 24)
            }
    }
    val live = (0 until targets / DOMAINS).map { DaemonId("daemon-$it") }
    val spread = DisseminationController(live.first(), DisseminationPolicy.Tree(), Random(1))
    val tree = measureTime { repeat(100) { spread.children(Revision(it.toLong()), live) } } / 100
    return figures {
        add("targets", targets)
        add("check-off-thread", off)
        add("put-in-force-on-thread", on)
        add("spread-on-thread", tree)
        add("change-bytes", bytes)
        add("whole-bytes", writeSet(controller.current).length)
        add("state-megabytes", (usedMemory() - before) / 1e6)
    }
}

private fun change(
    set: ObjectSnapshot,
    number: Int,
): SnapshotDelta {
    val target =
        set.objects.targets.values
            .elementAt(number * 31 % set.objects.targets.size)
    val changed: OperatorObject = target.copy(requests = target.requests + 1)
    val changes = ObjectChanges(listOf(changed), emptyList())
    val next = set.objects.plus(changes)
    return SnapshotDelta(set.revision, set.digest, Revision(set.revision.number + 1), next.digest, changes)
}

private fun usedMemory(): Long {
    repeat(3) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}
