/**
 * The requests that wait for a place at the back ends of one service.
 *
 * Within a rank those that can still meet their latency objective go first, since a place then serves one caller in time
 * instead of one late.
 */
package lagoonrudder.control.direct.admission

import kotlinx.coroutines.CompletableDeferred
import lagoonrudder.control.direct.Placement
import lagoonrudder.control.direct.PlacementRequest
import lagoonrudder.model.CustomerId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A request that waits until [deadline]; [inTime] is set while it is predicted to meet its latency objective. [level] is null if the
 * requests of its service don't differ in rank.
 */
internal class QueuedRequest(
    val request: PlacementRequest,
    val level: UrgencyLevel?,
    val inTime: Boolean,
    val queuedAt: Duration,
    val deadline: Duration,
) {
    val result = CompletableDeferred<Placement>()
}

internal class PlacementQueue {
    private val requests = mutableListOf<QueuedRequest>()
    private var lastShortageAt: Duration? = null

    val size: Int get() = requests.size

    val lengths: QueueLengths get() = lengthsBefore(null)

    /** Returns how many wait that go before a new request of [level]: those of that level and of more urgent ones. */
    fun lengthsBefore(level: UrgencyLevel?): QueueLengths {
        val before = if (level == null) requests else requests.filter { it.level == null || it.level <= level }
        return before.count { it.inTime }.let { QueueLengths(it, before.size - it) }
    }

    fun waitingOf(level: UrgencyLevel): Int = requests.count { it.level == level }

    /** Whether a request waits that is more urgent than [level]. */
    fun hasMoreUrgent(level: UrgencyLevel): Boolean = requests.any { it.level != null && it.level < level }

    fun add(queued: QueuedRequest) {
        requests += queued
    }

    /** Records that a request which could have been in time found no place. */
    fun onShortage(now: Duration) {
        lastShortageAt = now
    }

    /** Whether requests that could have been in time found no place lately, so that other daemons probably look for places too. */
    fun isContended(now: Duration): Boolean = lastShortageAt?.let { now - it < SHORTAGE_MEMORY } ?: false

    fun remove(queued: QueuedRequest) {
        requests -= queued
    }

    fun find(decision: CompletableDeferred<Placement>): QueuedRequest? = requests.firstOrNull { it.result === decision }

    /** Returns the requests whose wait is over. */
    fun expired(now: Duration): List<QueuedRequest> = requests.filter { now >= it.deadline }

    /** Returns the requests in the order in which they get places; [inFlightOf] makes customers with fewer requests go first. */
    fun inOrder(inFlightOf: (CustomerId?) -> Int): List<QueuedRequest> =
        requests.sortedWith(compareBy({ it.request.rank }, { !it.inTime }, { inFlightOf(it.request.customer) }, { it.queuedAt }))

    private companion object {
        val SHORTAGE_MEMORY = 500.milliseconds
    }
}
