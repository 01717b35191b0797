/**
 * JSON messages of the engine protocol.
 */
package lagoonrudder.daemon.backend

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

val engineJson =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

@Serializable
data class GenerateJson(
    val request: String,
    val prompt: String,
    @SerialName("maximum_tokens") val maximumTokens: Int,
    val offset: Long,
    val priority: Int,
)

/** One line of an engine's response; exactly one field is set. */
@Serializable
data class EngineLineJson(
    val start: StartJson? = null,
    val text: TextJson? = null,
    val end: EndJson? = null,
)

@Serializable
data class StartJson(
    val incarnation: String,
    val version: String,
)

@Serializable
data class TextJson(
    val offset: Long,
    val data: String,
)

@Serializable
data class EndJson(
    val version: String,
    val length: Long,
    val checksum: Long,
)

@Serializable
data class StateJson(
    val incarnation: String,
    val version: String? = null,
    val role: String = "serve",
    val fencing: Long? = null,
    val loading: Boolean = false,
    @SerialName("chunks_held") val chunksHeld: Int = 0,
)

@Serializable
data class OrderJson(
    val kind: String,
    val fencing: Long,
    val version: String = "",
    val base: String = "",
    val role: String = "",
    val chunks: Int = 0,
)
