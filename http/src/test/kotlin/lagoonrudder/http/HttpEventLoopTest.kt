package lagoonrudder.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import lagoonrudder.model.Address
import java.net.ServerSocket
import java.net.SocketTimeoutException

private const val ROUNDS = 40
private const val CLOSE_LIMIT_MILLISECONDS = 3_000L

private fun isFree(port: Int): Boolean = runCatching { ServerSocket(port).close() }.isSuccess

class HttpEventLoopTest :
    FunSpec({
        // Callers of a process that had ended its loop waited for answers on connections that nobody served.
        test("a loop that is closed leaves no port in use and no connection open") {
            repeat(ROUNDS) { round ->
                val loop = HttpEventLoop("test")
                val scope = CoroutineScope(SupervisorJob() + loop.dispatcher)
                val server =
                    HttpServer.start(loop, scope, Address("127.0.0.1", 0), { SHORT_LIMITS }) { awaitCancellation() }
                val callers = List(3) { scriptedClient(server.port) }
                callers.forEach { it.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n") }
                loop.close()
                withClue("round $round") {
                    callers.forEach { caller ->
                        caller.socket.soTimeout = CLOSE_LIMIT_MILLISECONDS.toInt()
                        val isOpen = runCatching { caller.readRest() }.exceptionOrNull() is SocketTimeoutException
                        isOpen shouldBe false
                    }
                    val end = System.nanoTime() + CLOSE_LIMIT_MILLISECONDS * 1_000_000
                    while (!isFree(server.port) && System.nanoTime() < end) Thread.sleep(5)
                    isFree(server.port) shouldBe true
                }
            }
        }
    })
