package lagoonrudder.http

import lagoonrudder.model.Address
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A server that runs [script] on each connection, which controls every byte sent. */
internal class ScriptedServer(
    private val script: (ScriptedConnection) -> Unit,
) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    val connections = AtomicInteger()
    val address = Address("127.0.0.1", server.localPort)

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                connections.incrementAndGet()
                thread(isDaemon = true) { socket.use { runCatching { script(ScriptedConnection(it)) } } }
            }
        }
    }

    override fun close() = server.close()
}

internal class ScriptedConnection(
    val socket: Socket,
) {
    private val input: InputStream = socket.getInputStream()

    /** Reads up to the blank line after a head, or returns null when the peer has closed the connection. */
    fun readHead(): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = input.read()
            if (next < 0) return null
            head.append(next.toChar())
        }
        return head.toString()
    }

    /** Reads until the peer closes the connection. */
    fun readRest(): String = input.readBytes().decodeToString()

    fun send(text: String) {
        socket.getOutputStream().write(text.encodeToByteArray())
        socket.getOutputStream().flush()
    }

    /** Closes the connection with a TCP reset. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }
}

internal fun scriptedClient(port: Int) = ScriptedConnection(Socket(InetAddress.getLoopbackAddress(), port).apply { soTimeout = 5_000 })
