package lagoonrudder.http

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import lagoonrudder.model.Address
import lagoonrudder.model.CallerLimits
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val LIMITS = CallerLimits(headerBytes = 1_000, bodyBytes = 100, headerTimeout = 3.seconds, idleTimeout = 100.milliseconds)

/** Larger than what the system buffers for both ends of a connection. */
private const val BODY_BYTES = 12_000_000

/** Reads a response from [input] up to its length or the end of the connection, and returns the length of its body. */
private fun bodyLength(input: InputStream): Int {
    val bytes = input.readNBytes(BODY_BYTES)
    val head = bytes.decodeToString(0, minOf(bytes.size, 1_000)).substringBefore("\r\n\r\n").length + 4
    return bytes.size - head + input.readNBytes(head).size
}

class SlowReaderTest :
    FunSpec({
        /** Reads nothing of a response for [pause], then calls [meanwhile] and reads the rest; returns the length of the body received. */
        fun readSlowly(
            server: HttpServer,
            pause: Duration,
            field: String = "",
            meanwhile: () -> Unit = {},
        ): Int {
            Socket().use { socket ->
                socket.receiveBufferSize = 16_384
                socket.soTimeout = 10_000
                socket.connect(InetSocketAddress("127.0.0.1", server.port))
                socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n$field\r\n".encodeToByteArray())
                Thread.sleep(pause.inWholeMilliseconds)
                meanwhile()
                return bodyLength(socket.getInputStream())
            }
        }

        fun withServer(block: (HttpServer) -> Unit) {
            val loop = HttpEventLoop("test")
            val scope = CoroutineScope(SupervisorJob() + loop.dispatcher)
            val server =
                HttpServer.start(loop, scope, Address("127.0.0.1", 0), { LIMITS }) { it.respond(200, emptyList(), ByteArray(BODY_BYTES)) }
            try {
                block(server)
            } finally {
                server.close()
                loop.close()
            }
        }

        // A connection counted as idle while the end of its last response still waited in the process.
        test("the idle timeout does not cut a response that is read slowly") {
            withServer { readSlowly(it, pause = 4.seconds) shouldBe BODY_BYTES }
        }

        // The output of the connection was shut down before the response was written.
        test("the close after the last request does not cut a response that is read slowly") {
            withServer { readSlowly(it, pause = 1.seconds, field = "Connection: close\r\n") shouldBe BODY_BYTES }
        }

        // The request counted as ended, so a stop closed the connection or the process ended.
        test("a stop does not cut a response that is read slowly, and waits for its end") {
            withServer { server ->
                val received =
                    readSlowly(server, pause = 1.seconds) {
                        server.drain()
                        server.stopReading(HttpResponse(HttpResponseHead(503, emptyList()), NO_BYTES))
                        server.activeRequests shouldBe 1
                    }
                received shouldBe BODY_BYTES
                runBlocking { eventually(2.seconds) { server.activeRequests shouldBe 0 } }
            }
        }
    })
