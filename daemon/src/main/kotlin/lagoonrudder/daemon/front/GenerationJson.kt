/**
 * The JSON of callers: requests for text, and the events of their answers.
 */
package lagoonrudder.daemon.front

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import lagoonrudder.model.Refusal
import lagoonrudder.traffic.Work
import lagoonrudder.traffic.entry.GenerationDecoder

internal val callerJson = Json { ignoreUnknownKeys = true }

@Serializable
data class CompletionRequestJson(
    val prompt: String,
    @SerialName("max_tokens") val maximumTokens: Int,
)

@Serializable
data class CompletionTextJson(
    val text: String,
)

@Serializable
data class CompletionEndJson(
    val length: Long,
    val checksum: Long,
    val version: String,
)

/** An answer that is not the answer to the request: a refusal or an unknown outcome. */
@Serializable
data class ProblemJson(
    val outcome: String,
    val code: String,
    val step: String,
    val peer: String,
    val detail: String,
)

private const val LARGEST_TOKENS = 1_000_000

/** Reads the body of a completion request. */
object CompletionDecoder : GenerationDecoder {
    override fun decode(body: ByteArray): Either<Refusal.Invalid, Work.Generate> {
        val request =
            try {
                callerJson.decodeFromString(CompletionRequestJson.serializer(), body.decodeToString(throwOnInvalidSequence = true))
            } catch (_: SerializationException) {
                return expected().left()
            } catch (_: CharacterCodingException) {
                return expected().left()
            }
        if (request.maximumTokens !in 1..LARGEST_TOKENS) return expected().left()
        return Work.Generate(request.prompt, request.maximumTokens).right()
    }

    private fun expected() = Refusal.Invalid("a JSON object with prompt (text) and max_tokens (1 to $LARGEST_TOKENS)")
}
