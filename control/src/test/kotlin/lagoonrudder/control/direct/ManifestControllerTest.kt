package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import lagoonrudder.model.Digest
import lagoonrudder.model.WeightNumber
import lagoonrudder.model.digestOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val NUMBER = WeightNumber(2)

private fun digest(text: String): Digest = digestOf(text.encodeToByteArray())

private fun manifest(vararg chunks: String) = WeightManifest(MODEL, NUMBER, chunks.map { digest(it) })

private val SOUND = manifest("first", "second", "third")
private val WRONG = manifest("first", "other", "third")

/** Guards against a wrong manifest that is kept for ever, and against a sound one that is read over and over. */
class ManifestControllerTest :
    FunSpec({
        fun doubting(manifest: WeightManifest = WRONG) = ManifestController().apply { repeat(2) { onChunk(manifest, 1, SOUND.digests[1]) } }

        fun ManifestController.readsWithin(
            time: Duration,
            outcome: ManifestController.(Duration) -> Unit,
        ): Int {
            var now = Duration.ZERO
            var reads = 0
            while (now < time) {
                if (beginReadAgain(WRONG, now)) {
                    reads++
                    outcome(now)
                }
                now += 10.milliseconds
            }
            return reads
        }

        test("a manifest is doubted when two copies of a chunk agree with each other but not with it") {
            val manifests = ManifestController()
            manifests.shouldReadAgain(WRONG, 0.seconds) shouldBe false
            manifests.onChunk(WRONG, 1, SOUND.digests[1])
            manifests.shouldReadAgain(WRONG, 0.seconds) shouldBe false
            manifests.onChunk(WRONG, 1, SOUND.digests[1])
            manifests.shouldReadAgain(WRONG, 0.seconds) shouldBe true
        }

        test("copies of a chunk that are corrupted in different ways say nothing against a manifest") {
            val manifests = ManifestController()
            repeat(100) { manifests.onChunk(SOUND, 1, digest("corrupted $it")) }
            manifests.shouldReadAgain(SOUND, 0.seconds) shouldBe false
        }

        test("a chunk that matches at last ends the doubt") {
            val manifests = doubting()
            manifests.onChunk(WRONG, 1, WRONG.digests[1])
            manifests.shouldReadAgain(WRONG, 0.seconds) shouldBe false
        }

        test("a copy that agrees with the chunks replaces the doubted one, which is not doubted on") {
            val manifests = doubting()
            manifests.beginReadAgain(WRONG, 0.seconds) shouldBe true
            manifests.onReadAgain(WRONG, SOUND) shouldBe ManifestReading.Replaced(SOUND)
            manifests.shouldReadAgain(SOUND, 1.minutes) shouldBe false
        }

        test("a copy that contradicts more chunks than the doubted one does not replace it") {
            val manifests = doubting()
            manifests.onChunk(WRONG, 0, WRONG.digests[0])
            manifests.onChunk(WRONG, 2, WRONG.digests[2])
            manifests.beginReadAgain(WRONG, 0.seconds)
            manifests.onReadAgain(WRONG, manifest("odd", "second", "odd")) shouldBe ManifestReading.Worse
            manifests.shouldReadAgain(WRONG, 1.minutes) shouldBe true
        }

        test("an equal copy confirms a manifest until further copies of a chunk speak against it") {
            val manifests = doubting()
            manifests.beginReadAgain(WRONG, 0.seconds)
            manifests.onReadAgain(WRONG, WRONG.copy()) shouldBe ManifestReading.Confirmed
            manifests.shouldReadAgain(WRONG, 1.minutes) shouldBe false
            repeat(2) { manifests.onChunk(WRONG, 1, SOUND.digests[1]) }
            manifests.shouldReadAgain(WRONG, 1.minutes) shouldBe true
        }

        test("the doubt of a peer is enough to read again, and its copy is replaced without evidence of one's own") {
            val manifests = ManifestController()
            manifests.onDoubtOfPeer(WRONG)
            manifests.beginReadAgain(WRONG, 0.seconds) shouldBe true
            manifests.onReadAgain(WRONG, SOUND) shouldBe ManifestReading.Replaced(SOUND)
            manifests.shouldReadAgain(SOUND, 1.minutes) shouldBe false
        }

        test("a doubt that stays is followed by few reads, whether they fail, confirm or find something worse") {
            doubting().readsWithin(1.minutes) { } shouldBeLessThan 16
            doubting().readsWithin(1.minutes) {
                onReadAgain(WRONG, WRONG)
                onDoubtOfPeer(WRONG)
            } shouldBeLessThan 16
        }

        test("a manifest that can't be used is asked for again after growing pauses") {
            val manifests = ManifestController()
            manifests.mayRead(MODEL, NUMBER, 0.seconds) shouldBe true
            manifests.onUnusable(MODEL, NUMBER, 0.seconds)
            manifests.mayRead(MODEL, NUMBER, 0.seconds) shouldBe false
            manifests.mayRead(MODEL, NUMBER, 1.seconds) shouldBe true
            manifests.mayRead(MODEL, WeightNumber(3), 0.seconds) shouldBe true
            val reads =
                (0 until 6_000).count { step ->
                    val now = 1.seconds + 10.milliseconds * step
                    manifests.mayRead(MODEL, NUMBER, now).also { if (it) manifests.onUnusable(MODEL, NUMBER, now) }
                }
            reads shouldBeLessThan 16
            manifests.onUsable(MODEL, NUMBER)
            manifests.mayRead(MODEL, NUMBER, 61.seconds) shouldBe true
        }

        test("the pause between copies of a chunk grows while they don't match, and ends with the first that does") {
            val manifests = ManifestController()
            val first = manifests.chunkPause(MODEL, NUMBER, 1)
            repeat(20) { manifests.onChunk(SOUND, 1, digest("corrupted $it")) }
            first shouldBeLessThan manifests.chunkPause(MODEL, NUMBER, 1)
            manifests.chunkPause(MODEL, NUMBER, 1) shouldBeLessThan 3.seconds
            manifests.chunkPause(MODEL, NUMBER, 0) shouldBe first
            manifests.onChunk(SOUND, 1, SOUND.digests[1])
            manifests.chunkPause(MODEL, NUMBER, 1) shouldBe first
        }
    })
