/**
 * Measures the cost of decisions on the control thread and how it grows with the size of the configuration.
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
private const val CHANGE_COUNT = 40
private const val MAX_MICROSECONDS = 100.0
private const val REGIONS = 9
private const val DOMAINS = 34
private val sizes = listOf(1_500, 6_000, 12_000)
private val peer = Peer(PeerRole.PLATFORM, "measure")
private val invariants = Invariants { error("violated: $it") }

fun measureControl(options: MeasureOptions): Verdict {
    val seed = options.int("seed", 1)
    val requestCosts = listOf(1_500, 12_000).associateWith { requestCost(configurationOf(it), seed) }
    for ((targets, cost) in requestCosts) println("targets=$targets ${figures { add("request-decisions-microseconds", cost) }}")
    val changes = sizes.map { changeCost(it) }
    changes.forEach { println(it) }
    val maxCost = requestCosts.values.max()
    return Verdict(figures { add("request-decisions-microseconds", maxCost) } + " " + changes.last(), maxCost < MAX_MICROSECONDS)
}

/** A configuration of [targets] workers in the [REGIONS] regions and [DOMAINS] failure domains of the site planned for two years ahead. */
private fun configurationOf(targets: Int): ObjectSet =
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

/** Microseconds that the control thread spends on one request: queueing, routing, dispatch, the load update and completion. */
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
    repeat(WARM_UP) { processRequest(dispatch, routing, it) }
    val elapsed = measureTime { repeat(REQUESTS) { processRequest(dispatch, routing, it) } }
    return elapsed.toDouble(DurationUnit.MICROSECONDS) / REQUESTS
}

private fun processRequest(
    dispatch: DispatchController,
    routing: RoutingController,
    number: Int,
) {
    val now = 1.milliseconds * (number % 1_000)
    val fleet = FleetId("fleet-${number % 13}")
    val request = RequestId("r$number")
    val queued = QueuedRequest(request, QueueKey(fleet, null), CustomerId("customer-${number % 100}"), 1, 1, 100, 500, now + 10.seconds)
    dispatch.enqueue(queued, RoutingRequest(fleet, null, 100, 500, number % 50, emptySet()), now)
    for (result in dispatch.dispatchWaiting(now)) {
        if (result !is DispatchResult.Sent) continue
        routing.onLoadUpdate(result.target, TargetLoad(64, 1, 1_000_000), now)
        dispatch.onRequestEnded(queued, result.target, failed = false, Duration.ZERO, now)
    }
}

/** Measures what a change of one target costs a daemon whose configuration has [targets] targets. */
private fun changeCost(targets: Int): String {
    val controller = ConfigurationController(invariants)
    val objects = configurationOf(targets)
    val routing = RoutingController("entry-1", DomainId("d0"), LoadBalancingPolicy.FreshRoom(), Random(1))
    val memoryBefore = usedMemory()
    controller.offer(
        CheckedSet.ofFullSet(ObjectSnapshot(Revision(1), objects), controller.current, peer).getOrElse { error(it.describe()) },
    )
    var checkTime = Duration.ZERO
    var applyTime = Duration.ZERO
    var bytes = 0
    repeat(CHANGE_COUNT) { number ->
        val changes = changeTarget(controller.current, number)
        bytes = writeChanges(changes).length
        check(startsFrom(changes, controller.current))
        var checked: CheckedSet? = null
        checkTime = measureTime { checked = CheckedSet.ofChanges(changes, controller.current, peer).getOrElse { error(it.describe()) } }
        applyTime =
            measureTime {
                controller.offer(checkNotNull(checked))
                routing.configure(controller.current.objects, 24)
            }
    }
    val peers = (0 until targets / DOMAINS).map { DaemonId("daemon-$it") }
    val dissemination = DisseminationController(peers.first(), DisseminationPolicy.Tree(), Random(1))
    val treeTime = measureTime { repeat(100) { dissemination.children(Revision(it.toLong()), peers) } } / 100
    return figures {
        add("targets", targets)
        add("check-off-thread", checkTime)
        add("put-in-force-on-thread", applyTime)
        add("spread-on-thread", treeTime)
        add("change-bytes", bytes)
        add("whole-bytes", writeSet(controller.current).length)
        add("state-megabytes", (usedMemory() - memoryBefore) / 1e6)
    }
}

private fun changeTarget(
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
