/**
 * The spread of one version over many holders, with the real weight controllers over a model of links.
 */
package lagoonrudder.standins.measure

import lagoonrudder.control.ChunkDecision
import lagoonrudder.control.ChunkSource
import lagoonrudder.control.DrawDecision
import lagoonrudder.control.DrawResult
import lagoonrudder.control.Holder
import lagoonrudder.control.SourcePolicy
import lagoonrudder.control.WeightBounds
import lagoonrudder.control.WeightController
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

/** What goes wrong during a spread. */
data class DistributionFaults(
    val dying: Double = 0.0,
    val corrupted: Double = 0.0,
    val cutRegion: Boolean = false,
)

data class DistributionResult(
    val readySeconds: Double,
    val ready: Int,
    val alive: Int,
    val originCopies: Double,
    val maxRegionLinkCopies: Double,
    val maxInstanceLinkCopies: Double,
    val corruptChunksKept: Int,
)

private const val CHUNKS = 200
private val good = (0 until CHUNKS).map { byteArrayOf(it.toByte(), (it / 256).toByte()) }
private val digests = good.map(::digestOf)
private val wrong = Digest("0".repeat(64))

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
        val holder: Holder,
        val controller: WeightController,
    ) {
        val up = Link(rates.instance)
        val down = Link(rates.instance)
        var alive = true
        var readyAt = Double.NaN
        var pollAt = Double.POSITIVE_INFINITY
        val has = BooleanArray(CHUNKS)
        val waiters = mutableMapOf<Int, MutableList<Waiter>>()
    }

    private class Waiter(
        val draw: () -> Unit,
        var open: Boolean = true,
    )

    private class Event(
        val at: Double,
        val order: Long,
        val run: () -> Unit,
    )

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0L
    private var now = 0.0
    private val chunkBytes = rates.copyBytes / CHUNKS
    private val originLink = Link(rates.origin)
    private val regionLinks = mutableMapOf<Pair<RegionId, RegionId>, Link>()
    private val home = RegionId("r0")
    private val cut = RegionId("r1")
    private val objects = objectsOf(regions, domains)
    private val nodes = nodesOf(domains, replicas).associateBy { it.holder.daemon }
    private var corruptChunksKept = 0

    fun run(): DistributionResult {
        nodes.values.forEach { node -> at(random.nextDouble()) { poll(node) } }
        nodes.values.filter { random.nextDouble() < faults.dying }.forEach { node ->
            at(random.nextDouble(rates.allowedSeconds / 2)) {
                node.alive =
                    false
            }
        }
        while (events.isNotEmpty() && now < LONGEST_SECONDS) {
            val event = events.remove()
            now = event.at
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
            maxInstanceLinkCopies = nodes.values.maxOf { max(it.up.bytes, it.down.bytes) } / rates.copyBytes,
            corruptChunksKept = corruptChunksKept,
        )
    }

    private fun at(
        time: Double,
        run: () -> Unit,
    ) {
        events += Event(time, order++, run)
    }

    private fun time(): Duration = now.seconds

    private fun poll(node: Node) {
        if (!node.alive) return
        while (true) {
            when (val decision = node.controller.next(time())) {
                is DrawDecision.Draw -> draw(node, decision)
                is DrawDecision.Wait -> return pollLater(node, decision.until.toDouble(DurationUnit.SECONDS))
                DrawDecision.Busy -> return
                DrawDecision.Complete -> {
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
        val wanted = max(until, now + SHORTEST_PAUSE)
        if (node.pollAt in now..wanted && node.pollAt > now) return
        node.pollAt = wanted
        at(wanted) { poll(node) }
    }

    private fun draw(
        node: Node,
        decision: DrawDecision.Draw,
    ) {
        when (val source = decision.source) {
            ChunkSource.Origin -> transfer(node, decision, null)
            is ChunkSource.Peer -> {
                val from = nodes.getValue(source.holder.daemon)
                if (!from.alive || isCut(node, from)) return endLater(node, decision, now + FAILURE_SECONDS) { DrawResult.Failed }
                if (from.has[decision.chunk.number]) transfer(node, decision, from) else await(node, decision, from)
            }
        }
    }

    private fun await(
        node: Node,
        decision: DrawDecision.Draw,
        from: Node,
    ) {
        val waiter = Waiter({ transfer(node, decision, from) })
        from.waiters.getOrPut(decision.chunk.number) { mutableListOf() } += waiter
        at(now + PEER_WAIT_SECONDS) {
            if (waiter.open) {
                waiter.open = false
                end(node, decision, if (from.alive) DrawResult.NotYet else DrawResult.Failed)
            }
        }
    }

    private fun transfer(
        node: Node,
        decision: DrawDecision.Draw,
        from: Node?,
    ) {
        val sourceLink = from?.up ?: originLink
        var done = max(sourceLink.send(chunkBytes, now), node.down.send(chunkBytes, now))
        val region = from?.holder?.region ?: home
        if (region != node.holder.region) {
            val link = regionLinks.getOrPut(region to node.holder.region) { Link(rates.region) }
            done = max(done, link.send(chunkBytes, now))
        }
        endLater(node, decision, done) {
            if (from != null &&
                (!from.alive || isCut(node, from))
            ) {
                DrawResult.Failed
            } else {
                arrived(decision.chunk)
            }
        }
    }

    private fun arrived(chunk: ChunkIndex): DrawResult {
        val corrupted = random.nextDouble() < faults.corrupted
        return DrawResult.Arrived(if (corrupted) wrong else digests[chunk.number], good[chunk.number])
    }

    private fun endLater(
        node: Node,
        decision: DrawDecision.Draw,
        time: Double,
        result: () -> DrawResult,
    ) = at(time) { end(node, decision, result()) }

    private fun end(
        node: Node,
        decision: DrawDecision.Draw,
        result: DrawResult,
    ) {
        if (!node.alive) return
        val judged = node.controller.ended(decision.version, decision.chunk, decision.source, result, time())
        if (judged is ChunkDecision.Keep) keep(node, decision.chunk, result)
        poll(node)
    }

    private fun keep(
        node: Node,
        chunk: ChunkIndex,
        result: DrawResult,
    ) {
        if (result is DrawResult.Arrived && result.digest == wrong) corruptChunksKept++
        node.has[chunk.number] = true
        node.waiters.remove(chunk.number)?.filter { it.open }?.forEach {
            it.open = false
            it.draw()
        }
    }

    private fun isCut(
        one: Node,
        other: Node,
    ): Boolean {
        val crosses = one.holder.region != other.holder.region && (one.holder.region == cut || other.holder.region == cut)
        return faults.cutRegion && crosses && now in CUT_FROM_SECONDS..CUT_TO_SECONDS
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
                Holder(DaemonId("replica-$it"), domain, checkNotNull(objects.regionOf(domain)))
            }
        return holders.map { holder ->
            val controller = WeightController(holder, policy, WeightBounds(), invariants)
            controller.configure(objects)
            controller.want(objects.versions.getValue(VersionId("m-1")), digests, holders)
            Node(holder, controller)
        }
    }

    private companion object {
        const val LONGEST_SECONDS = 100_000.0
        const val SHORTEST_PAUSE = 0.005
        const val FAILURE_SECONDS = 1.0
        const val PEER_WAIT_SECONDS = 2.0
        const val CUT_FROM_SECONDS = 30.0
        const val CUT_TO_SECONDS = 90.0
    }
}
