/**
 * Permits for concurrent fetches, which go to the waiting fetch of the highest priority first.
 *
 * A source that comes back is asked for the version that matters most before those that have waited longer. Confined to one thread.
 */
package lagoonrudder.daemon.direct

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred

internal class FetchPermits(
    private var free: Int,
) {
    private class Waiter(
        val priority: () -> Long,
    ) {
        val granted = CompletableDeferred<Unit>()
    }

    private val waiters = mutableListOf<Waiter>()

    /** Runs [block] with a permit. [priority] is read when a permit becomes free; among equals the first to wait is the first to get it. */
    suspend fun <T> withPermit(
        priority: () -> Long,
        block: suspend () -> T,
    ): T {
        acquire(priority)
        try {
            return block()
        } finally {
            release()
        }
    }

    private suspend fun acquire(priority: () -> Long) {
        if (free > 0) {
            free--
            return
        }
        val waiter = Waiter(priority)
        waiters += waiter
        try {
            waiter.granted.await()
        } catch (cancelled: CancellationException) {
            if (!waiters.remove(waiter)) release()
            throw cancelled
        }
    }

    private fun release() {
        val next = waiters.maxByOrNull { it.priority() }
        if (next == null) {
            free++
        } else {
            waiters -= next
            next.granted.complete(Unit)
        }
    }
}
