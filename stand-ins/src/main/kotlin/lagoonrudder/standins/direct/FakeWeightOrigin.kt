/**
 * A fake origin of weights, and the weights that it serves.
 */
package lagoonrudder.standins.direct

import kotlinx.coroutines.delay
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import lagoonrudder.http.HttpExchange
import lagoonrudder.http.HttpHandler
import lagoonrudder.http.NO_BYTES
import lagoonrudder.model.digestOf
import kotlin.time.Duration

internal const val MODEL_NAME = "model"
internal const val CHUNK_COUNT = 6
internal const val CHUNK_BYTES = 4_096

/** Returns chunk [index] of version [version]. */
internal fun chunkOf(
    version: Long,
    index: Int,
): ByteArray = ByteArray(CHUNK_BYTES) { (it * 31 + index * 7 + version * 13).toByte() }

/** A fake origin; [chunksServed] counts the chunks that it sent. */
class FakeWeightOrigin : HttpHandler {
    var latestVersion = 1L

    /** Whether versions that are two or more behind are gone, as the protocol says. */
    var forgetsOldVersions = false

    /** The number of chunks after which this origin closes connections without an answer; null while it works. */
    var failsAfter: Int? = null

    /** How long this origin takes for each chunk. */
    var chunkTime = Duration.ZERO

    /** The number of manifests that are answered with that of the version before. */
    var staleManifests = 0

    /** The number of manifests of which one digest is wrong, at the same chunk each time. */
    var corruptManifests = 0

    /** The chunk of which each copy has the same wrong byte; null if there is none. */
    var corruptChunk: Int? = null

    /** The manifests that were served, whether sound or not. */
    var manifestsServed = 0
        private set

    /** The requests that this origin did not answer. */
    var failedRequests = 0
        private set
    var chunksServed = 0
        private set

    override suspend fun handle(exchange: HttpExchange) {
        if (failsAfter?.let { chunksServed >= it } == true) {
            failedRequests++
            return exchange.abort()
        }
        val query = queryParameters(exchange.request.target)
        val version = query["version"]?.toLong() ?: latestVersion
        if (forgetsOldVersions && version <= latestVersion - 2) return exchange.respond(410, emptyList(), NO_BYTES)
        if ("/manifest/" in exchange.request.target) {
            val isStale = staleManifests > 0
            if (isStale) staleManifests--
            respondManifest(exchange, if (isStale) version - 1 else version)
        } else {
            chunksServed++
            delay(chunkTime)
            val index = query.getValue("num").toInt()
            val chunk = chunkOf(version, index)
            if (index == corruptChunk) chunk[0]++
            exchange.respond(200, emptyList(), chunk)
        }
    }

    private suspend fun respondManifest(
        exchange: HttpExchange,
        version: Long,
    ) = exchange.respondJson(
        buildJsonObject {
            put("model", MODEL_NAME)
            put("version", version)
            putJsonArray("digests") { digestsOf(version).forEach { add(it) } }
        },
    )

    private fun digestsOf(version: Long): List<String> {
        manifestsServed++
        val digests = (0 until CHUNK_COUNT).map { digestOf(chunkOf(version, it)).hexadecimal }
        if (corruptManifests == 0) return digests
        corruptManifests--
        return digests.mapIndexed { index, digest -> if (index == CHUNK_COUNT / 2) digest.reversed() else digest }
    }
}
