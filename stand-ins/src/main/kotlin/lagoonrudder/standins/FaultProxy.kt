/**
 * A TCP proxy that injects faults between two ends: delay, cut, one-way cut, silence, corruption, and a close after a
 * given number of bytes.
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

/** What happens to bytes that cross the proxy. */
sealed class Fault {
    data object None : Fault()

    data class Delay(
        val time: Duration,
    ) : Fault()

    /** Connections are refused and those that are open are closed. */
    data object Cut : Fault()

    /** Connections stay open and new ones are taken, but nothing crosses. */
    data object Silence : Fault()

    /** Only those connections that are open now fall silent; new ones work. */
    data object SilentOld : Fault()

    /** Bytes to the server vanish; bytes back cross. */
    data object OneWay : Fault()

    /** Each connection is closed after [bytes] towards the server. */
    data class CloseAfter(
        val bytes: Long,
    ) : Fault()

    /** Each connection is closed after [bytes] towards the caller. */
    data class CloseAnswerAfter(
        val bytes: Long,
    ) : Fault()
}

class FaultProxy(
    private val server: () -> Address,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName(LOOPBACK))
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val open = ConcurrentHashMap.newKeySet<Pipe>()

    @Volatile
    private var fault: Fault = Fault.None

    val address = Address(LOOPBACK, listener.localPort)

    /** The bytes that crossed in both directions. */
    val bytes = AtomicLong()

    init {
        scope.launch { accept() }
    }

    /** Injects [next] from now on; it replaces the fault before. */
    fun inject(next: Fault) {
        fault = next
        when (next) {
            Fault.Cut -> open.forEach { it.close() }
            Fault.SilentOld -> open.forEach { it.silent = true }
            Fault.None, is Fault.Delay, Fault.Silence, Fault.OneWay -> Unit
            is Fault.CloseAfter, is Fault.CloseAnswerAfter -> Unit
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
        if (fault is Fault.Cut) return caller.close()
        val target = server()
        val back =
            try {
                Socket(target.host, target.port)
            } catch (_: IOException) {
                return caller.close()
            }
        val pipe = Pipe(caller, back)
        open += pipe
        scope.launch { pipe.pump(caller, back, towardsServer = true) }
        scope.launch { pipe.pump(back, caller, towardsServer = false) }
    }

    private inner class Pipe(
        private val caller: Socket,
        private val back: Socket,
    ) {
        @Volatile
        var silent = false

        suspend fun pump(
            from: Socket,
            to: Socket,
            towardsServer: Boolean,
        ) {
            val buffer = ByteArray(BUFFER_BYTES)
            var crossed = 0L
            try {
                while (true) {
                    val count = runInterruptible { from.getInputStream().read(buffer) }
                    if (count < 0) break
                    val allowed = allowed(crossed, count, towardsServer)
                    if (pass(towardsServer)) to.getOutputStream().write(buffer, 0, allowed)
                    crossed += allowed
                    bytes.addAndGet(allowed.toLong())
                    if (allowed < count) break
                }
            } catch (_: IOException) {
                // Either end closed: both are closed below.
            } finally {
                close()
            }
        }

        /** Waits as the fault says; false when the bytes vanish. */
        private suspend fun pass(towardsServer: Boolean): Boolean {
            while (silent || fault is Fault.Silence) delay(SILENCE_CHECK)
            when (val now = fault) {
                is Fault.Delay -> delay(now.time)
                Fault.OneWay -> return !towardsServer
                Fault.None, Fault.Cut, Fault.Silence, Fault.SilentOld -> Unit
                is Fault.CloseAfter, is Fault.CloseAnswerAfter -> Unit
            }
            return true
        }

        private fun allowed(
            crossed: Long,
            count: Int,
            towardsServer: Boolean,
        ): Int {
            val limit =
                when (val now = fault) {
                    is Fault.CloseAfter -> if (towardsServer) now.bytes else Long.MAX_VALUE
                    is Fault.CloseAnswerAfter -> if (towardsServer) Long.MAX_VALUE else now.bytes
                    Fault.None, is Fault.Delay, Fault.Cut, Fault.Silence, Fault.SilentOld, Fault.OneWay -> Long.MAX_VALUE
                }
            return (limit - crossed).coerceIn(0, count.toLong()).toInt()
        }

        fun close() {
            open -= this
            caller.close()
            back.close()
        }
    }

    private companion object {
        const val BACKLOG = 200
        const val BUFFER_BYTES = 16_384
        val SILENCE_CHECK = 20.milliseconds
    }
}
