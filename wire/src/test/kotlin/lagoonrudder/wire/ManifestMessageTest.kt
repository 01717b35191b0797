package lagoonrudder.wire

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import lagoonrudder.model.digestOf
import lagoonrudder.wire.messages.MalformedMessage
import lagoonrudder.wire.messages.ManifestMessage
import lagoonrudder.wire.messages.toManifest
import lagoonrudder.wire.messages.toMessage

/** Guards against a malformed manifest that is taken over from a peer. */
class ManifestMessageTest :
    FunSpec({
        val digest = digestOf(byteArrayOf(1))

        test("a manifest is read as it was written") {
            val message = ManifestMessage("model", 2, listOf(digest.hexadecimal))
            message.toManifest().toMessage().digests shouldBe listOf(digest.hexadecimal)
        }

        test("a manifest with a malformed digest is refused") {
            listOf("", "digest", digest.hexadecimal.drop(1), digest.hexadecimal.drop(1) + "g").forEach { malformed ->
                shouldThrow<MalformedMessage> { ManifestMessage("model", 2, listOf(malformed)).toManifest() }
            }
        }
    })
