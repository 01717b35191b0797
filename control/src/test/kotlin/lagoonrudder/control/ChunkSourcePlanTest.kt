package lagoonrudder.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import lagoonrudder.model.ChunkIndex
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DomainId
import lagoonrudder.model.RegionId
import lagoonrudder.model.VersionId

private const val CHUNKS = 120
private val version = VersionId("v")
private val home = RegionId("r0")

/** Three regions of two failure domains with four holders each. */
private val holders =
    (0 until 24).map { WeightHolder(DaemonId("d$it"), DomainId("domain-${it / 4}"), RegionId("r${it / 8}")) }

private fun firstSource(
    holder: WeightHolder,
    chunk: Int,
) = ChunkSourcePlan(SourcePolicy.Striped, version, holder, holders, home, CHUNKS).sources(ChunkIndex(chunk)).first()

class ChunkSourcePlanTest :
    FunSpec({
        test("exactly one holder draws each chunk from the origin, in the origin's region") {
            for (chunk in 0 until CHUNKS) {
                val drawers = holders.filter { firstSource(it, chunk) == ChunkSource.Origin }
                drawers shouldHaveSize 1
                drawers.single().region shouldBe home
            }
        }

        test("each other region draws each chunk over one link only, half of them from the origin's region") {
            for (region in listOf(RegionId("r1"), RegionId("r2"))) {
                var fromHome = 0
                for (chunk in 0 until CHUNKS) {
                    val sources = holders.filter { it.region == region }.map { firstSource(it, chunk) as ChunkSource.Peer }
                    val across = sources.filter { it.holder.region != region }
                    across shouldHaveSize 1
                    if (across.single().holder.region == home) fromHome++
                }
                fromHome shouldBeInRange 45..75
            }
        }

        test("following first sources always ends at the origin") {
            for (chunk in 0 until CHUNKS) {
                for (holder in holders) {
                    var current = holder
                    var steps = 0
                    while (true) {
                        val source = firstSource(current, chunk)
                        if (source !is ChunkSource.Peer) break
                        current = source.holder
                        steps++
                        steps shouldBeLessThan 6
                    }
                }
            }
        }

        test("the origin is the last resort of every chunk for every holder") {
            for (holder in holders) {
                val plan = ChunkSourcePlan(SourcePolicy.Striped, version, holder, holders, home, CHUNKS)
                (0 until CHUNKS).forEach { plan.sources(ChunkIndex(it)).last() shouldBe ChunkSource.Origin }
            }
        }

        test("passing chunks on is spread over all holders") {
            val uploads =
                holders
                    .flatMap { holder ->
                        (0 until CHUNKS).map { firstSource(holder, it) }
                    }.filterIsInstance<ChunkSource.Peer>()
            val counts = uploads.groupingBy { it.holder.daemon }.eachCount()
            counts.keys shouldHaveSize holders.size
            counts.values.max() shouldBeLessThan CHUNKS * 3 / 2
        }
    })
