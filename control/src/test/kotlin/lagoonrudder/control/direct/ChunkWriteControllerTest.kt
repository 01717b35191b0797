package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import lagoonrudder.model.Digest
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration.Companion.seconds

private val OLDER = Digest("older")
private val NEWER = Digest("newer")

private fun manifest(digest: Digest) = WeightManifest(ModelId("model"), WeightNumber(2), listOf(digest))

/** Guards against a chunk that arrives late among those of another version. */
class ChunkWriteControllerTest :
    FunSpec({
        fun unansweredWrite() = ChunkWriteController().apply { onUnanswered(0, OLDER, 1.seconds) }

        fun ChunkWriteController.endangered(digest: Digest) = endangered(manifest(digest), 2.seconds)

        test("a write without an answer endangers the chunk of another version, but not its own") {
            unansweredWrite().endangered(NEWER) shouldBe listOf(0)
            unansweredWrite().endangered(OLDER) shouldBe emptyList()
        }

        test("a write has arrived when its chunk is read back in the place of another one") {
            val writes = unansweredWrite()
            writes.onStored(0, NEWER)
            writes.onRead(0, NEWER)
            writes.endangered(NEWER) shouldBe listOf(0)
            writes.onRead(0, OLDER)
            writes.endangered(NEWER) shouldBe emptyList()
        }

        test("a chunk that was stored again does not show that its first write has arrived") {
            val writes = unansweredWrite()
            writes.onStored(0, OLDER)
            writes.onRead(0, OLDER)
            writes.endangered(NEWER) shouldBe listOf(0)
        }

        test("a write is over when the back end restarts, or after the life of a call") {
            val writes = unansweredWrite()
            writes.endangered(manifest(NEWER), 31.seconds) shouldBe listOf(0)
            writes.endangered(manifest(NEWER), 32.seconds) shouldBe emptyList()
            unansweredWrite().apply { onBackEndRestarted() }.endangered(NEWER) shouldBe emptyList()
        }
    })
