/**
 * JSON messages exchanged with callers: completion requests and the events of their responses.
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

/** The body of an error response, which reports a refusal or an unknown outcome. */
@Serializable
data class ProblemJson(
    val outcome: String,
    val code: String,
    val step: String,
    val peer: String,
    val detail: String,
)

private const val MAX_TOKENS_LIMIT = 1_000_000

/** Decodes the body of a completion request. */
object CompletionDecoder : GenerationDecoder {
    override fun decode(body: ByteArray): Either<Refusal.Invalid, Work.Generate> {
        val request =
            try {
                callerJson.decodeFromString(CompletionRequestJson.serializer(), body.decodeToString(throwOnInvalidSequence = true))
            } catch (_: SerializationException) {
                return invalidRequest().left()
            } catch (_: CharacterCodingException) {
                return invalidRequest().left()
            }
        if (request.maximumTokens !in 1..MAX_TOKENS_LIMIT) return invalidRequest().left()
        return Work.Generate(request.prompt, request.maximumTokens).right()
    }

    private fun invalidRequest() = Refusal.Invalid("a JSON object with prompt (text) and max_tokens (1 to $MAX_TOKENS_LIMIT)")
}
