/**
 * A daemon that reads a store and gossips in virtual time, with the product's own controllers.
 */
package lagoonrudder.standins.virtual

import kotlinx.coroutines.Job
import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.direct.PeerDaemon
import lagoonrudder.control.direct.StoreReaderController
import lagoonrudder.control.direct.StoreViewController
import lagoonrudder.model.Invariants
import lagoonrudder.model.Revision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How the store treats the calls of one daemon. */
sealed class StoreTreatment {
    data object Answers : StoreTreatment()

    /** Refuses each call at once. */
    data object Refuses : StoreTreatment()

    /** Gives no response, and the connection stays open. */
    data object Silent : StoreTreatment()

    /** Answers [factor] times later than usual. */
    data class Slow(
        val factor: Int,
    ) : StoreTreatment()
}

/** A daemon with what it knows; [treatment] is that of its calls. A start forgets all that it knew. */
class VirtualStoreDaemon(
    val peer: PeerDaemon,
) {
    var treatment: StoreTreatment = StoreTreatment.Answers
    var peers = PeerController(peer, emptyList())
        private set
    var storeView = StoreViewController(Invariants {})
        private set
    var reader = StoreReaderController(peers, storeView)
        private set

    /** When each revision of the configuration came into force here. */
    val inForceAt = mutableMapOf<Revision, Duration>()

    /** The time that the clock of this daemon has not counted while its machine was suspended. */
    internal var uncounted = Duration.ZERO

    /** The calls to the store; null while the process is stopped or paused. */
    internal var reading: Job? = null

    val isRunning: Boolean get() = reading != null

    /** Whether other daemons and the store reach this one. */
    var isReachable = true
        internal set

    internal fun forgetAll(now: Duration) {
        peers = PeerController(peer, emptyList())
        storeView = StoreViewController(Invariants {}, bindingFrom = now + CONTACT_TIME, startedAt = now)
        reader = StoreReaderController(peers, storeView)
    }

    private companion object {
        val CONTACT_TIME = 3.seconds
    }
}
