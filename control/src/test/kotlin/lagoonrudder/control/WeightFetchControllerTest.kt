package lagoonrudder.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import lagoonrudder.model.ChunkIndex
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DomainId
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.RegionId
import lagoonrudder.model.VersionId
import lagoonrudder.model.digestOf
import lagoonrudder.model.objectSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val self = WeightHolder(DaemonId("self"), DomainId("ost"), RegionId("ost"))
private val peer = WeightHolder(DaemonId("peer"), DomainId("ost"), RegionId("ost"))
private val chunks = (0 until 8).map { ByteArray(10) { index -> (it * 10 + index).toByte() } }
private val digests = chunks.map(::digestOf)

private fun objects(): ObjectSet =
    objectSet {
        region("ost", origin = true)
        domain("ost")
        model("m")
        version("m-1", "m", bytes = 80, chunkBytes = 10)
        version("m-2", "m", bytes = 80, chunkBytes = 10)
    }

private fun version(name: String): OperatorObject.Version = objects().versions.getValue(VersionId(name))

private fun controller(
    memoryBytes: Long = 1_000,
    bounds: WeightFetchLimits = WeightFetchLimits(memoryBytes = memoryBytes),
) = WeightFetchController(self, SourcePolicy.Striped, bounds, strictInvariants()).apply {
    configure(objects())
    startFetch(version("m-1"), digests, listOf(peer))
}

private fun WeightFetchController.draw(now: Duration = Duration.ZERO) = next(now).shouldBeInstanceOf<FetchDecision.Fetch>()

private fun WeightFetchController.answer(
    draw: FetchDecision.Fetch,
    bytes: ByteArray = chunks[draw.chunk.number],
    now: Duration = Duration.ZERO,
) = onFetchEnded(draw.version, draw.chunk, draw.source, FetchResult.Received(digestOf(bytes), bytes), now)

/** Draws everything that can be drawn. */
private fun WeightFetchController.drawAll(now: Duration = 100.seconds) {
    while (true) answer(next(now) as? FetchDecision.Fetch ?: return, now = now)
}

class WeightFetchControllerTest :
    FunSpec({
        test("a version is complete when every chunk was verified") {
            val weights = controller()
            weights.progress()?.complete shouldBe false
            weights.drawAll()
            weights.progress()?.complete shouldBe true
            weights.next(Duration.ZERO) shouldBe FetchDecision.Complete
        }

        test("draws at once are bounded") {
            val weights = controller(bounds = WeightFetchLimits(maxPrimaryFetches = 2, maxSecondaryFetches = 1))
            val draws = List(3) { weights.draw() }
            draws.count { it.source == ChunkSource.Origin } shouldBe 2
            weights.next(Duration.ZERO) shouldBe FetchDecision.Busy
        }

        test("a damaged chunk is drawn again from another source and never kept") {
            val weights = controller()
            val draw = weights.draw()
            weights.answer(draw, ByteArray(10)) shouldBe ChunkDecision.Damaged
            weights.heldChunk(draw.version, draw.chunk) shouldBe null
            val again = generateSequence { weights.next(2.seconds) as? FetchDecision.Fetch }.first { it.chunk == draw.chunk }
            if (draw.source is ChunkSource.Peer) again.source shouldNotBe draw.source
        }

        test("a peer that fails is set aside and the origin stands in") {
            val weights = controller()
            val fromPeer = generateSequence { weights.next(Duration.ZERO) as? FetchDecision.Fetch }.first { it.source is ChunkSource.Peer }
            weights.onFetchEnded(fromPeer.version, fromPeer.chunk, fromPeer.source, FetchResult.Failed, Duration.ZERO)
            weights.draw().source shouldBe ChunkSource.Origin
        }

        test("a source that fails again and again is set aside for longer, so that every stand-in has its turn") {
            val weights = controller()

            fun failAt(now: Duration) {
                val fromPeer = generateSequence { weights.next(now) as? FetchDecision.Fetch }.first { it.source is ChunkSource.Peer }
                weights.onFetchEnded(fromPeer.version, fromPeer.chunk, fromPeer.source, FetchResult.Failed, now)
            }
            failAt(Duration.ZERO)
            failAt(6.seconds)
            val between = generateSequence { weights.next(14.seconds) as? FetchDecision.Fetch }.map { it.source }.toList()
            between.distinct() shouldBe listOf(ChunkSource.Origin)
        }

        test("a version that is replaced in mid-flight is dropped and its late chunks are discarded") {
            val weights = controller()
            val draw = weights.draw()
            weights.startFetch(version("m-2"), digests, listOf(peer))
            weights.answer(draw) shouldBe ChunkDecision.Discard
            weights.progress() shouldBe WeightProgress(VersionId("m-2"), 0, 8)
        }

        test("memory for chunks is bounded and what others wait for stays longest") {
            val weights = controller(memoryBytes = 40)
            weights.drawAll()
            weights.progress()?.complete shouldBe true
            weights.heldChunks().size shouldBe 4
        }

        test("what the engine lost and nobody holds is drawn again") {
            val weights = controller(memoryBytes = 40)
            weights.drawAll()
            weights.onEngineReset()
            weights.progress()?.verified shouldBe 4
            weights.drawAll(200.seconds)
            weights.progress()?.complete shouldBe true
        }

        test("after the switch only the chunks that this holder leads stay") {
            val weights = controller()
            weights.drawAll()
            weights.onVersionLoaded()
            val plan = ChunkSourcePlan(SourcePolicy.Striped, VersionId("m-1"), self, listOf(peer), RegionId("ost"), 8)
            weights.heldChunks().keys shouldBe (0 until 8).map { ChunkIndex(it) }.filter(plan::isPrimarySource).toSet()
        }
    })
