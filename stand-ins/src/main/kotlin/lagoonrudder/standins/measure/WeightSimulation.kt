/**
 * Simulates the distribution of one version's weights to many replicas: the production weight controllers run over modelled links.
 */
package lagoonrudder.standins.measure

import lagoonrudder.control.ChunkDecision
import lagoonrudder.control.ChunkSource
import lagoonrudder.control.FetchDecision
import lagoonrudder.control.FetchResult
import lagoonrudder.control.SourcePolicy
import lagoonrudder.control.WeightFetchController
import lagoonrudder.control.WeightFetchLimits
import lagoonrudder.control.WeightHolder
import lagoonrudder.model.ChunkIndex
import lagoonrudder.model.DaemonId
import lagoonrudder.model.Digest
import lagoonrudder.model.DomainId
import lagoonrudder.model.Invariants
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.RegionId
import lagoonrudder.model.VersionId
import lagoonrudder.model.digestOf
import lagoonrudder.model.objectSet
import java.util.PriorityQueue
import kotlin.math.max
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The faults injected into a simulated distribution.
 *
 * [crashRate] is the probability that a replica crashes in the first half of the allowed time, [corruptionRate] the probability that a
 * transferred chunk arrives damaged, and [isolateRegion] cuts off one region from the others from second 30 to second 90.
 */
data class DistributionFaults(
    val crashRate: Double = 0.0,
    val corruptionRate: Double = 0.0,
    val isolateRegion: Boolean = false,
)

/** What a simulated distribution achieved; figures in copies are multiples of the size of the weights. */
data class DistributionResult(
    val readySeconds: Double,
    val ready: Int,
    val alive: Int,
    val originCopies: Double,
    val maxRegionLinkCopies: Double,
    val maxInstanceLinkCopies: Double,
    val corruptChunksKept: Int,
)

private const val CHUNK_COUNT = 200
private val chunkData = (0 until CHUNK_COUNT).map { byteArrayOf(it.toByte(), (it / 256).toByte()) }
private val digests = chunkData.map(::digestOf)
private val corruptDigest = Digest("0".repeat(64))

/**
 * A discrete-event simulation of one distribution of weights; times in seconds since its start.
 *
 * The same [seed] gives the same run. An instance supports one call of [run].
 */
class WeightSimulation(
    private val policy: SourcePolicy,
    private val rates: LinkRates,
    private val faults: DistributionFaults,
    regions: Int,
    domains: Int,
    replicas: Int,
    seed: Int,
) {
    private inner class Node(
        val holder: WeightHolder,
        val controller: WeightFetchController,
    ) {
        val uplink = Link(rates.instance)
        val downlink = Link(rates.instance)
        var alive = true
        var readyAt = Double.NaN
        var pollAt = Double.POSITIVE_INFINITY
        val held = BooleanArray(CHUNK_COUNT)
        val waiters = mutableMapOf<Int, MutableList<Waiter>>()
    }

    private class Waiter(
        val fetch: () -> Unit,
        var open: Boolean = true,
    )

    private class Event(
        val dueAt: Double,
        val sequence: Long,
        val run: () -> Unit,
    )

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.dueAt }.thenBy { it.sequence })
    private var sequence = 0L
    private var now = 0.0
    private val chunkBytes = rates.copyBytes / CHUNK_COUNT
    private val originLink = Link(rates.origin)
    private val regionLinks = mutableMapOf<Pair<RegionId, RegionId>, Link>()
    private val originRegion = RegionId("r0")
    private val isolated = RegionId("r1")
    private val objects = objectsOf(regions, domains)
    private val nodes = nodesOf(domains, replicas).associateBy { it.holder.daemon }
    private var corruptChunksKept = 0

    fun run(): DistributionResult {
        nodes.values.forEach { node -> schedule(random.nextDouble()) { poll(node) } }
        nodes.values.filter { random.nextDouble() < faults.crashRate }.forEach { node ->
            schedule(random.nextDouble(rates.allowedSeconds / 2)) {
                node.alive =
                    false
            }
        }
        while (events.isNotEmpty() && now < MAX_SECONDS) {
            val event = events.remove()
            now = event.dueAt
            event.run()
        }
        val alive = nodes.values.filter { it.alive }
        val ready = alive.filter { !it.readyAt.isNaN() }
        return DistributionResult(
            readySeconds = if (ready.size < alive.size) Double.POSITIVE_INFINITY else ready.maxOf { it.readyAt },
            ready = ready.size,
            alive = alive.size,
            originCopies = originLink.bytes / rates.copyBytes,
            maxRegionLinkCopies = (regionLinks.values.maxOfOrNull { it.bytes } ?: 0.0) / rates.copyBytes,
            maxInstanceLinkCopies = nodes.values.maxOf { max(it.uplink.bytes, it.downlink.bytes) } / rates.copyBytes,
            corruptChunksKept = corruptChunksKept,
        )
    }

    private fun schedule(
        time: Double,
        run: () -> Unit,
    ) {
        events += Event(time, sequence++, run)
    }

    private fun time(): Duration = now.seconds

    private fun poll(node: Node) {
        if (!node.alive) return
        while (true) {
            when (val decision = node.controller.next(time())) {
                is FetchDecision.Fetch -> fetch(node, decision)
                is FetchDecision.Wait -> return pollLater(node, decision.until.toDouble(DurationUnit.SECONDS))
                FetchDecision.Busy -> return
                FetchDecision.Complete -> {
                    if (node.readyAt.isNaN()) node.readyAt = now
                    return
                }
            }
        }
    }

    private fun pollLater(
        node: Node,
        until: Double,
    ) {
        val pollTime = max(until, now + MIN_POLL_DELAY_SECONDS)
        if (node.pollAt in now..pollTime && node.pollAt > now) return
        node.pollAt = pollTime
        schedule(pollTime) { poll(node) }
    }

    private fun fetch(
        node: Node,
        decision: FetchDecision.Fetch,
    ) {
        when (val source = decision.source) {
            ChunkSource.Origin -> transfer(node, decision, null)
            is ChunkSource.Peer -> {
                val from = nodes.getValue(source.holder.daemon)
                if (!from.alive || isIsolated(node, from)) return completeAt(node, decision, now + FAILURE_SECONDS) { FetchResult.Failed }
                if (from.held[decision.chunk.number]) transfer(node, decision, from) else awaitChunk(node, decision, from)
            }
        }
    }

    private fun awaitChunk(
        node: Node,
        decision: FetchDecision.Fetch,
        from: Node,
    ) {
        val waiter = Waiter({ transfer(node, decision, from) })
        from.waiters.getOrPut(decision.chunk.number) { mutableListOf() } += waiter
        schedule(now + PEER_WAIT_SECONDS) {
            if (waiter.open) {
                waiter.open = false
                complete(node, decision, if (from.alive) FetchResult.NotYet else FetchResult.Failed)
            }
        }
    }

    private fun transfer(
        node: Node,
        decision: FetchDecision.Fetch,
        from: Node?,
    ) {
        val sourceLink = from?.uplink ?: originLink
        var finishedAt = max(sourceLink.send(chunkBytes, now), node.downlink.send(chunkBytes, now))
        val region = from?.holder?.region ?: originRegion
        if (region != node.holder.region) {
            val link = regionLinks.getOrPut(region to node.holder.region) { Link(rates.region) }
            finishedAt = max(finishedAt, link.send(chunkBytes, now))
        }
        completeAt(node, decision, finishedAt) {
            if (from != null &&
                (!from.alive || isIsolated(node, from))
            ) {
                FetchResult.Failed
            } else {
                receivedChunk(decision.chunk)
            }
        }
    }

    private fun receivedChunk(chunk: ChunkIndex): FetchResult {
        val isCorrupt = random.nextDouble() < faults.corruptionRate
        return FetchResult.Received(if (isCorrupt) corruptDigest else digests[chunk.number], chunkData[chunk.number])
    }

    private fun completeAt(
        node: Node,
        decision: FetchDecision.Fetch,
        time: Double,
        result: () -> FetchResult,
    ) = schedule(time) { complete(node, decision, result()) }

    private fun complete(
        node: Node,
        decision: FetchDecision.Fetch,
        result: FetchResult,
    ) {
        if (!node.alive) return
        val outcome = node.controller.onFetchEnded(decision.version, decision.chunk, decision.source, result, time())
        if (outcome is ChunkDecision.Keep) storeChunk(node, decision.chunk, result)
        poll(node)
    }

    private fun storeChunk(
        node: Node,
        chunk: ChunkIndex,
        result: FetchResult,
    ) {
        if (result is FetchResult.Received && result.digest == corruptDigest) corruptChunksKept++
        node.held[chunk.number] = true
        node.waiters.remove(chunk.number)?.filter { it.open }?.forEach {
            it.open = false
            it.fetch()
        }
    }

    private fun isIsolated(
        one: Node,
        other: Node,
    ): Boolean {
        val crosses = one.holder.region != other.holder.region && (one.holder.region == isolated || other.holder.region == isolated)
        return faults.isolateRegion && crosses && now in ISOLATION_START_SECONDS..ISOLATION_END_SECONDS
    }

    private fun objectsOf(
        regions: Int,
        domains: Int,
    ): ObjectSet =
        objectSet {
            repeat(regions) { region("r$it", origin = it == 0) }
            for (first in 0 until regions) {
                for (second in first + 1 until regions) link("r$first", "r$second", rates.regionBytesPerSecond.toLong())
            }
            repeat(domains) { domain("d$it", region = "r${it % regions}") }
            model("m")
            version("m-1", "m", bytes = rates.copyBytes.toLong(), chunkBytes = chunkBytes.toInt())
        }

    private fun nodesOf(
        domains: Int,
        replicas: Int,
    ): List<Node> {
        val invariants = Invariants { error("violated: $it") }
        val holders =
            (0 until replicas).map {
                val domain = DomainId("d${it % domains}")
                WeightHolder(DaemonId("replica-$it"), domain, checkNotNull(objects.regionOf(domain)))
            }
        return holders.map { holder ->
            val controller = WeightFetchController(holder, policy, WeightFetchLimits(), invariants)
            controller.configure(objects)
            controller.startFetch(objects.versions.getValue(VersionId("m-1")), digests, holders)
            Node(holder, controller)
        }
    }

    private companion object {
        const val MAX_SECONDS = 100_000.0
        const val MIN_POLL_DELAY_SECONDS = 0.005
        const val FAILURE_SECONDS = 1.0
        const val PEER_WAIT_SECONDS = 2.0
        const val ISOLATION_START_SECONDS = 30.0
        const val ISOLATION_END_SECONDS = 90.0
    }
}
