package lagoonrudder.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import lagoonrudder.model.Address
import lagoonrudder.model.CallerLimits
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val LIMITS = CallerLimits(headerBytes = 1_000, bodyBytes = 40_000, headerTimeout = 3.seconds, idleTimeout = 3.seconds)
private const val LARGE_BODY = 4_194_304

/** A server with [memory] for bodies that responds to requests with a body once [release] is complete. */
private class BodyServer(
    memory: BodyMemory,
) : AutoCloseable {
    private val loop = HttpEventLoop("test")
    val release = CompletableDeferred<Unit>()
    private val scope = CoroutineScope(SupervisorJob() + loop.dispatcher)
    private val server =
        HttpServer.start(loop, scope, Address("127.0.0.1", 0), { LIMITS }, bodies = memory) { exchange ->
            if (exchange.request.target == "/held") release.await()
            exchange.respond(200, emptyList(), "${exchange.request.body.size} bytes".encodeToByteArray())
        }

    fun connect() = scriptedClient(server.port)

    override fun close() {
        server.close()
        loop.close()
    }
}

private fun post(
    target: String,
    size: Int,
) = "POST $target HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: $size\r\n\r\n"

/** Waits until [condition] holds, for five seconds at most. */
private suspend fun await(condition: () -> Boolean) = withTimeout(5.seconds) { while (!condition()) delay(10.milliseconds) }

/** Sends a body of [size] bytes to the server at [port] and returns the response; empty if the connection ends without one. */
private fun upload(
    port: Int,
    size: Int,
): String {
    val caller = scriptedClient(port)
    return caller.socket.use {
        it.soTimeout = 20_000
        runCatching { caller.send(post("/", size) + "x".repeat(size)) }
        runCatching { caller.readRest() }.getOrDefault("")
    }
}

/** Guards against a process that runs out of memory under many large request bodies. */
class RequestBodyTest :
    FunSpec({
        test("a body for which there is no memory is refused before it is read, and small requests are served meanwhile") {
            val memory = TestBodyMemory(40_000)
            BodyServer(memory).use { serving ->
                val first = serving.connect()
                first.send(post("/held", 30_000) + "x".repeat(30_000))
                await { memory.held == 30_000L }
                val second = serving.connect()
                second.send(post("/", 20_000))
                val refusal = second.readRest()
                refusal shouldStartWith "HTTP/1.1 503"
                refusal.lowercase() shouldContain "retry-after: 0.5\r\n"
                val small = serving.connect()
                small.send(post("/", 10) + "x".repeat(10))
                small.readRest() shouldEndWith "10 bytes"
                serving.release.complete(Unit)
                first.readRest() shouldEndWith "30000 bytes"
                await { memory.held == 0L }
                val third = serving.connect()
                third.send(post("/", 20_000) + "x".repeat(20_000))
                third.readRest() shouldEndWith "20000 bytes"
            }
        }

        test("a chunked body is refused once there is no memory for the rest of it, and releases what it held") {
            val memory = TestBodyMemory(40_000)
            BodyServer(memory).use { serving ->
                val held = serving.connect()
                held.send(post("/held", 20_000) + "x".repeat(20_000))
                await { memory.held == 20_000L }
                val chunked = serving.connect()
                chunked.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
                chunked.send("2710\r\n${"x".repeat(10_000)}\r\n".repeat(3))
                chunked.readRest() shouldStartWith "HTTP/1.1 503"
                await { memory.held == 20_000L }
                serving.release.complete(Unit)
                held.readRest() shouldEndWith "20000 bytes"
            }
        }

        test("bodies of callers that disconnect or exceed the limit release their memory") {
            val memory = TestBodyMemory(100_000)
            BodyServer(memory).use { serving ->
                val unfinished = serving.connect()
                unfinished.send(post("/", 30_000) + "x")
                val waiting = serving.connect()
                waiting.send(
                    post("/held", 20_000).replace("Connection: close\r\n", "") + "x".repeat(20_000) + post("/", 5_000) + "x".repeat(5_000),
                )
                await { memory.held >= 55_000 }
                unfinished.socket.close()
                waiting.socket.close()
                await { memory.held == 0L }
                val long = serving.connect()
                long.send(
                    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + "7530\r\n${"x".repeat(30_000)}\r\n".repeat(2),
                )
                long.readRest() shouldStartWith "HTTP/1.1 413"
                await { memory.held == 0L }
            }
        }

        // Forty bodies of the largest size are three times the heap of an entry daemon.
        test("many large bodies at once don't exhaust the heap of an entry daemon, and other requests are served meanwhile") {
            SmallHeapProcess().use { server ->
                val callers = Executors.newFixedThreadPool(40)
                val large = List(40) { callers.submit(Callable { upload(server.port, LARGE_BODY) }) }
                val small = mutableListOf<String>()
                while (large.any { !it.isDone }) {
                    small += upload(server.port, 1_000)
                    Thread.sleep(20)
                }
                callers.shutdown()
                server.isAlive shouldBe true
                withClue("small requests") { small.filterNot { it.startsWith("HTTP/1.1 200") }.shouldBeEmpty() }
                val answers = large.map { it.get().lineSequence().first() }
                withClue("large requests: ${answers.groupingBy { it }.eachCount()}") {
                    answers.filter { it.startsWith("HTTP/1.1 200") }.shouldNotBeEmpty()
                    answers.filterNot { it.startsWith("HTTP/1.1 200") || it.startsWith("HTTP/1.1 503") }.shouldBeEmpty()
                }
            }
        }

        // Each head is within its limit so far; together they are more than the heap of an entry daemon.
        test("many unfinished heads don't exhaust the heap of an entry daemon, and other requests are served meanwhile") {
            SmallHeapProcess().use { server ->
                val head = "GET /${"x".repeat(15_000)} HTTP/1.1\r\nHost: a\r\nX: ${"x".repeat(15_000)}"
                val unfinished = List(2_000) { scriptedClient(server.port).apply { runCatching { send(head) } } }
                val others = List(20) { upload(server.port, 1_000) }
                server.isAlive shouldBe true
                withClue("other requests") { others.filterNot { it.startsWith("HTTP/1.1 200") }.shouldBeEmpty() }
                unfinished.forEach { it.socket.close() }
            }
        }
    })
