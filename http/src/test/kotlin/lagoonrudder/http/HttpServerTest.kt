package lagoonrudder.http

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import lagoonrudder.model.Clock
import lagoonrudder.model.HeaderField
import java.net.ConnectException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val REFUSAL = HttpResponse(HttpResponseHead(503, listOf(HeaderField("Retry-After", "0.1"))), NO_BYTES)

/** Runs [block] with an idle connection and a busy one. The response to its request is "done", sent when the last argument completes. */
private suspend fun withActiveRequest(
    block: suspend (TestServer, ScriptedConnection, ScriptedConnection, CompletableDeferred<Unit>) -> Unit,
) {
    val release = CompletableDeferred<Unit>()
    val handler =
        HttpHandler { exchange ->
            release.await()
            exchange.respond(200, emptyList(), "done".encodeToByteArray())
        }
    TestServer(SHORT_LIMITS.copy(idleTimeout = 10.seconds), handler).use { serving ->
        val idle = serving.connect()
        val busy = serving.connect()
        busy.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        Thread.sleep(100)
        block(serving, idle, busy, release)
    }
}

/** A clock that stands still until a test moves it. */
private class ManualClock : Clock {
    @Volatile var time = 5.seconds

    override fun now() = Instant.fromEpochMilliseconds(time.inWholeMilliseconds)

    override fun elapsed() = time
}

/** Begins each response at once, and ends it with "done" once [release] completes. */
private fun beginningThenDone(release: CompletableDeferred<Unit>) =
    HttpHandler { exchange ->
        exchange.begin(HttpResponseHead(200, emptyList(), 4))
        release.await()
        exchange.write("done".encodeToByteArray())
        exchange.end()
    }

class HttpServerTest :
    FunSpec({
        test("pipelined requests on one connection are answered in order") {
            TestServer().use { serving ->
                val client = serving.connect()
                client.send(
                    "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
                )
                client.readRest() shouldEndWith "hi"
                serving.handled.map { it.target } shouldBe listOf("/1", "/2")
            }
        }

        // Its deadline counted from the moment at which it was handled, and its back end got more time than its caller had left.
        test("a request ages from its head on, while its body arrives and while it waits behind another one") {
            val clock = ManualClock()
            val release = CompletableDeferred<Unit>()
            val ages = LinkedBlockingQueue<Pair<String, Duration>>()
            val handler =
                HttpHandler { exchange ->
                    ages += exchange.request.target to exchange.age
                    if (exchange.request.target == "/busy") release.await()
                    exchange.respond(200, emptyList(), NO_BYTES)
                }

            /** Sends [bytes], which lead to no response yet, and lets [time] pass after their arrival. */
            fun ScriptedConnection.sendPart(
                bytes: String,
                time: Duration,
            ) {
                send(bytes)
                Thread.sleep(100)
                clock.time += time
            }
            TestServer(SHORT_LIMITS.copy(idleTimeout = 10.seconds), handler, clock).use { serving ->
                val client = serving.connect()
                client.sendPart("POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nh", 2.seconds)
                client.send("i")
                client.readHead()
                ages.poll(2, TimeUnit.SECONDS) shouldBe ("/slow" to 2.seconds)
                clock.time += 7.seconds
                client.sendPart("GET /busy HTTP/1.1\r\nHost: a\r\n\r\n", 1.seconds)
                ages.poll(2, TimeUnit.SECONDS) shouldBe ("/busy" to Duration.ZERO)
                client.sendPart("GET /behind HTTP/1.1\r\nHost: a\r\n\r\n", 1.seconds)
                client.sendPart("POST /further HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi", 2.seconds)
                release.complete(Unit)
                ages.poll(2, TimeUnit.SECONDS) shouldBe ("/behind" to 3.seconds)
                ages.poll(2, TimeUnit.SECONDS) shouldBe ("/further" to 2.seconds)
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
            test("a request with $name is rejected and no request after it is read") {
                TestServer().use { serving ->
                    val client = serving.connect()
                    client.send(bytes + "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n")
                    client.readRest() shouldStartWith "HTTP/1.1 400"
                    serving.handled.shouldBeEmpty()
                }
            }
        }

        test("a body over the limit is rejected with 413 and header fields over the limit with 431") {
            TestServer().use { serving ->
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

        test("a request head that exceeds its timeout is rejected with 408") {
            TestServer().use { serving ->
                val client = serving.connect()
                client.send("GET / HTTP/1.1\r\nHos")
                client.readRest() shouldStartWith "HTTP/1.1 408"
            }
        }

        test("a request body that stops arriving is rejected with 408") {
            TestServer().use { serving ->
                val client = serving.connect()
                client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhi")
                client.readRest() shouldStartWith "HTTP/1.1 408"
                serving.handled.shouldBeEmpty()
            }
        }

        test("an idle connection is closed without a response") {
            TestServer().use { serving -> serving.connect().readRest() shouldBe "" }
        }

        test("each request that the handler does not see is reported once, with its response") {
            TestServer().use { serving ->
                val rejected = serving.connect()
                rejected.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n" + "x".repeat(101))
                rejected.readRest() shouldStartWith "HTTP/1.1 413"
                serving.unhandled.single().status shouldBe 413
            }
            withActiveRequest { serving, _, busy, release ->
                busy.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n")
                Thread.sleep(100)
                release.complete(Unit)
                val (first, second) = busy.readRest().split("done")
                first shouldStartWith "HTTP/1.1 200"
                second shouldStartWith "HTTP/1.1 413"
                serving.unhandled.single().status shouldBe 413
            }
        }

        test("a request whose connection is closed before the one in front is answered is reported once, without a response") {
            val handler =
                HttpHandler { exchange ->
                    exchange.begin(HttpResponseHead(200, emptyList()))
                    delay(200.milliseconds)
                    exchange.abort()
                }
            TestServer(handler = handler).use { serving ->
                val client = serving.connect()
                client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
                client.readRest() shouldStartWith "HTTP/1.1 200"
                eventually(2.seconds) { serving.unhandled.single().status shouldBe null }
            }
        }

        // The whole request was read and dropped, and its connection closed without a word.
        test("a request that is read while the server stops gets the refusal, also behind one in progress or in two pieces") {
            withActiveRequest { serving, _, busy, release ->
                val slow = serving.connect()
                slow.send("GET /slow HTTP/1.1\r\nHo")
                Thread.sleep(100)
                serving.server.stopReading(REFUSAL)
                busy.send("GET /second HTTP/1.1\r\nHost: a\r\n\r\n")
                slow.send("st: a\r\n\r\n")
                slow.readRest().let {
                    it shouldStartWith "HTTP/1.1 503"
                    it.lowercase() shouldContain "retry-after: 0.1\r\n"
                    it.lowercase() shouldContain "connection: close\r\n"
                }
                Thread.sleep(100)
                release.complete(Unit)
                val (first, second) = busy.readRest().split("done")
                first shouldStartWith "HTTP/1.1 200"
                second shouldStartWith "HTTP/1.1 503"
                serving.unhandled.map { it.status } shouldBe listOf(503, 503)
                eventually(2.seconds) { serving.server.activeRequests shouldBe 0 }
            }
        }

        // Its response had begun before the drain, so its caller did not know that the connection would be closed.
        test("a draining server answers a request that follows a response without Connection: close") {
            val release = CompletableDeferred<Unit>()
            TestServer(SHORT_LIMITS.copy(idleTimeout = 10.seconds), beginningThenDone(release)).use { serving ->
                val client = serving.connect()
                client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
                Thread.sleep(100)
                serving.server.drain()
                release.complete(Unit)
                client
                    .readHead()
                    ?.lowercase()
                    .orEmpty()
                    .contains("connection: close") shouldBe false
                Thread.sleep(300)
                client.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
                val rest = client.readRest()
                rest shouldStartWith "doneHTTP/1.1 200"
                rest.lowercase() shouldContain "connection: close"
            }
        }

        // The timeout of the body was cancelled by the second request, and the connection was kept without any.
        test("a body that stops arriving behind two pipelined requests is rejected with 408") {
            withActiveRequest { serving, _, busy, release ->
                serving.limits = SHORT_LIMITS
                busy.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\nPOST /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhi")
                Thread.sleep(100)
                release.complete(Unit)
                busy.readRest().split("done")[2] shouldStartWith "HTTP/1.1 408"
            }
        }

        // It was written into the response, and the timeout of the body ran before its caller was told to send that.
        test("a caller that waits for the word to send its body gets it after the response in front, however long that takes") {
            for (wait in listOf(100.milliseconds, 1.seconds)) {
                withActiveRequest { serving, _, busy, release ->
                    serving.limits = SHORT_LIMITS
                    busy.send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nConnection: close\r\nContent-Length: 2\r\n\r\n")
                    delay(wait)
                    release.complete(Unit)
                    busy.readHead().orEmpty() shouldStartWith "HTTP/1.1 200"
                    busy.readHead().orEmpty() shouldStartWith "doneHTTP/1.1 100"
                    busy.send("hi")
                    busy.readRest() shouldEndWith "done"
                }
            }
        }

        // A stop that saw no request in progress between two of one connection ended the process before the second one was answered.
        test("requests and refusals that wait behind a request in progress are active") {
            withActiveRequest { serving, _, busy, release ->
                busy.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
                Thread.sleep(100)
                serving.server.activeRequests shouldBe 2
                serving.server.stopReading(REFUSAL)
                busy.send("GET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
                Thread.sleep(100)
                serving.server.activeRequests shouldBe 3
                release.complete(Unit)
                busy.readRest().split("done")[2] shouldStartWith "HTTP/1.1 503"
                eventually(2.seconds) { serving.server.activeRequests shouldBe 0 }
            }
            withActiveRequest { serving, _, busy, _ ->
                busy.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
                Thread.sleep(100)
                busy.socket.close()
                eventually(2.seconds) { serving.server.activeRequests shouldBe 0 }
            }
        }

        // The end of a response to a connection that had just broken was skipped, and its request counted as completed.
        test("a response whose connection breaks before its end is never taken") {
            val closed = CountDownLatch(1)
            val end = CompletableDeferred<Throwable?>()
            val handler =
                HttpHandler { exchange ->
                    // Holds the event loop, so that the first write learns of the reset.
                    closed.await()
                    Thread.sleep(200)
                    exchange.begin(HttpResponseHead(200, emptyList()))
                    exchange.write("part".encodeToByteArray())
                    exchange.end()
                    end.complete(runCatching { exchange.awaitTaken() }.exceptionOrNull())
                }
            TestServer(handler = handler).use { serving ->
                val client = serving.connect()
                client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                Thread.sleep(100)
                client.socket.setSoLinger(true, 0)
                client.socket.close()
                closed.countDown()
                withTimeout(2.seconds) { end.await() }.shouldBeInstanceOf<CancellationException>()
            }
        }

        // Its connection was closed without a word, and with it those of the requests behind.
        test("a request whose handler fails before its response gets 502, and the one behind it is answered") {
            val handler =
                HttpHandler { exchange ->
                    delay(100.milliseconds)
                    if (exchange.request.target == "/1") error("unexpected")
                    exchange.respond(200, emptyList(), NO_BYTES)
                }
            TestServer(SHORT_LIMITS.copy(idleTimeout = 10.seconds), handler).use { serving ->
                val client = serving.connect()
                client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                client.readHead().orEmpty() shouldStartWith "HTTP/1.1 502"
                client.readRest() shouldStartWith "HTTP/1.1 200"
                serving.failures.poll(2, TimeUnit.SECONDS).shouldBeInstanceOf<IllegalStateException>()
                eventually(2.seconds) { serving.server.activeRequests shouldBe 0 }
            }
        }

        // The response in front told its caller that it was the last one, and the rest of the body was read and dropped.
        test("a draining server answers a request whose body is half read when the response in front begins") {
            withActiveRequest { serving, _, busy, release ->
                serving.server.drain()
                busy.send("POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nha")
                Thread.sleep(100)
                release.complete(Unit)
                busy
                    .readHead()
                    ?.lowercase()
                    .orEmpty()
                    .contains("connection: close") shouldBe false
                busy.send("lf")
                val rest = busy.readRest()
                rest shouldStartWith "doneHTTP/1.1 200"
                rest.lowercase() shouldContain "connection: close"
                rest shouldEndWith "done"
            }
        }

        // It was read and dropped, and no line of the log told of it.
        test("a request that crosses the last response of its connection is reported, without a response") {
            val release = CompletableDeferred<Unit>()
            TestServer(SHORT_LIMITS.copy(idleTimeout = 10.seconds), beginningThenDone(release)).use { serving ->
                serving.server.drain()
                val client = serving.connect()
                client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
                client.readHead()?.lowercase().orEmpty() shouldContain "connection: close"
                client.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
                Thread.sleep(100)
                release.complete(Unit)
                client.readRest() shouldBe "done"
                serving.unhandled.single().status shouldBe null
            }
        }

        // Callers go by the limits in force, and a connection that kept older ones was closed under a whole request.
        test("a kept connection follows a longer idle timeout, also one that its caller knew first") {
            for (changedAfter in listOf(100.milliseconds, 900.milliseconds)) {
                TestServer().use { serving ->
                    val client = serving.connect()
                    client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
                    Thread.sleep(changedAfter.inWholeMilliseconds)
                    serving.limits = SHORT_LIMITS.copy(idleTimeout = 10.seconds)
                    Thread.sleep(3_000 - changedAfter.inWholeMilliseconds)
                    client.send("GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                    client.readRest() shouldEndWith "\r\n\r\n"
                    serving.handled.map { it.target } shouldBe listOf("/1", "/2")
                }
            }
        }

        test("a kept connection takes a body that newer limits allow") {
            TestServer().use { serving ->
                val client = serving.connect()
                client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
                Thread.sleep(100)
                serving.limits = SHORT_LIMITS.copy(bodyBytes = 1_000)
                client.send("POST /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 500\r\n\r\n${"x".repeat(500)}")
                client.readRest() shouldEndWith "x".repeat(500)
            }
        }

        test("closing the connection cancels the handler") {
            val cancelled = CompletableDeferred<Unit>()
            val handler =
                HttpHandler {
                    try {
                        awaitCancellation()
                    } finally {
                        cancelled.complete(Unit)
                    }
                }
            TestServer(handler = handler).use { serving ->
                val client = serving.connect()
                client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                Thread.sleep(100)
                client.socket.close()
                runBlocking { withTimeout(2.seconds) { cancelled.await() } }
            }
        }

        test("an aborted response can't appear complete") {
            val handler =
                HttpHandler { exchange ->
                    exchange.begin(HttpResponseHead(200, emptyList()))
                    exchange.write("part".encodeToByteArray())
                    exchange.abort()
                }
            TestServer(handler = handler).use { serving ->
                val client = serving.connect()
                client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                client.readRest() shouldEndWith "4\r\npart\r\n"
            }
        }

        test("no second response is written into one that has begun, which ends broken") {
            val second =
                mapOf<String, suspend (HttpExchange) -> Unit>(
                    "respond" to { it.respond(502, emptyList(), "failed".encodeToByteArray()) },
                    "begin" to { it.begin(HttpResponseHead(500, emptyList())) },
                )
            for (next in second.values) {
                val handler =
                    HttpHandler { exchange ->
                        exchange.begin(HttpResponseHead(200, emptyList()))
                        exchange.write("part".encodeToByteArray())
                        next(exchange)
                        exchange.end()
                    }
                TestServer(SHORT_LIMITS.copy(idleTimeout = 10.seconds), handler).use { serving ->
                    val client = serving.connect()
                    client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                    client.readRest() shouldEndWith "4\r\npart\r\n"
                    serving.failures.poll(2, TimeUnit.SECONDS).shouldBeInstanceOf<IllegalStateException>()
                }
            }
        }

        test("a response that does not match its length ends its connection, and nothing after it can look like its rest") {
            for ((length, expected) in mapOf(10L to "part", 2L to "Content-Length: 2\r\n\r\n")) {
                val handler =
                    HttpHandler { exchange ->
                        exchange.begin(HttpResponseHead(200, emptyList(), length))
                        exchange.write("part".encodeToByteArray())
                        exchange.end()
                    }
                TestServer(SHORT_LIMITS.copy(idleTimeout = 10.seconds), handler).use { serving ->
                    val client = serving.connect()
                    client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
                    val received = client.readRest()
                    received.split("HTTP/1.1 200").size shouldBe 2
                    received.lowercase() shouldEndWith expected.lowercase()
                    serving.failures.poll(2, TimeUnit.SECONDS).shouldBeInstanceOf<IllegalStateException>()
                }
            }
        }

        test("a caller that does not read suspends the writer") {
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
            TestServer(handler = handler).use { serving ->
                val client = serving.connect()
                client.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                Thread.sleep(500)
                (written.get() < 2_000) shouldBe true
                (client.readRest().length > 2_000 * 10_000) shouldBe true
            }
        }

        test("a draining server completes active requests with Connection: close and closes idle connections") {
            withActiveRequest { serving, idle, busy, release ->
                serving.server.drain()
                idle.readRest() shouldBe ""
                release.complete(Unit)
                val response = busy.readRest()
                response shouldStartWith "HTTP/1.1 200"
                response.lowercase().contains("connection: close") shouldBe true
                response shouldEndWith "done"
            }
        }

        test("a server that has stopped reading completes active requests and accepts no further connection") {
            withActiveRequest { serving, idle, busy, release ->
                serving.server.stopReading(REFUSAL)
                idle.readRest() shouldBe ""
                Thread.sleep(100)
                shouldThrow<ConnectException> { serving.connect() }
                release.complete(Unit)
                busy.readRest() shouldEndWith "done"
                serving.server.activeRequests shouldBe 0
            }
        }
    })
