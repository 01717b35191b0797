/**
 * Observes at which rate chunks of weights arrive, over the last fetches.
 *
 * Concurrent fetches share a link, so the bytes of all of them are divided by the time in which at least one was running.
 */
package lagoonrudder.control.direct.weights

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

class TransferRateObserver {
    private class Transfer(
        val bytes: Int,
        val startedAt: Duration,
        val endedAt: Duration,
    )

    private val transfers = ArrayDeque<Transfer>()
    private var failingSince: Duration? = null

    /** Records a chunk of [bytes] bytes that was requested at [startedAt] and has arrived at [endedAt]. */
    fun onTransferred(
        bytes: Int,
        startedAt: Duration,
        endedAt: Duration,
    ) {
        failingSince = null
        transfers.addLast(Transfer(bytes, startedAt, endedAt))
        if (transfers.size > MAX_TRANSFERS) transfers.removeFirst()
    }

    /** Records a fetch that brought nothing. */
    fun onFailed(now: Duration) {
        if (failingSince == null) failingSince = now
    }

    /** Returns the rate in bytes a second; null if nothing was fetched, or while fetches bring nothing. */
    fun rate(now: Duration): Double? {
        val isLost = failingSince?.let { now - it >= LOSS_DELAY } ?: false
        if (isLost || transfers.isEmpty()) return null
        val busy = busyTime().toDouble(DurationUnit.SECONDS).coerceAtLeast(MIN_BUSY_SECONDS)
        return transfers.sumOf { it.bytes } / busy
    }

    private fun busyTime(): Duration {
        var busy = Duration.ZERO
        var busyUntil = -Duration.INFINITE
        for (transfer in transfers.sortedBy { it.startedAt }) {
            busy += (transfer.endedAt - maxOf(transfer.startedAt, busyUntil)).coerceAtLeast(Duration.ZERO)
            busyUntil = maxOf(busyUntil, transfer.endedAt)
        }
        return busy
    }

    private companion object {
        const val MAX_TRANSFERS = 16
        const val MIN_BUSY_SECONDS = 0.001

        /** Longer than a peer holds a request for a chunk that it is still fetching itself, and than the failure of one of several peers. */
        val LOSS_DELAY = 1.seconds
    }
}
