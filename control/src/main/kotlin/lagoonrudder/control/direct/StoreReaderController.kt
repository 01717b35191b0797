/**
 * Decides whether an entry daemon reads the platform's store itself.
 *
 * Calls to the store are expensive and every change wakes every watch. So in each failure domain the daemon that is first in a hash
 * order watches the store, and the others receive the changes by gossip. There is no election: a daemon reads the store while it
 * hears of no better ranked one that does, so a reader that stops, freezes or loses the store is replaced within about half a
 * second, and while none reaches the store all of them try.
 */
package lagoonrudder.control.direct

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class StoreReaderController(
    private val peers: PeerController,
    private val storeView: StoreViewController,
) {
    /** Returns whether to read the store now; a daemon that is not confirmed reads it in any case. */
    fun mustRead(now: Duration): Boolean =
        !storeView.confirmed || peers.betterRankedStoreReaders(RANK_KEY, STORE_CONTACT_LIMIT, now).isEmpty()

    companion object {
        /** How long the store may leave a watch unanswered while nothing changes. */
        val WATCH_TIMEOUT = 3_000.milliseconds

        /** A sound reader hears from the store within the time of a watch and its way. */
        private val STORE_CONTACT_LIMIT = WATCH_TIMEOUT + 700.milliseconds
        private const val RANK_KEY = "store-reader"
    }
}
