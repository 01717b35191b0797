/**
 * Decides which peers a daemon asks for items of the store that it lacks, and whether it lags behind for so long that it reads the store.
 *
 * A reply with all items may take seconds on a busy link, and replies from several peers at once would share that link, so that none
 * arrives in time. So one peer is asked, and another one only once nothing has arrived for a while. A peer that hangs holds up none.
 */
package lagoonrudder.control.direct

import lagoonrudder.control.DumpSection
import lagoonrudder.control.dumpSection
import lagoonrudder.control.entry
import lagoonrudder.model.Address
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CatchUpController(
    private val storeView: StoreViewController,
) {
    /** A revision that was heard of at [since] and not seen then. */
    private class Lag(
        val revision: Long,
        val since: Duration,
    )

    /** When something last arrived from each peer that is being asked. */
    private val progress = mutableMapOf<Address, Duration>()
    private var newestHeard = 0L
    private var lag: Lag? = null
    private var isLagReported = false

    /** The number of requests to other peers while an earlier one had got no response. */
    var furtherRequests = 0L
        private set

    /** Records that a peer has settled every change up to [revision]. Returns whether this daemon lags behind since the last call. */
    fun onHeard(
        revision: Long,
        now: Duration,
    ): Boolean {
        newestHeard = maxOf(newestHeard, revision)
        val lagged = isLagReported
        isLagReported = isLagging(now)
        return isLagReported && !lagged
    }

    /** Returns for how long a revision that was heard of has not been seen. */
    fun lag(now: Duration): Duration {
        updateLag(now)
        return lag?.let { now - it.since } ?: Duration.ZERO
    }

    /** Whether peers have not helped for so long that the store must be read. */
    fun isLagging(now: Duration): Boolean = lag(now) >= MAX_LAG

    /** Changes may follow each other quickly, so each revision has its own time to arrive. */
    private fun updateLag(now: Duration) {
        if (lag.let { it != null && it.revision > storeView.at }) return
        lag = if (newestHeard > storeView.at) Lag(newestHeard, now) else null
    }

    /** Returns whether to ask the peer at [address] now; the request then counts as under way until [onEnded]. */
    fun begin(
        address: Address,
        now: Duration,
    ): Boolean {
        if (address in progress || progress.size >= MAX_REQUESTS) return false
        if (progress.values.any { now - it < RESPONSE_LIMIT }) return false
        if (progress.isNotEmpty()) furtherRequests++
        progress[address] = now
        return true
    }

    /** Records that a part of the response of the peer at [address] has arrived. */
    fun onProgress(
        address: Address,
        now: Duration,
    ) {
        progress.computeIfPresent(address) { _, _ -> now }
    }

    /** Records that the request to the peer at [address] has ended, with or without a response. */
    fun onEnded(address: Address) {
        progress -= address
    }

    fun dump(now: Duration): DumpSection =
        dumpSection("catch-up") {
            entry("newest-heard", newestHeard)
            entry("lag", lag(now))
            entry("asked", progress.keys.toList())
            entry("further-requests", furtherRequests)
        }

    private companion object {
        /** Several times the way to another region and back, and little of the two seconds in which a change must be in force. */
        val RESPONSE_LIMIT = 250.milliseconds

        /** Half of the time in which a change must be in force. */
        val MAX_LAG = 1.seconds

        /** More than can hang at once, as a request without a response ends after 0.8 s. */
        const val MAX_REQUESTS = 6
    }
}
