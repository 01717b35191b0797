/**
 * Determines which weights a back end holds and whether it accepts requests, from the status that its target daemon gossips.
 *
 * A registration in the store lags by one heartbeat or more, whereas a target daemon sends its status on every change. A
 * status applies to the incarnation of the back end that it names and expires after a fixed time. Their order is that of their
 * sequence numbers, which a target daemon takes from its clock, so that they go on after its restart.
 */
package lagoonrudder.control.direct

import lagoonrudder.control.DumpSection
import lagoonrudder.control.dumpSection
import lagoonrudder.control.entry
import lagoonrudder.model.Address
import lagoonrudder.model.BackEnd
import lagoonrudder.model.HeldWeights
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The status of the back end at [backEnd], as gossiped by its target daemon. [closed] is set while it loads and rejects new work. A later
 * status of the same back end has a higher [sequence].
 */
data class SlotWord(
    val backEnd: Address,
    val born: Long,
    val held: HeldWeights?,
    val closed: Boolean,
    val sequence: Long = 0,
)

class BackEndStateController {
    private class ReceivedStatus(
        val status: SlotWord,
        val receivedAt: Duration,
    )

    private val statuses = mutableMapOf<Address, ReceivedStatus>()

    /**
     * Stores a status; returns whether it differs from the previous one of the same back end. Messages may overtake each other, so one
     * that is older than an unexpired status changes nothing.
     */
    fun onGossipReceived(
        status: SlotWord,
        now: Duration,
    ): Boolean {
        val before = statuses[status.backEnd]
        if (before != null && status.sequence < before.status.sequence && now - before.receivedAt < STATUS_TTL) return false
        statuses[status.backEnd] = ReceivedStatus(status, now)
        return before?.status != status
    }

    /** Returns the weights that [backEnd] holds: by a fresh status of its target daemon, otherwise by its registration. */
    fun held(
        backEnd: BackEnd,
        now: Duration,
    ): HeldWeights? {
        val status = statusOf(backEnd, now) ?: return backEnd.weights
        return status.held
    }

    /** Returns the age of the status that [held] follows for [backEnd]; null if it follows the registration. */
    fun statusAge(
        backEnd: BackEnd,
        now: Duration,
    ): Duration? = statusOf(backEnd, now)?.let { now - statuses.getValue(backEnd.address).receivedAt }

    /** Returns whether [backEnd] rejects new work because it is loading or because a later incarnation has replaced it. */
    fun closed(
        backEnd: BackEnd,
        now: Duration,
    ): Boolean {
        val status = freshStatus(backEnd, now) ?: return false
        return status.born > backEnd.born || (status.born == backEnd.born && status.closed)
    }

    fun dump(now: Duration): DumpSection =
        dumpSection("slots") {
            for (each in statuses.values) entry(each.status.backEnd.toString(), "${each.status} age=${now - each.receivedAt}")
        }

    private fun statusOf(
        backEnd: BackEnd,
        now: Duration,
    ): SlotWord? = freshStatus(backEnd, now)?.takeIf { it.born == backEnd.born }

    private fun freshStatus(
        backEnd: BackEnd,
        now: Duration,
    ): SlotWord? = statuses[backEnd.address]?.takeIf { now - it.receivedAt < STATUS_TTL }?.status

    private companion object {
        /** Covers two heartbeats and the lag of the store, after which the registration is up to date. */
        val STATUS_TTL = 5.seconds
    }
}
