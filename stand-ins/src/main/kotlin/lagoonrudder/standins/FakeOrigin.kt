/**
 * Stands for the origin of weights: manifests and chunks over HTTP, at a limited rate.
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

    /** The bytes of chunks given out. */
    val bytesGiven = AtomicLong()

    /** Whether every answer waits for ever. */
    @Volatile
    var stalled = false

    /** Every chunk with a number that this divides arrives corrupted; zero for none. */
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
        while (stalled) delay(STALL_CHECK)
        val words =
            call.request
                .path()
                .split('/')
                .filter { it.isNotEmpty() }
        when (words.getOrNull(1)) {
            "manifests" -> giveManifest(call, words[2])
            "versions" -> giveChunk(call, words[2], words[4].toInt())
            else -> call.respondText("", status = HttpStatusCode.NotFound)
        }
    }

    private suspend fun giveManifest(
        call: ApplicationCall,
        digest: String,
    ) {
        val weights = versions.values.firstOrNull { it.manifestDigest.hexadecimal == digest }
        if (weights == null) call.respondText("", status = HttpStatusCode.NotFound) else call.respondBytes(weights.manifest)
    }

    private suspend fun giveChunk(
        call: ApplicationCall,
        version: String,
        chunk: Int,
    ) {
        val weights = versions[version] ?: return call.respondText("", status = HttpStatusCode.NotFound)
        val bytes = weights.chunk(chunk)
        link.withLock { delay((bytes.size.toDouble() / bytesPerSecond).seconds) }
        bytesGiven.addAndGet(bytes.size.toLong())
        val corrupt = corruptEvery > 0 && chunk % corruptEvery == 0
        if (corrupt) bytes[0] = (bytes[0] + 1).toByte()
        call.respondBytes(bytes)
    }

    private companion object {
        val STALL_CHECK = 100.milliseconds
    }
}
