package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import lagoonrudder.model.Digest
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber

private fun manifest(number: Int) =
    WeightManifest(ModelId("model"), WeightNumber(number.toLong()), (0 until 4).map { Digest("$number-$it") })

private val HELD = manifest(1)
private val OLDER = manifest(2)
private val WANTED = manifest(3)

/** Guards against replacing chunks that an order of an earlier process may still load. */
class EarlierOrderTest :
    FunSpec({
        fun earlierOrder(
            staged: List<Digest?>,
            known: List<WeightManifest> = listOf(WANTED, OLDER, HELD),
        ) = EarlierOrder.of(staged, known, HELD.number)

        test("all chunks of a version that the back end does not hold may have been ordered") {
            earlierOrder(OLDER.digests) shouldBe EarlierOrder.Possible(OLDER)
            earlierOrder(WANTED.digests) shouldBe EarlierOrder.Possible(WANTED)
        }

        test("a chunk that has turned bad since does not hide the order") {
            earlierOrder(OLDER.digests.dropLast(1) + Digest("bad")) shouldBe EarlierOrder.Possible(OLDER)
        }

        test("a version whose manifest is not known may have been ordered") {
            earlierOrder(OLDER.digests, known = listOf(WANTED, HELD)) shouldBe EarlierOrder.PossibleForUnknownVersion
        }

        // Back ends stayed without the wanted version for as long as an order may be in transit.
        test("unknown chunks are those of the version that the back end holds if each newer one is known and has none of them") {
            earlierOrder(HELD.digests, known = listOf(WANTED, OLDER)) shouldBe EarlierOrder.None
            earlierOrder(HELD.digests, known = listOf(WANTED)) shouldBe EarlierOrder.PossibleForUnknownVersion
            earlierOrder(manifest(9).digests, known = listOf(manifest(7), manifest(6), WANTED, OLDER)) shouldBe
                EarlierOrder.PossibleForUnknownVersion
            EarlierOrder.of(HELD.digests, listOf(WANTED, OLDER), held = null) shouldBe EarlierOrder.PossibleForUnknownVersion
        }

        test("missing chunks, chunks of several versions and the version that the back end holds show that there is no order") {
            earlierOrder(OLDER.digests.dropLast(1) + null) shouldBe EarlierOrder.None
            earlierOrder(OLDER.digests.dropLast(1) + WANTED.digests.last()) shouldBe EarlierOrder.None
            earlierOrder(HELD.digests) shouldBe EarlierOrder.None
        }
    })
