package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import lagoonrudder.control.strictInvariants
import lagoonrudder.model.ModelId
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.WeightNumber
import lagoonrudder.model.digestOf
import kotlin.time.Duration.Companion.seconds

private fun manifest(
    chunks: Int,
    model: ModelId = MODEL,
    number: Long = 2,
) = WeightManifest(model, WeightNumber(number), (0 until chunks).map { digestOf(byteArrayOf(it.toByte())) })

/** Guards against the manifest of other weights, or of part of them, that is taken for the one that was asked for. */
class ManifestCheckTest :
    FunSpec({
        fun staging(): StagingController {
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(item("op/config", 1, StoreRecord.Configuration(servingSet(1)))), 1, 1.seconds)
            val peers = PeerController(peer("self"), emptyList())
            return StagingController(peers, storeView, SwitchSchedule(storeView), REGIONS)
        }

        test("a manifest must have the model, the version and the number of chunks that are expected") {
            val staging = staging()
            staging.mismatch(manifest(chunks = 2), MODEL, WeightNumber(2)).shouldBeNull()
            staging.mismatch(manifest(chunks = 2), MODEL, number = null).shouldBeNull()
            staging.mismatch(manifest(chunks = 1), MODEL, WeightNumber(2)) shouldBe "1 digests, expected 2"
            staging.mismatch(manifest(chunks = 3), MODEL, number = null).shouldNotBeNull()
            staging.mismatch(manifest(chunks = 2, model = ModelId("other")), MODEL, WeightNumber(2)).shouldNotBeNull()
            staging.mismatch(manifest(chunks = 2, number = 3), MODEL, WeightNumber(2)).shouldNotBeNull()
        }
    })
