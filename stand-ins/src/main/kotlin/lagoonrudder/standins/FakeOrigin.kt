/**
 * A fake origin of weights that serves manifests and chunks over HTTP at a limited rate.
 */
package lagoonrudder.standins

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.path
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import lagoonrudder.model.Address
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FakeOrigin(
    private val bytesPerSecond: Long,
) : AutoCloseable {
    private val versions = ConcurrentHashMap<String, SyntheticWeights>()
    private val link = Mutex()
    private val server = LoopbackHttpServer { handle(it) }

    val address: Address get() = server.address

    /** The number of chunk bytes served. */
    val bytesServed = AtomicLong()

    /** Whether all responses are held back. */
    @Volatile
    var stalled = false

    /** Corrupts each chunk whose index is a multiple of this; zero corrupts none. */
    @Volatile
    var corruptEvery = 0

    fun publish(
        version: String,
        weights: SyntheticWeights,
    ) {
        versions[version] = weights
    }

    override fun close() = server.close()

    private suspend fun handle(call: ApplicationCall) {
        while (stalled) delay(STALL_POLL_INTERVAL)
        val segments =
            call.request
                .path()
                .split('/')
                .filter { it.isNotEmpty() }
        when (segments.getOrNull(1)) {
            "manifests" -> sendManifest(call, segments[2])
            "versions" -> sendChunk(call, segments[2], segments[4].toInt())
            else -> call.respondText("", status = HttpStatusCode.NotFound)
        }
    }

    private suspend fun sendManifest(
        call: ApplicationCall,
        digest: String,
    ) {
        val weights = versions.values.firstOrNull { it.manifestDigest.hexadecimal == digest }
        if (weights == null) call.respondText("", status = HttpStatusCode.NotFound) else call.respondBytes(weights.manifest)
    }

    private suspend fun sendChunk(
        call: ApplicationCall,
        version: String,
        chunk: Int,
    ) {
        val weights = versions[version] ?: return call.respondText("", status = HttpStatusCode.NotFound)
        val bytes = weights.chunk(chunk)
        link.withLock { delay((bytes.size.toDouble() / bytesPerSecond).seconds) }
        bytesServed.addAndGet(bytes.size.toLong())
        val corrupt = corruptEvery > 0 && chunk % corruptEvery == 0
        if (corrupt) bytes[0] = (bytes[0] + 1).toByte()
        call.respondBytes(bytes)
    }

    private companion object {
        val STALL_POLL_INTERVAL = 100.milliseconds
    }
}
