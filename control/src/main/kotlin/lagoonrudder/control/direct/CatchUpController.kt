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
    /** A position that was heard of at [since] and not seen then. */
    private class Lag(
        val position: StorePosition,
        val since: Duration,
    )

    /** When something last arrived from each peer that is being asked. */
    private val progress = mutableMapOf<Address, Duration>()
    private var newestHeard = StorePosition.NONE
    private var lag: Lag? = null
    private var isLagReported = false

    /** The number of requests to other peers while an earlier one had got no response. */
    var furtherRequests = 0L
        private set

    /** Records that a peer has settled every change up to [position]. Returns whether this daemon lags behind since the last call. */
    fun onHeard(
        position: StorePosition,
        now: Duration,
    ): Boolean {
        newestHeard = maxOf(newestHeard, position)
        val lagged = isLagReported
        isLagReported = isLagging(now)
        return isLagReported && !lagged
    }

    /** Returns for how long a position that was heard of has not been seen. */
    fun lag(now: Duration): Duration {
        updateLag(now)
        return lag?.let { now - it.since } ?: Duration.ZERO
    }

    /**
     * Whether peers have not helped for so long that the store must be read. Each of the [betterRanked] members of the failure domain gets
     * some time to read it first, since all of them lag while a link is busy, and all reading at once would keep it so.
     */
    fun isLagging(
        now: Duration,
        betterRanked: Int = 0,
    ): Boolean = lag(now) >= MAX_LAG + FAR_DELAY_PER_RANK * betterRanked

    /** Changes may follow each other quickly, so each position has its own time to arrive. */
    private fun updateLag(now: Duration) {
        if (lag.let { it != null && it.position > storeView.at }) return
        lag = if (newestHeard > storeView.at) Lag(newestHeard, now) else null
    }

    /**
     * Returns whether to ask a peer of another failure domain now. Links between regions are scarce, so one member of a domain asks there,
     * and the others get it from that one; [betterRanked] is how many members are heard of that have to ask before this daemon.
     */
    fun mayAskFar(
        betterRanked: Int,
        now: Duration,
    ): Boolean = betterRanked == 0 || lag(now) >= (FAR_DELAY + FAR_DELAY_PER_RANK * (betterRanked - 1)).coerceAtMost(MAX_LAG)

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

        /** The time in which the first member of a domain gets an answer from another one and passes it on. */
        val FAR_DELAY = 400.milliseconds

        /** The time in which the next member asks and the others hear of it. */
        val FAR_DELAY_PER_RANK = 150.milliseconds

        /** More than can hang at once, as a request without a response ends after 0.8 s. */
        const val MAX_REQUESTS = 6
    }
}
