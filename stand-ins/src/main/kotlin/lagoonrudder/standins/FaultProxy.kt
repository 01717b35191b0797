/**
 * A TCP proxy that injects faults between a client and a server: delay, disconnection, loss in one direction, stalls, and a
 * close after a given number of bytes.
 */
package lagoonrudder.standins

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runInterruptible
import lagoonrudder.model.Address
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A fault that the proxy applies to the bytes it forwards. */
sealed class Fault {
    data object None : Fault()

    data class Delay(
        val time: Duration,
    ) : Fault()

    /** Closes open connections, and new ones as soon as they are accepted. */
    data object Disconnect : Fault()

    /** Keeps connections open and accepts new ones, but forwards nothing. */
    data object Stall : Fault()

    /** Stalls only the connections that are open at the time of injection; new ones work. */
    data object StallExisting : Fault()

    /** Drops bytes to the server and forwards those to the caller. */
    data object DropToServer : Fault()

    /** Closes each connection after [bytes] to the server. */
    data class CloseAfterToServer(
        val bytes: Long,
    ) : Fault()

    /** Closes each connection after [bytes] to the caller. */
    data class CloseAfterToCaller(
        val bytes: Long,
    ) : Fault()
}

class FaultProxy(
    private val server: () -> Address,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName(LOOPBACK))
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val open = ConcurrentHashMap.newKeySet<ProxiedConnection>()

    @Volatile
    private var fault: Fault = Fault.None

    val address = Address(LOOPBACK, listener.localPort)

    /** The number of bytes forwarded, both directions together. */
    val bytes = AtomicLong()

    init {
        scope.launch { accept() }
    }

    /** Applies [next] from now on, in place of the previous fault. */
    fun inject(next: Fault) {
        fault = next
        when (next) {
            Fault.Disconnect -> open.forEach { it.close() }
            Fault.StallExisting -> open.forEach { it.stalled = true }
            Fault.None, is Fault.Delay, Fault.Stall, Fault.DropToServer -> Unit
            is Fault.CloseAfterToServer, is Fault.CloseAfterToCaller -> Unit
        }
    }

    override fun close() {
        listener.close()
        open.forEach { it.close() }
        scope.cancel()
    }

    private suspend fun accept() {
        while (!listener.isClosed) {
            val socket =
                try {
                    runInterruptible { listener.accept() }
                } catch (_: IOException) {
                    return
                }
            scope.launch { connect(socket) }
        }
    }

    private fun connect(caller: Socket) {
        if (fault is Fault.Disconnect) return caller.close()
        val target = server()
        val upstream =
            try {
                Socket(target.host, target.port)
            } catch (_: IOException) {
                return caller.close()
            }
        val connection = ProxiedConnection(caller, upstream)
        open += connection
        scope.launch { connection.pump(caller, upstream, toServer = true) }
        scope.launch { connection.pump(upstream, caller, toServer = false) }
    }

    private inner class ProxiedConnection(
        private val caller: Socket,
        private val upstream: Socket,
    ) {
        @Volatile
        var stalled = false

        suspend fun pump(
            from: Socket,
            to: Socket,
            toServer: Boolean,
        ) {
            val buffer = ByteArray(BUFFER_BYTES)
            var forwarded = 0L
            try {
                while (true) {
                    val count = runInterruptible { from.getInputStream().read(buffer) }
                    if (count < 0) break
                    val allowed = withinLimit(forwarded, count, toServer)
                    if (applyFault(toServer)) to.getOutputStream().write(buffer, 0, allowed)
                    forwarded += allowed
                    bytes.addAndGet(allowed.toLong())
                    if (allowed < count) break
                }
            } catch (_: IOException) {
                // Either side closed its connection: both are closed below.
            } finally {
                close()
            }
        }

        /** Waits as the current fault requires and returns whether the bytes are forwarded. */
        private suspend fun applyFault(toServer: Boolean): Boolean {
            while (stalled || fault is Fault.Stall) delay(STALL_POLL_INTERVAL)
            when (val current = fault) {
                is Fault.Delay -> delay(current.time)
                Fault.DropToServer -> return !toServer
                Fault.None, Fault.Disconnect, Fault.Stall, Fault.StallExisting -> Unit
                is Fault.CloseAfterToServer, is Fault.CloseAfterToCaller -> Unit
            }
            return true
        }

        private fun withinLimit(
            forwarded: Long,
            count: Int,
            toServer: Boolean,
        ): Int {
            val limit =
                when (val current = fault) {
                    is Fault.CloseAfterToServer -> if (toServer) current.bytes else Long.MAX_VALUE
                    is Fault.CloseAfterToCaller -> if (toServer) Long.MAX_VALUE else current.bytes
                    Fault.None, is Fault.Delay, Fault.Disconnect, Fault.Stall, Fault.StallExisting, Fault.DropToServer -> Long.MAX_VALUE
                }
            return (limit - forwarded).coerceIn(0, count.toLong()).toInt()
        }

        fun close() {
            open -= this
            caller.close()
            upstream.close()
        }
    }

    private companion object {
        const val BACKLOG = 200
        const val BUFFER_BYTES = 16_384
        val STALL_POLL_INTERVAL = 20.milliseconds
    }
}
