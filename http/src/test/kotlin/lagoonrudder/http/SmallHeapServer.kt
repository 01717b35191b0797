/**
 * A server in a process of its own, with the heap of an entry daemon, that keeps the body of each request for a while.
 */
package lagoonrudder.http

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import lagoonrudder.model.Address
import lagoonrudder.model.CallerLimits
import java.io.File
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Grants large bodies three fourths of [total] bytes and small ones all of it. */
internal class TestBodyMemory(
    private val total: Long,
) : BodyMemory {
    @Volatile
    var held = 0L

    override fun reserve(
        bytes: Long,
        before: Long,
    ): Duration? {
        val limit = if (before + bytes > 10_000) total / 4 * 3 else total
        if (held + bytes > limit) return RETRY_AFTER
        held += bytes
        return null
    }

    override fun release(bytes: Long) {
        held -= bytes
    }

    companion object {
        val RETRY_AFTER = 500.milliseconds
    }
}

private val LIMITS = CallerLimits(headerBytes = 16_384, bodyBytes = 4_194_304, headerTimeout = 3.seconds, idleTimeout = 15.seconds)

/** Starts the server and prints its port. */
fun main() {
    val loop = HttpEventLoop("small-heap")
    val scope = CoroutineScope(SupervisorJob() + loop.dispatcher)
    val memory = TestBodyMemory(Runtime.getRuntime().maxMemory() / 4)
    val server =
        HttpServer.start(loop, scope, Address("127.0.0.1", 0), { LIMITS }, bodies = memory) { exchange ->
            val size = exchange.request.body.size
            if (size > 10_000) delay(1.seconds)
            exchange.respond(200, emptyList(), size.toString().encodeToByteArray())
        }
    println(server.port)
    Thread.sleep(60_000)
}

/** Runs the server with the flags of an entry daemon. */
internal class SmallHeapProcess : AutoCloseable {
    private val process =
        ProcessBuilder(
            File(System.getProperty("java.home"), "bin/java").path,
            "-Xms8m",
            "-Xmx56m",
            "-Xmn6m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Dio.netty.noPreferDirect=true",
            "-cp",
            System.getProperty("java.class.path"),
            "lagoonrudder.http.SmallHeapServerKt",
        ).redirectError(ProcessBuilder.Redirect.INHERIT).start()
    val port = process.inputReader().readLine().toInt()
    val isAlive: Boolean get() = process.isAlive

    override fun close() {
        process.destroyForcibly().waitFor()
    }
}
