/**
 * Guards against requests that are judged by the limits of the time at which their connection was opened: whatever is read is judged
 * by the limits in force, on any connection.
 */
package lagoonrudder.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.CompletableDeferred
import lagoonrudder.model.CallerLimits
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val RAISED = CallerLimits(headerBytes = 8_000, bodyBytes = 1_000, headerTimeout = 3.seconds, idleTimeout = 10.seconds)

/** Which connection carries the request that is judged. */
private enum class Carrier {
    /** It has carried a request before the change. */
    KEPT,

    /** It was open before the change, and carried nothing. */
    UNUSED,

    /** It is opened after the change. */
    NEW,
}

private fun ScriptedConnection.readStatus(): Int? = readHead()?.substringAfter(' ')?.substringBefore(' ')?.toInt()

private fun get(fieldBytes: Int = 0) = "GET / HTTP/1.1\r\nHost: a\r\nX: ${"x".repeat(fieldBytes)}\r\n\r\n"

private fun longLine(bytes: Int) = "GET /${"x".repeat(bytes)} HTTP/1.1\r\nHost: a\r\n\r\n"

private fun chunked(bytes: Int) =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n0\r\n\r\n"

private fun post(bytes: Int) = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: $bytes\r\n\r\n${"x".repeat(bytes)}"

/** A request that the raised limits allow and the others don't, and the status that it gets under those. [parts] are sent [pause] apart. */
private class Judged(
    val name: String,
    val parts: List<String>,
    val rejection: Int,
    val pause: Duration = Duration.ZERO,
)

private val REQUESTS =
    listOf(
        Judged("a long field", listOf(get(5_000)), 431),
        Judged("a long request line", listOf(longLine(5_000)), 431),
        Judged("a body with a length", listOf(post(500)), 413),
        Judged("a chunked body", listOf(chunked(500)), 413),
        Judged("a slow head", listOf("GET / HTTP/1.1\r\nHos", "t: a\r\n\r\n"), 408, pause = 1.seconds),
    )

/** Changes the limits from [before] to [after] and returns the status of [request] over [carrier]. */
private fun statusAfterChange(
    before: CallerLimits,
    after: CallerLimits,
    carrier: Carrier,
    request: Judged,
): Int? =
    TestServer(before.copy(idleTimeout = 10.seconds)).use { serving ->
        val opened = serving.connect()
        if (carrier == Carrier.KEPT) {
            opened.send(get())
            opened.readStatus() shouldBe 200
        }
        serving.limits = after.copy(idleTimeout = 10.seconds)
        val connection = if (carrier == Carrier.NEW) serving.connect() else opened
        connection.send(request.parts.first())
        for (part in request.parts.drop(1)) {
            Thread.sleep(request.pause.inWholeMilliseconds)
            connection.send(part)
        }
        connection.readStatus()
    }

class ChangedLimitsTest :
    FunSpec({
        for (carrier in Carrier.entries) {
            for (request in REQUESTS) {
                test("${request.name}, carrier $carrier: allowed once its limit is raised, rejected once it is lowered") {
                    statusAfterChange(SHORT_LIMITS, RAISED, carrier, request) shouldBe 200
                    statusAfterChange(RAISED, SHORT_LIMITS, carrier, request) shouldBe request.rejection
                }
            }
        }

        test("a connection may be idle for as long as the limits in force allow") {
            for (carrier in Carrier.entries) {
                withClue(carrier) {
                    TestServer().use { serving ->
                        val opened = serving.connect()
                        if (carrier == Carrier.KEPT) opened.send(get()).also { opened.readStatus() shouldBe 200 }
                        serving.limits = RAISED
                        val connection = if (carrier == Carrier.NEW) serving.connect() else opened
                        Thread.sleep(3_500)
                        connection.send(get())
                        connection.readStatus() shouldBe 200
                        // The lower limit holds from the next request on: the caller may have stayed idle by the one before.
                        serving.limits = SHORT_LIMITS
                        connection.send(get())
                        connection.readStatus() shouldBe 200
                        val idleSince = TimeSource.Monotonic.markNow()
                        connection.readRest() shouldBe ""
                        (idleSince.elapsedNow() < 5.seconds) shouldBe true
                    }
                }
            }
        }

        test("a limit that is raised twice within a second holds at once") {
            TestServer(SHORT_LIMITS.copy(idleTimeout = 10.seconds)).use { serving ->
                val client = serving.connect()
                for (bytes in listOf(1_500, 3_000, 6_000)) {
                    serving.limits = serving.limits.copy(headerBytes = bytes + 500)
                    client.send(get(bytes))
                    client.readStatus() shouldBe 200
                    Thread.sleep(300)
                }
            }
        }

        test("limits that are raised while half a head has arrived hold for that head") {
            TestServer(SHORT_LIMITS.copy(idleTimeout = 10.seconds)).use { serving ->
                val client = serving.connect()
                val request = get(5_000)
                client.send(request.take(900))
                Thread.sleep(150)
                serving.limits = RAISED
                Thread.sleep(1_000)
                client.send(request.drop(900))
                client.readStatus() shouldBe 200
            }
        }

        test("a body that waits for its rest follows a longer idle timeout") {
            TestServer().use { serving ->
                val client = serving.connect()
                client.send(post(50).dropLast(20))
                Thread.sleep(300)
                serving.limits = RAISED
                Thread.sleep(1_000)
                client.send("x".repeat(20))
                client.readStatus() shouldBe 200
            }
        }

        test("a pipelined head is judged by the limits in force when it is read, and not by those of the request in front") {
            val release = CompletableDeferred<Unit>()
            val handler =
                HttpHandler { exchange ->
                    if (exchange.request.method == "POST") release.await()
                    exchange.respond(200, emptyList(), exchange.request.body)
                }
            TestServer(SHORT_LIMITS.copy(idleTimeout = 10.seconds), handler).use { serving ->
                val client = serving.connect()
                client.send(post(0))
                Thread.sleep(150)
                serving.limits = RAISED
                client.send(get(5_000).replace("Host", "Connection: close\r\nHost"))
                Thread.sleep(150)
                release.complete(Unit)
                client.readRest().split("HTTP/1.1 200").size shouldBe 3
            }
        }

        // Two daemons may go by different configurations for a while.
        test("a request that stays within the older and the newer limits is served under both") {
            TestServer(SHORT_LIMITS).use { older ->
                TestServer(RAISED).use { newer ->
                    for (serving in listOf(older, newer)) {
                        val client = serving.connect()
                        client.send(get(900))
                        client.readStatus() shouldBe 200
                    }
                }
            }
        }

        val endless =
            mapOf(
                "a request line" to Triple("GET /", "x", 431),
                "a field" to Triple("GET / HTTP/1.1\r\nX: ", "x", 431),
                "fields" to Triple("GET / HTTP/1.1\r\n", "X: y\r\n", 431),
                "the size of a chunk" to Triple("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "0", 400),
                "trailers" to Triple("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", 400),
            )
        for ((name, bytes) in endless) {
            test("$name without end gets its answer after a bounded number of bytes") {
                val (start, repeated, status) = bytes
                TestServer(SHORT_LIMITS.copy(headerTimeout = 10.seconds, idleTimeout = 10.seconds)).use { serving ->
                    val client = serving.connect()
                    client.send(start)
                    thread(isDaemon = true) {
                        // Two reads after twice the limit, one part at a time.
                        runCatching {
                            repeat(100) {
                                client.send(repeated.repeat(60))
                                Thread.sleep(5)
                            }
                        }
                    }
                    client.readRest() shouldStartWith "HTTP/1.1 $status"
                }
            }
        }

        test("unfinished heads of all connections together take no more than the memory for requests, and release it") {
            val memory = TestBodyMemory(20_000)
            val limits = SHORT_LIMITS.copy(headerBytes = 4_000, headerTimeout = 10.seconds, idleTimeout = 10.seconds)
            TestServer(limits, bodies = memory).use { serving ->
                val unfinished = List(8) { serving.connect() }
                unfinished.forEach { it.send(get(3_000).dropLast(4)) }
                val refused =
                    unfinished.filter {
                        it.socket.let { socket ->
                            Thread.sleep(50).let { socket.getInputStream().available() > 0 }
                        }
                    }
                refused.forEach { it.readRest() shouldStartWith "HTTP/1.1 503" }
                (memory.held <= 20_000) shouldBe true
                withClue("held ${memory.held}") { unfinished.size - refused.size shouldBe 6 }
                val others = serving.connect()
                others.send(get().replace("Host", "Connection: close\r\nHost"))
                others.readRest() shouldStartWith "HTTP/1.1 200"
                val complete = unfinished - refused.toSet()
                complete.first().send("\r\n\r\n")
                complete.first().readStatus() shouldBe 200
                complete.forEach { it.socket.close() }
                while (memory.held > 0) Thread.sleep(10)
            }
        }
    })
