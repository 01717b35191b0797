package lagoonrudder.control.direct.weights

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import lagoonrudder.control.direct.FAR
import lagoonrudder.control.direct.LoadReport
import lagoonrudder.control.direct.MODEL
import lagoonrudder.control.direct.NEAR
import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.direct.PeerDaemon
import lagoonrudder.control.direct.StagingController
import lagoonrudder.control.direct.StoreViewController
import lagoonrudder.control.direct.SwitchSchedule
import lagoonrudder.control.direct.WeightSource
import lagoonrudder.control.direct.applyChanges
import lagoonrudder.control.direct.item
import lagoonrudder.control.direct.servingSet
import lagoonrudder.control.strictInvariants
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.RegionId
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.WeightNumber
import java.util.BitSet
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val DOMAINS = listOf(NEAR, FAR, DomainId("third"))
private val REGION_OF = DOMAINS.associateWith { RegionId("region-${it.text}") }
private val THREE = WeightNumber(3)
private const val CHUNKS = 64

/** Chunks from this one on are staged nowhere. */
private const val FIRST_LOST = 61

/** 32,768 bytes over 5.94 and 5.32 Mbit/s. */
private val ORIGIN_TIME = 44.milliseconds
private val TARGET_TIME = 49.milliseconds

private class Daemon(
    val self: PeerDaemon,
    val address: Address,
    val held: BitSet,
    val startedAt: Duration,
) {
    val storeView =
        StoreViewController(strictInvariants()).apply {
            val set = servingSet(1)
            val services = set.services.map { service -> service.copy(weights = service.weights?.copy(chunkCount = CHUNKS)) }
            applyChanges(listOf(item("op/config", 1, StoreRecord.Configuration(set.copy(services = services)))), 1, startedAt)
            applyChanges(listOf(item("op/version/model", 2, StoreRecord.VersionDeclaration(MODEL, THREE))), 2, startedAt)
        }
    val peers = PeerController(self, listOf(Address("10.3.0.0", 70)))
    val holdings = ChunkHoldings(peers, storeView, address).apply { toTell(null, startedAt) }
    val staging = StagingController(peers, storeView, SwitchSchedule(storeView), REGION_OF, holdings)
    val fetching = mutableSetOf<Int>()
    var sending = 0
}

/** Thirty entry daemons that start with empty caches within 300 ms, and forty target daemons that have kept running. */
private class RestartedFleet(
    seed: Int,
) {
    private val random = Random(seed)
    private val events = PriorityQueue<Triple<Duration, Int, (Duration) -> Unit>>(compareBy({ it.first }, { it.second }))
    private var sequence = 0
    private var originFreeAt = Duration.ZERO
    val fromOrigin = IntArray(CHUNKS)
    private val entries = (0 until 30).map { daemon(DaemonRole.ENTRY, it, BitSet()) }
    val targets = (0 until 40).map { index -> daemon(DaemonRole.TARGET, index, stagedChunks()) }
    private val byId = (entries + targets).associateBy { it.self.daemon }
    private val byAddress = (entries + targets).associateBy { it.address }

    private fun stagedChunks() = BitSet().apply { (0 until FIRST_LOST).filter { random.nextInt(100) < 95 }.forEach { set(it) } }

    private fun daemon(
        role: DaemonRole,
        index: Int,
        held: BitSet,
    ): Daemon {
        val address = Address("10.3.${role.ordinal}.$index", 70)
        val domain = DOMAINS[index % DOMAINS.size]
        val id = DaemonId("${role.name.lowercase()}-$index")
        val self = PeerDaemon(id, role, domain, REGION_OF.getValue(domain), address.takeIf { role == DaemonRole.ENTRY })
        val startedAt = if (role == DaemonRole.ENTRY) 28.seconds + random.nextInt(300).milliseconds else 1.seconds
        return Daemon(self, address, held, startedAt).also { daemon ->
            if (role == DaemonRole.TARGET) daemon.holdings.onOwnChunks(MODEL, THREE, held.stream().toArray().toSet())
        }
    }

    private fun at(
        time: Duration,
        action: (Duration) -> Unit,
    ) {
        events += Triple(time, sequence++, action)
    }

    private fun every(
        first: Duration,
        interval: Duration,
        action: (Duration) -> Unit,
    ): Unit =
        at(first) { now ->
            action(now)
            every(now + interval, interval, action)
        }

    /** Both sides tell each other, and each learns of the peers of the other. */
    private fun exchange(
        first: Daemon,
        second: Daemon,
        now: Duration,
    ) {
        if (now < first.startedAt || now < second.startedAt) return
        for ((from, to) in listOf(first to second, second to first)) {
            to.peers.onGossipReceived(from.self, LoadReport(emptyMap(), 1), null, now)
            to.peers.mergeLivePeers(from.peers.livePeers(now), now)
            to.holdings.onHeard(from.self, from.holdings.toTell(to.self, now), now)
        }
    }

    /** Runs until all target daemons have all chunks; returns how long that took. */
    fun run(): Duration {
        val start = 28.seconds
        for ((index, entry) in entries.withIndex()) {
            val near = entries.drop(index + 1).filter { it.self.domain == entry.self.domain }
            for (peer in near) every(start + random.nextInt(100).milliseconds, 100.milliseconds) { exchange(entry, peer, it) }
            every(start + random.nextInt(450).milliseconds, 450.milliseconds) { now ->
                for (domain in DOMAINS - entry.self.domain) exchange(entry, entries.filter { it.self.domain == domain }.random(random), now)
            }
            at(entry.startedAt + 1.seconds) { prefetch(entry, it) }
        }
        for (target in targets) {
            val entry = entries.filter { it.self.domain == target.self.domain }.random(random)
            every(start + random.nextInt(400).milliseconds, 400.milliseconds) { exchange(target, entry, it) }
            every(start + 400.milliseconds + random.nextInt(100).milliseconds, TARGET_TIME * 2) { stageNext(target, it) }
        }
        while (targets.any { it.held.cardinality() < CHUNKS }) {
            val (now, _, action) = events.remove()
            if (now > start + 20.seconds) break
            action(now)
        }
        return events.peek().first - start
    }

    private fun prefetch(
        entry: Daemon,
        now: Duration,
    ) = (0 until CHUNKS).filter { entry.staging.isPrimarySource(MODEL, THREE, it, now) }.forEach { fetch(entry, it, now) }

    private fun stageNext(
        target: Daemon,
        now: Duration,
    ) {
        val index = target.held.nextClearBit(0).takeIf { it < CHUNKS } ?: return
        val source = target.staging.sources(MODEL, THREE, index, now).firstOrNull() ?: return
        val entry =
            when (source) {
                is WeightSource.Holder -> byId.getValue(source.daemon)
                is WeightSource.Entry -> byAddress.getValue(source.address)
                is WeightSource.Origin -> error("a target daemon asks the origin")
            }
        if (entry.held.get(index)) target.held.set(index) else fetch(entry, index, now)
    }

    private fun fetch(
        entry: Daemon,
        index: Int,
        now: Duration,
    ) {
        if (!entry.held.get(index) && entry.fetching.add(index)) attempt(entry, index, now, now)
    }

    private fun attempt(
        entry: Daemon,
        index: Int,
        now: Duration,
        began: Duration,
    ) {
        val source = entry.staging.upstreamSources(MODEL, THREE, index, now, now - began).firstOrNull()
        when (source) {
            null -> at(now + 60.milliseconds) { attempt(entry, index, it, began) }
            is WeightSource.Origin -> {
                fromOrigin[index]++
                originFreeAt = maxOf(originFreeAt, now) + ORIGIN_TIME
                at(originFreeAt) { arrive(entry, index) }
            }
            is WeightSource.Holder -> take(entry, byId.getValue(source.daemon), index, now, began)
            is WeightSource.Entry -> {
                val primary = byAddress.getValue(source.address)
                fetch(primary, index, now)
                if (primary.held.get(index)) arrive(entry, index) else at(now + 100.milliseconds) { attempt(entry, index, it, began) }
            }
        }
    }

    private fun take(
        entry: Daemon,
        holder: Daemon,
        index: Int,
        now: Duration,
        began: Duration,
    ) {
        if (!holder.held.get(index)) {
            entry.holdings.onRefuted(holder.self.daemon, MODEL, THREE, index)
            attempt(entry, index, now, began)
        } else if (holder.self.role == DaemonRole.TARGET && holder.sending >= 2) {
            at(now + 60.milliseconds) { attempt(entry, index, it, began) }
        } else {
            holder.sending++
            at(now + TARGET_TIME * holder.sending) {
                holder.sending--
                arrive(entry, index)
            }
        }
    }

    private fun arrive(
        entry: Daemon,
        index: Int,
    ) {
        entry.held.set(index)
        entry.holdings.onOwnChunk(MODEL, THREE, index)
    }
}

class RestartedEntryDaemonsTest :
    FunSpec({
        // Guards against restarted entry daemons that fetch from the origin what target daemons have staged.
        test("when all entry daemons lose their caches, chunks that a target daemon has staged stay away from the origin") {
            for (seed in 1..5) {
                val fleet = RestartedFleet(seed)
                val took = fleet.run()
                fleet.targets.all { it.held.cardinality() == CHUNKS } shouldBe true
                fleet.fromOrigin.take(FIRST_LOST).sum() shouldBe 0
                fleet.fromOrigin.drop(FIRST_LOST) shouldBe List(CHUNKS - FIRST_LOST) { 1 }
                // The first back ends are to hold the version five seconds after the restart.
                took shouldBeLessThan 5.seconds
            }
        }
    })
