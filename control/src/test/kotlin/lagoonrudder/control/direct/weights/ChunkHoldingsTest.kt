package lagoonrudder.control.direct.weights

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import lagoonrudder.control.direct.FAR
import lagoonrudder.control.direct.HolderKind
import lagoonrudder.control.direct.MODEL
import lagoonrudder.control.direct.NEAR
import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.direct.PeerDaemon
import lagoonrudder.control.direct.REGIONS
import lagoonrudder.control.direct.StagingController
import lagoonrudder.control.direct.StoreViewController
import lagoonrudder.control.direct.SwitchSchedule
import lagoonrudder.control.direct.WeightSource
import lagoonrudder.control.direct.applyChanges
import lagoonrudder.control.direct.item
import lagoonrudder.control.direct.onGossipReceived
import lagoonrudder.control.direct.peer
import lagoonrudder.control.direct.servingSet
import lagoonrudder.control.strictInvariants
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.WeightNumber
import java.util.BitSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val TWO = WeightNumber(2)

private const val CHUNKS = 8

private fun target(
    name: String,
    domain: DomainId = NEAR,
) = PeerDaemon(DaemonId(name), DaemonRole.TARGET, domain, REGIONS.getValue(domain), null)

private fun chunks(indices: Iterable<Int>) = BitSet().apply { indices.forEach { set(it) } }

private fun holding(
    daemon: PeerDaemon,
    indices: Iterable<Int>,
    age: Duration = Duration.ZERO,
    number: WeightNumber = TWO,
) = ChunkHolding(MODEL, number, daemon.daemon, daemon.address ?: Address("10.2.0.1", 71), chunks(indices), age)

/** The state of one daemon at 10 s, when version 2 has been declared for a second. */
private class Scene(
    val self: PeerDaemon,
    declared: Boolean = true,
    others: List<PeerDaemon> = listOf(peer("near-1"), peer("far-1", FAR)),
) {
    val storeView =
        StoreViewController(strictInvariants()).apply {
            applyChanges(listOf(item("op/config", 1, StoreRecord.Configuration(servingSet(1)))), 1, 1.seconds)
            if (declared) applyChanges(listOf(item("op/version/model", 2, StoreRecord.VersionDeclaration(MODEL, TWO))), 2, 9.seconds)
        }
    val peers = PeerController(self, emptyList()).apply { others.forEach { onGossipReceived(it, emptyMap(), 10.seconds) } }
    val holdings = ChunkHoldings(peers, storeView, self.address ?: Address("10.2.0.9", 71)).apply { toTell(null, 1.seconds) }
    val staging = StagingController(peers, storeView, SwitchSchedule(storeView), REGIONS, holdings)
}

class ChunkHoldingsTest :
    FunSpec({
        val near = peer("near-1")
        val far = peer("far-1", FAR)
        val now = 10.seconds

        test("holders of a chunk are asked in the order of their distance, entry daemons first, and no other source before them") {
            val scene = Scene(peer("self"))
            val nearTarget = target("near-target")
            scene.holdings.onHeard(far, listOf(holding(far, 0..3), holding(target("far-target", FAR), 0..3)), now)
            scene.holdings.onHeard(nearTarget, listOf(holding(nearTarget, 0..3)), now)
            scene.holdings.onHeard(near, listOf(holding(near, 0..1)), now)
            val sources = scene.staging.upstreamSources(MODEL, TWO, 0, now)
            sources.filterIsInstance<WeightSource.Holder>().map { it.kind } shouldBe HolderKind.entries
            sources.take(HolderKind.entries.size).all { it is WeightSource.Holder } shouldBe true
            scene.staging
                .upstreamSources(MODEL, TWO, 2, now)
                .filterIsInstance<WeightSource.Holder>()
                .map { it.kind } shouldBe HolderKind.entries.drop(1)
            scene.staging.upstreamSources(MODEL, TWO, 5, now) shouldBe listOf(WeightSource.Entry(far.address!!))
        }

        // Guards against entry daemons that all go to the origin while the primary source waits for it.
        test("only the primary source asks the origin, unless it has had no data for long") {
            val scene = Scene(peer("self"))
            (0 until CHUNKS).forEach { index ->
                scene.staging.upstreamSources(MODEL, TWO, index, now, waited = 9.9.seconds).none { it is WeightSource.Origin } shouldBe true
                (scene.staging.upstreamSources(MODEL, TWO, index, now, waited = 10.seconds).first() is WeightSource.Origin) shouldBe true
            }
            val primary = Scene(far, others = listOf(near))
            (primary.staging.upstreamSources(MODEL, TWO, 0, now).single() is WeightSource.Origin) shouldBe true
            scene.staging.upstreamSources(MODEL, TWO, -1, now).any { it is WeightSource.Origin } shouldBe true
        }

        test("a target daemon asks entry daemons of its region that hold the chunk before those that would fetch it") {
            val scene = Scene(target("self"), others = (1..6).map { peer("near-$it") })
            val before = scene.staging.sources(MODEL, TWO, 0, now)
            val holder = (1..6).map { peer("near-$it") }.first { WeightSource.Entry(it.address!!) !in before }
            scene.holdings.onHeard(near, listOf(holding(holder, listOf(0)), holding(target("other"), listOf(0))), now)
            val sources = scene.staging.sources(MODEL, TWO, 0, now)
            sources.first() shouldBe WeightSource.Holder(holder.daemon, holder.address!!, HolderKind.ENTRY_OF_DOMAIN)
            sources.drop(1) shouldBe before
        }

        test("a holder that does not deliver a chunk is forgotten for it until it reports to lack it") {
            val scene = Scene(peer("self"))

            fun holders(index: Int) = scene.holdings.holders(MODEL, TWO, index, now).map { it.daemon }
            scene.holdings.onHeard(near, listOf(holding(near, 0..3)), now)
            scene.holdings.onRefuted(near.daemon, MODEL, TWO, 0)
            scene.holdings.onHeard(near, listOf(holding(near, 0..3)), now)
            holders(0).shouldBeEmpty()
            holders(1) shouldBe listOf(near.daemon)
            scene.holdings.onHeard(near, listOf(holding(near, 1..3)), now)
            scene.holdings.onHeard(near, listOf(holding(near, 0..3)), now)
            holders(0) shouldBe listOf(near.daemon)
        }

        // Guards against daemons that are asked after they died, also when others go on passing their holdings around.
        test("a holding expires three seconds after its holder reported it, whoever repeats it") {
            val scene = Scene(peer("self"))
            scene.holdings.onHeard(near, listOf(holding(near, 0..3)), now)
            scene.holdings.onHeard(far, listOf(holding(near, 0..3, age = 2.5.seconds)), now + 2.5.seconds)
            scene.holdings.size(now + 2.9.seconds) shouldBe 1
            scene.holdings.size(now + 3.seconds) shouldBe 0
            scene.holdings.onHeard(far, listOf(holding(near, 0..3, age = 3.seconds)), now + 3.seconds)
            scene.holdings.size(now + 3.seconds) shouldBe 0
        }

        test("a peer is told what changed at once, and all of it every second or when it has lost what it was told") {
            val holdings = Scene(peer("self")).holdings

            fun told(at: Duration) = holdings.toTell(near, at).map { it.chunks.cardinality() }
            told(now).shouldBeEmpty()
            holdings.onOwnChunk(MODEL, TWO, 0)
            told(now) shouldBe listOf(1)
            told(now + 0.9.seconds).shouldBeEmpty()
            told(now + 1.seconds) shouldBe listOf(1)
            holdings.onOwnChunk(MODEL, TWO, 1)
            told(now + 1.1.seconds) shouldBe listOf(2)
            told(now + 1.2.seconds).shouldBeEmpty()
            holdings.onForgotten(near.daemon)
            told(now + 1.2.seconds) shouldBe listOf(2)
        }

        test("the own domain is told of target daemons that report here, another one of the domain, and a target daemon of entry daemons") {
            val scene = Scene(peer("self"))
            val reporting = target("reporting")
            scene.holdings.onOwnChunk(MODEL, TWO, 0)
            scene.holdings.onHeard(reporting, listOf(holding(reporting, 1..2)), now)
            scene.holdings.onHeard(near, listOf(holding(near, 3..4), holding(target("elsewhere"), 5..6)), now)
            scene.holdings.onHeard(far, listOf(holding(far, 7..7)), now)

            fun told(peer: PeerDaemon) =
                scene.holdings
                    .toTell(peer, now)
                    .map { it.daemon.text }
                    .toSet()
            told(peer("near-2")) shouldBe setOf("self", "reporting")
            told(peer("far-2", FAR)) shouldBe setOf("self", "reporting", "near-1", "elsewhere")
            told(reporting) shouldBe setOf("self", "near-1")
        }

        test("a message has few holdings, and another domain gets those that cover most chunks") {
            val scene = Scene(peer("self"))
            val reporters = (0 until CHUNKS).map { target("all-$it") } + (1..70).map { target("some-$it") }
            reporters.forEachIndexed { index, it ->
                val held = if (index < CHUNKS) listOf(index, (index + 1) % CHUNKS) else listOf(0)
                scene.holdings.onHeard(it, listOf(holding(it, held)), now + index.milliseconds)
            }
            scene.holdings.size(now + 100.milliseconds) shouldBeLessThanOrEqualTo 64
            scene.holdings.toTell(near, now + 100.milliseconds).size shouldBe 8
            val fresh = Scene(peer("self"))
            reporters.take(30).forEach { daemon ->
                val index = reporters.indexOf(daemon)
                val held = if (index < CHUNKS) listOf(index, (index + 1) % CHUNKS) else listOf(0)
                fresh.holdings.onHeard(daemon, listOf(holding(daemon, held)), now)
            }
            val told = fresh.holdings.toTell(far, now)
            told.size shouldBe 4
            told
                .flatMap {
                    it.chunks
                        .stream()
                        .toArray()
                        .toList()
                }.toSet() shouldBe (0 until CHUNKS).toSet()
        }

        test("only the two newest versions are kept") {
            val scene = Scene(peer("self"))
            for (number in 1L..3L) {
                scene.holdings.onOwnChunk(MODEL, WeightNumber(number), 0)
                scene.holdings.onHeard(near, listOf(holding(near, 0..1, number = WeightNumber(number))), now)
            }
            (1L..3L).map { scene.holdings.holders(MODEL, WeightNumber(it), 0, now).size } shouldBe listOf(0, 1, 1)
            scene.holdings
                .toTell(near, now)
                .map { it.number }
                .toSet() shouldBe setOf(TWO)
        }

        // Guards against gossip that carries holdings for ever.
        test("holdings are told while a version is new or a target daemon lacks chunks") {
            val scene = Scene(peer("self"))
            scene.holdings.onOwnChunk(MODEL, TWO, 0)
            val later = 9.seconds + 60.seconds
            scene.holdings.toTell(near, later - 1.milliseconds).size shouldBe 1
            scene.holdings.toTell(near, later + 1.seconds).shouldBeEmpty()
            val reporting = target("reporting")
            scene.holdings.onHeard(reporting, listOf(holding(reporting, 0..0)), later + 1.seconds)
            scene.holdings.toTell(near, later + 1.seconds).map { it.daemon.text } shouldBe listOf("self", "reporting")
            scene.holdings.onHeard(reporting, listOf(holding(reporting, 0 until CHUNKS)), later + 1.seconds)
            scene.holdings.toTell(near, later + 2.5.seconds).shouldBeEmpty()
        }

        test("a daemon that has just started uses the origin for a declared version only after it has collected holdings") {
            fun sources(
                declared: Boolean,
                at: Duration,
            ): List<WeightSource> {
                val scene = Scene(far, declared, others = listOf(near))
                val started = ChunkHoldings(scene.peers, scene.storeView).apply { toTell(null, now) }
                if (declared) started.onHeard(near, listOf(holding(near, listOf(1))), at)
                return StagingController(scene.peers, scene.storeView, SwitchSchedule(scene.storeView), REGIONS, started)
                    .upstreamSources(MODEL, TWO, 0, at)
            }
            sources(declared = true, now + 0.9.seconds).shouldBeEmpty()
            (sources(declared = true, now + 1.seconds).single() is WeightSource.Origin) shouldBe true
            // Nobody has chunks of a version from before that was never declared.
            sources(declared = false, now) shouldContain WeightSource.Origin(Address("10.9.9.9", 80))
        }

        test("what is told can be sent on: the age grows by the time that it was kept") {
            val scene = Scene(peer("self"))
            val reporting = target("reporting")
            scene.holdings.onHeard(reporting, listOf(holding(reporting, 0..1, age = 100.milliseconds)), now)
            scene.holdings
                .toTell(near, now + 500.milliseconds)
                .single()
                .age shouldBe 600.milliseconds
        }
    })
