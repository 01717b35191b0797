package lagoonrudder.http

import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.model.Address
import lagoonrudder.model.Failure
import lagoonrudder.model.HeaderField
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Step
import lagoonrudder.model.SystemClock
import java.net.ServerSocket
import java.net.SocketException
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val PEER = Peer(PeerRole.TARGET, "scripted")
private const val OK_BODY = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

private fun get() = HttpRequest("GET", "/", emptyList())

private fun withClient(block: suspend (HttpClient) -> Unit) {
    HttpEventLoop("test").use { loop ->
        val client = HttpClient(loop, SystemClock())
        runBlocking { withContext(loop.dispatcher) { block(client) } }
    }
}

private fun ownerOf(
    head: HttpResponseHead,
    id: String,
) = when (head.field("Request-Id")) {
    null -> ResponseOwner.UNKNOWN
    id -> ResponseOwner.THIS_REQUEST
    else -> ResponseOwner.OTHER_REQUEST
}

/** Returns the first event of the response to a request with [id], and reads the rest of a complete response. */
private suspend fun HttpClient.firstEvent(
    address: Address,
    id: String,
): HttpEvent {
    val call = send(address, get(), PEER) { ownerOf(it, id) }.getOrElse { error(it.describe()) }
    val first = call.next()
    var last = first
    while (last is HttpEvent.Head || last is HttpEvent.Bytes) last = call.next()
    return first
}

private suspend fun HttpClient.fetch(address: Address) = exchange(address, get(), PEER, 3.seconds)

class HttpClientTest :
    FunSpec({
        test("a connection is reused while the server keeps it alive") {
            ScriptedServer { connection -> while (connection.readHead() != null) connection.send(OK_BODY) }.use { server ->
                withClient { client ->
                    repeat(3) {
                        client
                            .fetch(server.address)
                            .getOrElse { error(it.describe()) }
                            .body
                            .decodeToString() shouldBe "ok"
                    }
                    server.connections.get() shouldBe 1
                }
            }
        }

        test("a request that is withdrawn once its connection is open is not sent, and the next one is sent there") {
            val heads = LinkedBlockingQueue<String>()
            ScriptedServer { connection ->
                while (true) {
                    heads += connection.readHead() ?: break
                    connection.send(OK_BODY)
                }
            }.use { server ->
                withClient { client ->
                    val withdrawn = Failure.Declined(Step.CHOOSE_TARGET, Peer.SELF, "withdrawn")
                    client.send(server.address, PEER) { withdrawn.left() }.leftOrNull() shouldBe withdrawn
                    client
                        .send(
                            server.address,
                            PEER,
                        ) { HttpRequest("GET", "/next", emptyList()).right() }
                        .getOrElse { error(it.describe()) }
                    heads.poll(3, TimeUnit.SECONDS).orEmpty() shouldStartWith "GET /next "
                    server.connections.get() shouldBe 1
                }
            }
        }

        // After an orderly close, a server that stood still would serve the request later, for a caller that has left.
        test("a request that is given up before its response is reset, not closed in order") {
            val ends = LinkedBlockingQueue<Result<String>>()
            ScriptedServer { connection ->
                connection.readHead()
                ends += runCatching { connection.readRest() }
            }.use { server ->
                withClient { client ->
                    val call = client.send(server.address, get(), PEER).getOrElse { error(it.describe()) }
                    withTimeoutOrNull(100.milliseconds) { call.next() }.shouldBeNull()
                    call.abandon()
                    val end = withContext(Dispatchers.IO) { ends.poll(3, TimeUnit.SECONDS) }
                    end?.exceptionOrNull().shouldBeInstanceOf<SocketException>()
                }
            }
        }

        test("a caller that leaves before its request is sent on an open connection closes that") {
            val received = LinkedBlockingQueue<String>()
            ScriptedServer { connection -> received += connection.readRest() }.use { server ->
                withClient { client ->
                    withTimeoutOrNull(200.milliseconds) { client.send(server.address, PEER) { awaitCancellation() } }.shouldBeNull()
                    received.poll(3, TimeUnit.SECONDS) shouldBe ""
                }
            }
        }

        test("a connection with a keep-alive timeout of a second is not reused") {
            ScriptedServer { connection ->
                while (connection.readHead() !=
                    null
                ) {
                    connection.send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n")
                }
            }.use { server ->
                withClient { client ->
                    repeat(2) { client.fetch(server.address) }
                    server.connections.get() shouldBe 2
                }
            }
        }

        test("unsolicited bytes after a complete response close the connection") {
            ScriptedServer { connection ->
                while (connection.readHead() != null) {
                    connection.send(OK_BODY)
                    Thread.sleep(50)
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
                }
            }.use { server ->
                withClient { client ->
                    repeat(2) {
                        client
                            .fetch(server.address)
                            .getOrElse { error(it.describe()) }
                            .body
                            .decodeToString() shouldBe "ok"
                        kotlinx.coroutines.delay(150.milliseconds)
                    }
                    server.connections.get() shouldBe 2
                }
            }
        }

        test("a response to an earlier request is skipped") {
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 4\r\n\r\nlate")
                connection.send("HTTP/1.1 200 OK\r\nRequest-Id: new\r\nContent-Length: 2\r\n\r\nok")
                connection.readRest()
            }.use { server ->
                withClient { client ->
                    val call =
                        client
                            .send(server.address, get(), PEER) { ownerOf(it, "new") }
                            .getOrElse { error(it.describe()) }
                    call
                        .next()
                        .shouldBeInstanceOf<HttpEvent.Head>()
                        .head
                        .field("Request-Id") shouldBe "new"
                    call
                        .next()
                        .shouldBeInstanceOf<HttpEvent.Bytes>()
                        .data
                        .decodeToString() shouldBe "ok"
                    call.next() shouldBe HttpEvent.End
                }
            }
        }

        test("a late second copy of a response is not taken for the response to the next request on its connection") {
            val copies =
                mapOf(
                    "with the id of its request" to "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nextra",
                    "without an id" to "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra",
                    "in chunks and without an id" to "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nextra\r\n0\r\n\r\n",
                )
            for ((name, copy) in copies) {
                ScriptedServer { connection ->
                    connection.readHead()
                    connection.send("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nok")
                    connection.readHead() ?: return@ScriptedServer
                    connection.send(copy)
                    connection.send("HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 2\r\n\r\nok")
                    connection.readRest()
                }.use { server ->
                    withClient { client ->
                        client.firstEvent(server.address, "1").shouldBeInstanceOf<HttpEvent.Head>()
                        withClue(name) {
                            when (val second = client.firstEvent(server.address, "2")) {
                                is HttpEvent.Head -> second.head.field("Request-Id") shouldBe "2"
                                else -> second.shouldBeInstanceOf<HttpEvent.Broken>()
                            }
                        }
                    }
                }
            }
        }

        test("a copy of a response in the same segment, or with its first bytes there, discards the connection") {
            for (copy in listOf(OK_BODY, "HTTP/1.1 2")) {
                ScriptedServer { connection ->
                    while (connection.readHead() != null) connection.send(OK_BODY + copy)
                }.use { server ->
                    withClient { client ->
                        repeat(2) {
                            client
                                .fetch(server.address)
                                .getOrElse { error(it.describe()) }
                                .body
                                .decodeToString() shouldBe "ok"
                        }
                        server.connections.get() shouldBe 2
                    }
                }
            }
        }

        test("a response without an id is accepted on a connection that has carried no other request") {
            ScriptedServer { connection ->
                connection.readHead()
                connection.send(OK_BODY)
                connection.readRest()
            }.use { server -> withClient { it.firstEvent(server.address, "1").shouldBeInstanceOf<HttpEvent.Head>() } }
        }

        test("a response without an id is not accepted after a response to another request, even on a new connection") {
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: old\r\nContent-Length: 0\r\n\r\n")
                connection.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                connection.readRest()
            }.use { server -> withClient { it.firstEvent(server.address, "new").shouldBeInstanceOf<HttpEvent.Broken>() } }
        }

        test("a server that sends without end but never starts the response is given up after a bounded number of bytes") {
            val endless =
                mapOf(
                    "blank lines" to "\r\n",
                    "informational responses" to "HTTP/1.1 102 Processing\r\n\r\n",
                    "responses to another request" to "HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 4\r\n\r\nlate",
                    "a field" to "X",
                )
            for ((name, bytes) in endless) {
                val sent = AtomicLong()
                ScriptedServer { connection ->
                    connection.readHead()
                    if (name == "a field") connection.send("HTTP/1.1 200 OK\r\nX: ")
                    while (true) {
                        connection.send(bytes.repeat(100))
                        sent.addAndGet(100L * bytes.length)
                        Thread.sleep(1)
                    }
                }.use { server ->
                    withClient { client ->
                        withClue(name) {
                            withTimeoutOrNull(8.seconds) { client.firstEvent(server.address, "new") }
                                .shouldBeInstanceOf<HttpEvent.Broken>()
                            sent.get() shouldBeLessThan 1_000_000L
                        }
                    }
                }
            }
        }

        test("a body of another request that never ends is given up after a bounded number of bytes") {
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("HTTP/1.1 200 OK\r\nRequest-Id: old\r\nTransfer-Encoding: chunked\r\n\r\n")
                while (true) {
                    connection.send("400\r\n" + "x".repeat(1_024) + "\r\n")
                    Thread.sleep(1)
                }
            }.use { server ->
                withClient { client ->
                    withTimeoutOrNull(8.seconds) { client.firstEvent(server.address, "new") }.shouldBeInstanceOf<HttpEvent.Broken>()
                }
            }
        }

        // Each piece was kept as an event of its own, which took fifty times the memory of its byte.
        test("unread pieces of a byte take no more memory than their bytes") {
            val pieces = 30_000
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(pieces) + "0\r\n\r\n")
                connection.readRest()
            }.use { server ->
                withClient { client ->
                    val call = client.send(server.address, get(), PEER).getOrElse { error(it.describe()) }
                    delay(1.seconds)
                    val sizes = mutableListOf<Int>()
                    while (true) {
                        val event = call.next()
                        if (event is HttpEvent.Bytes) sizes += event.data.size
                        if (event is HttpEvent.End || event is HttpEvent.Broken) break
                    }
                    sizes.sum() shouldBe pieces
                    sizes.size shouldBeLessThan pieces / 100
                }
            }
        }

        for ((name, start) in mapOf("extensions of a chunk" to "1;x=", "trailers" to "0\r\nX: ")) {
            test("$name without end are given up") {
                ScriptedServer { connection ->
                    connection.readHead()
                    connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n$start")
                    while (true) {
                        connection.send("x".repeat(1_000))
                        Thread.sleep(1)
                    }
                }.use { server ->
                    withClient { client ->
                        val call = client.send(server.address, get(), PEER).getOrElse { error(it.describe()) }
                        val last =
                            withTimeoutOrNull(8.seconds) {
                                var event = call.next()
                                while (event is HttpEvent.Head || event is HttpEvent.Bytes) event = call.next()
                                event
                            }
                        last.shouldBeInstanceOf<HttpEvent.Broken>()
                    }
                }
            }
        }

        test("a response without a length ends when its connection closes, but not when it is reset") {
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("HTTP/1.1 200 OK\r\n\r\nall")
            }.use { server ->
                withClient {
                    it
                        .fetch(server.address)
                        .getOrElse { error("") }
                        .body
                        .decodeToString() shouldBe "all"
                }
            }
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("HTTP/1.1 200 OK\r\n\r\npart")
                Thread.sleep(50)
                connection.reset()
            }.use { server -> withClient { it.fetch(server.address).leftOrNull().shouldBeInstanceOf<Failure.Interrupted>() } }
        }

        test("a response shorter than its Content-Length is reported as interrupted") {
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart")
            }.use { server -> withClient { it.fetch(server.address).leftOrNull().shouldBeInstanceOf<Failure.Interrupted>() } }
        }

        test("a truncated chunked response is reported as interrupted") {
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
            }.use { server -> withClient { it.fetch(server.address).leftOrNull().shouldBeInstanceOf<Failure.Interrupted>() } }
        }

        // Clients would get what there is of the head as a complete response with an empty body.
        test("a head that breaks off anywhere before its blank line is reported as interrupted") {
            val heads =
                listOf(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: r\r\n\r\n",
                    "HTTP/1.1 200 OK\nRequest-Id: r\nContent-Length: 12\n\n",
                )
            for (head in heads) {
                for (length in 1 until head.length) {
                    val sent = head.take(length)
                    ScriptedServer { connection ->
                        connection.readHead()
                        connection.send(sent)
                    }.use { server ->
                        withClient { client ->
                            withClue(sent) { client.firstEvent(server.address, "r").shouldBeInstanceOf<HttpEvent.Broken>() }
                        }
                    }
                }
            }
        }

        test("an invalid response is reported as interrupted") {
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("garbage that is no answer\r\n\r\n")
                connection.readRest()
            }.use { server -> withClient { it.fetch(server.address).leftOrNull().shouldBeInstanceOf<Failure.Interrupted>() } }
        }

        // A status of 000 was skipped as an informational one, and the request hung until its deadline.
        test("a response whose status is not between 100 and 599 is reported as broken at once, and its connection is closed") {
            for (status in listOf("000", "001", "99", "099", "600", "999", "1000")) {
                for (framing in listOf("Content-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n")) {
                    ScriptedServer { connection ->
                        connection.readHead()
                        connection.send("HTTP/1.1 $status Odd\r\nRequest-Id: r\r\n$framing")
                        connection.readHead()
                        connection.send(OK_BODY)
                    }.use { server ->
                        withClient { client ->
                            withClue("$status $framing") {
                                val event = withTimeoutOrNull(3.seconds) { client.firstEvent(server.address, "r") }
                                event.shouldBeInstanceOf<HttpEvent.Broken>().disconnected shouldBe false
                                client.fetch(server.address)
                                server.connections.get() shouldBe 2
                            }
                        }
                    }
                }
            }
        }

        test("an informational response is skipped, and the highest valid status is returned") {
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n")
                connection.readRest()
            }.use { server ->
                withClient {
                    it
                        .fetch(server.address)
                        .getOrElse { error("") }
                        .head.status shouldBe 599
                }
            }
        }

        test("a response that is sent before the request was read is returned") {
            ScriptedServer { connection ->
                connection.send("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                connection.readRest()
            }.use { server ->
                withClient { client ->
                    val request = HttpRequest("POST", "/", emptyList(), ByteArray(100_000))
                    val response = client.exchange(server.address, request, PEER, 3.seconds)
                    // If the response arrives before the request is written, the connection may treat it as unsolicited.
                    response.fold({ it.shouldBeInstanceOf<Failure.Interrupted>() }, { it.head.status shouldBe 413 })
                }
            }
        }

        test("no event is lost when a call to next is cancelled as the event arrives") {
            val chunks = 400
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                repeat(chunks) {
                    connection.send("4\r\n%04d\r\n".format(it))
                    Thread.sleep(1)
                }
                connection.send("0\r\n\r\n")
            }.use { server ->
                withClient { client ->
                    val call = client.send(server.address, get(), PEER).getOrElse { error(it.describe()) }
                    val body = StringBuilder()
                    while (true) {
                        val event = withTimeoutOrNull(1.milliseconds) { call.next() } ?: continue
                        if (event is HttpEvent.Bytes) body.append(event.data.decodeToString())
                        if (event == HttpEvent.End) break
                    }
                    body.toString() shouldBe (0 until chunks).joinToString("") { "%04d".format(it) }
                }
            }
        }

        test("a failure to connect is reported as unreachable") {
            val free = ServerSocket(0).use { it.localPort }
            withClient { client ->
                client.fetch(Address("127.0.0.1", free)).leftOrNull().shouldBeInstanceOf<Failure.Unreachable>()
            }
        }

        test("a server that does not respond times out") {
            ScriptedServer { connection -> connection.readRest() }.use { server ->
                withClient { client ->
                    client.exchange(server.address, get(), PEER, 200.milliseconds).leftOrNull().shouldBeInstanceOf<Failure.TimedOut>()
                }
            }
        }

        // Such a response became a failure although the request had run.
        test("a response with long header fields is complete, and fields without end are given up") {
            ScriptedServer { connection ->
                while (connection.readHead() != null) {
                    connection.send(
                        "HTTP/1.1 200 OK\r\nX-Long: ${"x".repeat(30_000)}\r\nY-Long: ${"y".repeat(30_000)}\r\nContent-Length: 2\r\n\r\nok",
                    )
                }
            }.use { server ->
                withClient { client ->
                    val response = client.fetch(server.address).getOrElse { error(it.describe()) }
                    response.body.decodeToString() shouldBe "ok"
                    response.head
                        .field("Y-Long")
                        .orEmpty()
                        .length shouldBe 30_000
                }
            }
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("HTTP/1.1 200 OK\r\n")
                while (true) connection.send("X: ${"x".repeat(1_000)}\r\n")
            }.use { server ->
                withClient { client -> client.fetch(server.address).leftOrNull().shouldBeInstanceOf<Failure.Interrupted>() }
            }
        }

        test("request target and header fields are sent unchanged") {
            var seen = ""
            ScriptedServer { connection ->
                seen = connection.readHead().orEmpty()
                connection.send(OK_BODY)
            }.use { server ->
                withClient { client ->
                    client.exchange(
                        server.address,
                        HttpRequest("GET", "/a?b=%2F", listOf(HeaderField("Host", "name"), HeaderField("X-A", "1"))),
                        PEER,
                        3.seconds,
                    )
                }
            }
            seen shouldBe "GET /a?b=%2F HTTP/1.1\r\nHost: name\r\nX-A: 1\r\n\r\n"
        }
    })
