package lagoonrudder.http

import arrow.core.getOrElse
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.model.Address
import lagoonrudder.model.Failure
import lagoonrudder.model.HeaderField
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.SystemClock
import java.net.ServerSocket
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

private suspend fun HttpClient.fetch(address: Address) = exchange(address, get(), PEER, 3.seconds)

class HttpClientTest :
    FunSpec({
        test("a connection is used again while the server keeps it") {
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

        test("a connection that its server keeps for a second or less is not used again") {
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

        test("bytes after a whole answer belong to no request and end the connection") {
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

        test("an answer to an earlier request is skipped") {
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 4\r\n\r\nlate")
                connection.send("HTTP/1.1 200 OK\r\nRequest-Id: new\r\nContent-Length: 2\r\n\r\nok")
                connection.readRest()
            }.use { server ->
                withClient { client ->
                    val call =
                        client
                            .send(server.address, get(), PEER) { it.field("Request-Id") == "new" }
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

        test("an answer without a length ends with its connection, but not with a reset") {
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

        test("an answer that is shorter than its length is broken") {
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart")
            }.use { server -> withClient { it.fetch(server.address).leftOrNull().shouldBeInstanceOf<Failure.Interrupted>() } }
        }

        test("a chunked answer that breaks off is broken") {
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
            }.use { server -> withClient { it.fetch(server.address).leftOrNull().shouldBeInstanceOf<Failure.Interrupted>() } }
        }

        test("bytes that are no answer are broken") {
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("garbage that is no answer\r\n\r\n")
                connection.readRest()
            }.use { server -> withClient { it.fetch(server.address).leftOrNull().shouldBeInstanceOf<Failure.Interrupted>() } }
        }

        test("an answer before the request was read is passed on") {
            ScriptedServer { connection ->
                connection.send("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                connection.readRest()
            }.use { server ->
                withClient { client ->
                    val request = HttpRequest("POST", "/", emptyList(), ByteArray(100_000))
                    val answer = client.exchange(server.address, request, PEER, 3.seconds)
                    // Before its request was written the connection may see the answer as belonging to none.
                    answer.fold({ it.shouldBeInstanceOf<Failure.Interrupted>() }, { it.head.status shouldBe 413 })
                }
            }
        }

        test("nothing is lost when the wait for an event ends just as it arrives") {
            val pieces = 400
            ScriptedServer { connection ->
                connection.readHead()
                connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                repeat(pieces) {
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
                    body.toString() shouldBe (0 until pieces).joinToString("") { "%04d".format(it) }
                }
            }
        }

        test("no connection means that nothing was sent") {
            val free = ServerSocket(0).use { it.localPort }
            withClient { client ->
                client.fetch(Address("127.0.0.1", free)).leftOrNull().shouldBeInstanceOf<Failure.Unreachable>()
            }
        }

        test("a silent server is given up after the limit, and its connection is closed") {
            ScriptedServer { connection -> connection.readRest() }.use { server ->
                withClient { client ->
                    client.exchange(server.address, get(), PEER, 200.milliseconds).leftOrNull().shouldBeInstanceOf<Failure.TimedOut>()
                }
            }
        }

        test("fields go out as they were given") {
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
