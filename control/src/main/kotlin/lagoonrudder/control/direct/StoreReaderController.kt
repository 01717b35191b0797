/**
 * Decides when a daemon calls the platform's store, and keeps when the store last answered it.
 *
 * Calls to the store are expensive and every change wakes every watch. So in each failure domain the entry daemon that is first in a
 * hash order watches the store, and the others receive the changes by gossip. There is no election: a daemon reads the store while it
 * hears of no better ranked one that the store has answered lately. A reader that stops or freezes, or that the store refuses, is
 * replaced within about half a second; one that gets no response, once its last contact is older than a watch takes. Those who
 * replace it start in the order of their ranks, so that one call is usually enough, and while none reaches the store all of them
 * try, the lower ranked ones less often. A target daemon reads the store only while no entry daemon answers it.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.DaemonRole
import lagoonrudder.model.Failure
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the loop that reads the store does next. */
sealed class StoreStep {
    /** Calls nothing for [duration]. */
    data class Rest(
        val duration: Duration,
    ) : StoreStep()

    /** Reads all items. */
    data object ReadAll : StoreStep()

    /** Waits up to [wait] for changes after the position [after]. */
    data class Watch(
        val after: StorePosition,
        val wait: Duration,
    ) : StoreStep() {
        /** Whether a response at the position [at] continues this watch: one from another era says nothing of what followed [after]. */
        fun isContinuedBy(at: StorePosition): Boolean = at.era == after.era

        /**
         * Returns the time until which an answer with [changes], which arrived at [now], holds all that the store had acknowledged, if it
         * was asked for at [askedAt]. The store answers without a change only at the end of the wait.
         */
        fun asOf(
            askedAt: Duration,
            now: Duration,
            changes: Int,
        ): Duration = if (changes == 0 && now - askedAt >= wait) askedAt + wait else askedAt
    }
}

class StoreReaderController(
    private val peers: PeerController,
    private val storeView: StoreViewController,
    private val catchUp: CatchUpController = CatchUpController(storeView),
) {
    private var needsFullRead = true
    private var pollRequested = false
    private var contactAt: Duration? = null
    private var lostSince: Duration? = null
    private var failures = 0
    private var nextCallAt = Duration.ZERO

    private val isLost: Boolean get() = lostSince != null

    /** Returns the time since the store last answered this process; null while it does not read the store or has lost it. */
    fun contactAge(now: Duration): Duration? = contactAt?.let { now - it }

    /** Returns whether to read the store now; a daemon that is not confirmed or lags behind its peers reads it in any case. */
    fun mustRead(now: Duration): Boolean =
        !storeView.confirmed ||
            catchUp.isLagging(now, betterRanked(now)) ||
            when (peers.self.role) {
                DaemonRole.ENTRY -> !reliesOnReader(now)
                DaemonRole.TARGET -> !peers.hasHeardWithin(PEER_CONTACT_LIMIT, now)
            }

    /** Returns whether a daemon that lags behind asks [peer] for what it lacks now, which may be in another failure domain. */
    fun mayCatchUpFrom(
        peer: PeerDaemon,
        now: Duration,
    ): Boolean = peer.domain == peers.self.domain || catchUp.mayAskFar(betterRanked(now), now)

    private fun betterRanked(now: Duration): Int = peers.betterRankedMembers(RANK_KEY, now).size

    /** Whether a better ranked daemon has heard from the store so lately that this one need not read it. */
    private fun reliesOnReader(now: Duration): Boolean {
        val better = peers.betterRankedMembers(RANK_KEY, now)
        val limit = STORE_CONTACT_LIMIT + REPLACEMENT_DELAY * (better.size - 1).coerceIn(0, MAX_REPLACEMENT_DELAYS)
        return better.any { it.storeContactAge != null && it.storeContactAge < limit }
    }

    /** Returns what to do at [now], when no call is under way. */
    fun next(now: Duration): StoreStep {
        if (!mustRead(now)) {
            stopReading()
            return StoreStep.Rest(NEED_CHECK_INTERVAL)
        }
        if (now < nextCallAt) return StoreStep.Rest(nextCallAt - now)
        val wait = if (pollRequested || isLost) Duration.ZERO else WATCH_TIMEOUT
        pollRequested = false
        return if (needsFullRead || storeView.needsFullRead) StoreStep.ReadAll else StoreStep.Watch(storeView.at, wait)
    }

    /** The next call returns immediately, for example after a pause of the process. */
    fun onPollRequested() {
        pollRequested = true
    }

    /** Records the complete response to a read of all items. Returns how long the store was lost; null if it was not. */
    fun onItemsRead(now: Duration): Duration? {
        needsFullRead = false
        return onAnswer(now)
    }

    /** Records the response to a watch, which brought [changes]. Returns how long the store was lost; null if it was not. */
    fun onWatched(
        changes: Int,
        now: Duration,
    ): Duration? {
        if (changes > 0) nextCallAt = now + CHANGE_BATCH_INTERVAL
        return onAnswer(now)
    }

    /**
     * Records the response to a watch from another era than the one that was asked for: the store was restored, and all items are read next.
     * Returns how long the store was lost.
     */
    fun onOtherEra(
        era: StoreEra,
        now: Duration,
    ): Duration? {
        needsFullRead = true
        // A store that states an earlier era has nothing to tell, and must not be asked without a rest.
        if (era < storeView.at.era) nextCallAt = now + CHANGE_BATCH_INTERVAL
        return onAnswer(now)
    }

    /** Records that the store has discarded the history that a watch asked for. Returns how long the store was lost. */
    fun onHistoryLost(now: Duration): Duration? {
        needsFullRead = true
        return onAnswer(now)
    }

    /**
     * Records that a call failed. Returns whether the store is lost with it and was not before. A watch may be cut at any time, so one
     * call without an answer proves nothing, and the next one follows at once.
     */
    fun onFailure(
        failure: Failure,
        now: Duration,
    ): Boolean {
        failures++
        // Pages are bounded where the response to a watch is not.
        if (failure is Failure.Damaged) needsFullRead = true
        if (failures == 1 && failure !is Failure.Declined) {
            pollRequested = true
            nextCallAt = now
            return false
        }
        contactAt = null
        val rank = peers.betterRankedMembers(RANK_KEY, now).size
        val maxDelay = (MAX_RETRY_DELAY + RETRY_DELAY_PER_RANK * rank).coerceAtMost(MAX_RANKED_RETRY_DELAY)
        nextCallAt = now + (INITIAL_RETRY_DELAY * failures * (1 + rank)).coerceAtMost(maxDelay)
        val isNew = lostSince == null
        if (isNew) lostSince = now
        return isNew
    }

    private fun onAnswer(now: Duration): Duration? {
        storeView.onStoreHeard(now)
        contactAt = now
        failures = 0
        return lostSince?.let { now - it }.also { lostSince = null }
    }

    private fun stopReading() {
        contactAt = null
        lostSince = null
        failures = 0
        nextCallAt = Duration.ZERO
        pollRequested = true
    }

    private companion object {
        /** How long the store may leave a watch unanswered while nothing changes. */
        val WATCH_TIMEOUT = 750.milliseconds

        /** An entry daemon answers a target daemon several times in this time. */
        val PEER_CONTACT_LIMIT = 2.seconds

        /** Changes that come within this time share one call; back ends renew their registrations all the time. */
        val CHANGE_BATCH_INTERVAL = 250.milliseconds

        /** A sound reader hears from the store within the time between two answers and their way. */
        val STORE_CONTACT_LIMIT = WATCH_TIMEOUT + CHANGE_BATCH_INTERVAL + 150.milliseconds

        /** The time in which the next ranked daemon calls the store and the others hear of its answer. */
        val REPLACEMENT_DELAY = 150.milliseconds

        /** A change must be in force two seconds after it, also when several ranks in a row get no response. */
        const val MAX_REPLACEMENT_DELAYS = 2
        val NEED_CHECK_INTERVAL = 100.milliseconds
        val INITIAL_RETRY_DELAY = 150.milliseconds
        val MAX_RETRY_DELAY = 400.milliseconds
        val RETRY_DELAY_PER_RANK = 100.milliseconds
        val MAX_RANKED_RETRY_DELAY = 2.seconds
        const val RANK_KEY = "store-reader"
    }
}
