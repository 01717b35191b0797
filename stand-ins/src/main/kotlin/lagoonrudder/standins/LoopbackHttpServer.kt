/**
 * A small HTTP server on a free port of loopback, the base of every stand-in.
 */
package lagoonrudder.standins

import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.runBlocking
import kotlinx.io.readByteArray
import lagoonrudder.model.Address

const val LOOPBACK = "127.0.0.1"
private const val GRACE_MILLISECONDS = 50L

class LoopbackHttpServer(
    port: Int = 0,
    handle: suspend (ApplicationCall) -> Unit,
) : AutoCloseable {
    private val server =
        embeddedServer(CIO, port = port, host = LOOPBACK) { intercept(ApplicationCallPipeline.Call) { handle(call) } }

    val address: Address =
        runBlocking {
            server.startSuspend(wait = false)
            Address(
                LOOPBACK,
                server.engine
                    .resolvedConnectors()
                    .first()
                    .port,
            )
        }

    override fun close() {
        server.stop(GRACE_MILLISECONDS, GRACE_MILLISECONDS)
    }
}

/** The whole body of a call. */
suspend fun ApplicationCall.body(): ByteArray = receiveChannel().readRemaining().readByteArray()
