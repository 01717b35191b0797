package lagoonrudder.http

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import lagoonrudder.model.Address
import lagoonrudder.model.CallerLimits
import java.net.ConnectException
import java.util.Collections
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val LIMITS = CallerLimits(headerBytes = 1_000, bodyBytes = 100, headerTimeout = 300.milliseconds, idleTimeout = 500.milliseconds)

private class Serving(
    limits: CallerLimits = LIMITS,
    handler: HttpHandler? = null,
) : AutoCloseable {
    private val loop = HttpEventLoop("test")
    val handled: MutableList<HttpRequest> = Collections.synchronizedList(mutableListOf())
    private val echo =
        HttpHandler { exchange ->
            handled += exchange.request
            exchange.respond(200, emptyList(), exchange.request.body)
        }
    private val scope = CoroutineScope(SupervisorJob() + loop.dispatcher)
    val server = HttpServer.start(loop, scope, Address("127.0.0.1", 0), { limits }, handler ?: echo)

    fun connect() = scriptedClient(server.port)

    override fun close() {
        server.close()
        loop.close()
    }
}

/** Runs [block] with an idle connection and a busy one, whose request is answered with "done" when the last argument completes. */
private fun whileAnswering(block: (Serving, ScriptedConnection, ScriptedConnection, CompletableDeferred<Unit>) -> Unit) {
    val release = CompletableDeferred<Unit>()
    val handler =
        HttpHandler { exchange ->
            release.await()
            exchange.respond(200, emptyList(), "done".encodeToByteArray())
        }
    Serving(LIMITS.copy(idleTimeout = 10.seconds), handler).use { serving ->
        val idle = serving.connect()
        val busy = serving.connect()
        busy.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        Thread.sleep(100)
        block(serving, idle, busy, release)
    }
}

class HttpServerTest :
    FunSpec({
        test("requests on one connection are answered in their order, sent ahead or not") {
            Serving().use { serving ->
                val client = serving.connect()
                client.send(
                    "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
                )
                client.readRest() shouldEndWith "hi"
                serving.handled.map { it.target } shouldBe listOf("/1", "/2")
            }
        }

        val malformed =
            mapOf(
                "two lengths" to "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi!",
                "a length and chunks" to "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "an unknown coding" to "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
                "no request line" to "nonsense\r\n\r\n",
                "a bad length" to "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -2\r\n\r\n",
            )
        for ((name, bytes) in malformed) {
            test("a request with $name is refused and nothing after it is read") {
                Serving().use { serving ->
                    val client = serving.connect()
                    client.send(bytes + "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n")
                    client.readRest() shouldStartWith "HTTP/1.1 400"
                    serving.handled.shouldBeEmpty()
                }
            }
        }

        test("a body over the limit is refused with 413 and fields over the limit with 431") {
            Serving().use { serving ->
                val body = serving.connect()
                body.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n")
                body.readRest() shouldStartWith "HTTP/1.1 413"
                val chunks = serving.connect()
                chunks.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n${"x".repeat(101)}\r\n0\r\n\r\n")
                chunks.readRest() shouldStartWith "HTTP/1.1 413"
                val fields = serving.connect()
                fields.send("GET / HTTP/1.1\r\nHost: a\r\nX: ${"x".repeat(2_000)}\r\n\r\n")
                fields.readRest() shouldStartWith "HTTP/1.1 431"
                serving.handled.shouldBeEmpty()
            }
        }

        test("a head that takes too long is answered with 408") {
            Serving().use { serving ->
                val client = serving.connect()
                client.send("GET / HTTP/1.1\r\nHos")
                client.readRest() shouldStartWith "HTTP/1.1 408"
            }
        }

        test("a body that stops arriving is answered with 408") {
            Serving().use { serving ->
                val client = serving.connect()
                client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhi")
                client.readRest() shouldStartWith "HTTP/1.1 408"
                serving.handled.shouldBeEmpty()
            }
        }

        test("an idle connection is closed without an answer") {
            Serving().use { serving -> serving.connect().readRest() shouldBe "" }
        }

        test("a caller that leaves cancels the handler") {
            val cancelled = CompletableDeferred<Unit>()
            val handler =
                HttpHandler {
                    try {
                        awaitCancellation()
                    } finally {
                        cancelled.complete(Unit)
                    }
                }
            Serving(handler = handler).use { serving ->
                val client = serving.connect()
                client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                Thread.sleep(100)
                client.socket.close()
                runBlocking { withTimeout(2.seconds) { cancelled.await() } }
            }
        }

        test("an answer that is broken off can't look complete") {
            val handler =
                HttpHandler { exchange ->
                    exchange.begin(HttpResponseHead(200, emptyList()))
                    exchange.write("part".encodeToByteArray())
                    exchange.abort()
                }
            Serving(handler = handler).use { serving ->
                val client = serving.connect()
                client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                client.readRest() shouldEndWith "4\r\npart\r\n"
            }
        }

        test("a caller that does not read holds the writer back") {
            val written =
                java.util.concurrent.atomic
                    .AtomicInteger()
            val handler =
                HttpHandler { exchange ->
                    exchange.begin(HttpResponseHead(200, emptyList()))
                    repeat(2_000) {
                        exchange.write(ByteArray(10_000))
                        written.incrementAndGet()
                    }
                    exchange.end()
                }
            Serving(handler = handler).use { serving ->
                val client = serving.connect()
                client.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                Thread.sleep(500)
                (written.get() < 2_000) shouldBe true
                (client.readRest().length > 2_000 * 10_000) shouldBe true
            }
        }

        test("a retiring server answers what is in hand, closes with notice, and closes idle connections") {
            whileAnswering { serving, idle, busy, release ->
                serving.server.drain()
                idle.readRest() shouldBe ""
                release.complete(Unit)
                val answer = busy.readRest()
                answer shouldStartWith "HTTP/1.1 200"
                answer.lowercase().contains("connection: close") shouldBe true
                answer shouldEndWith "done"
            }
        }

        test("a server that has stopped reading ends what is in hand and takes nothing more, on no connection") {
            whileAnswering { serving, idle, busy, release ->
                serving.server.stopReading()
                idle.readRest() shouldBe ""
                Thread.sleep(100)
                shouldThrow<ConnectException> { serving.connect() }
                busy.send("GET /second HTTP/1.1\r\nHost: a\r\n\r\n")
                Thread.sleep(100)
                release.complete(Unit)
                busy.readRest() shouldEndWith "done"
                serving.server.activeRequests shouldBe 0
            }
        }
    })
