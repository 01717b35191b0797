/**
 * The slots of a fake back end and its queue: requests that find no free slot wait for one in the order of their arrival.
 *
 * A load lets the running requests end while the queue waits, so that those in the queue begin on the new version. All functions must
 * be called on the thread of the event loop.
 */
package lagoonrudder.standins.direct

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext

class WorkerSlots(
    private val slots: Int,
    private val queueLength: Int,
    private val dropsClosed: Boolean = true,
) {
    private val queue = ArrayDeque<CompletableDeferred<Unit>>()
    private var idle: CompletableDeferred<Unit>? = null

    var running = 0
        private set

    val waiting: Int get() = queue.size

    val isFull: Boolean get() = (running >= slots || idle != null) && queue.size >= queueLength

    /** Runs [block] in a slot. A request whose connection closes leaves the queue, unless this back end drops none. */
    suspend fun <T> withSlot(block: suspend () -> T): T =
        if (dropsClosed) awaitSlot(block) else withContext(NonCancellable) { awaitSlot(block) }

    private suspend fun <T> awaitSlot(block: suspend () -> T): T {
        val slot = CompletableDeferred<Unit>()
        queue += slot
        fill()
        try {
            slot.await()
            return block()
        } finally {
            if (!queue.remove(slot)) running--
            fill()
        }
    }

    /** Begins no further request and returns once no request is running. */
    suspend fun close() {
        val ended = CompletableDeferred<Unit>()
        idle = ended
        fill()
        ended.await()
    }

    /** Begins the requests that wait. */
    fun open() {
        idle = null
        fill()
    }

    private fun fill() {
        val closing = idle
        if (closing != null) {
            if (running == 0) closing.complete(Unit)
            return
        }
        while (running < slots) {
            val next = queue.removeFirstOrNull() ?: return
            running++
            next.complete(Unit)
        }
    }
}
