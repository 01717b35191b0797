/**
 * The requests that wait for one fleet or one owner, and the order in which they go.
 *
 * Each customer is charged the cost of what it sent, divided by its weight, and the customer that was charged least goes
 * next. A customer that comes back after a time starts level with the others. A higher priority is worth a bounded
 * advance over other customers, so that no customer can shut out another by priority.
 */
package lagoonrudder.control

import lagoonrudder.model.CustomerId
import kotlin.math.max
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

internal class RequestQueue {
    private class Tagged(
        val waiting: QueuedRequest,
        val sequence: Long,
    )

    private class Share(
        val weight: Int,
        var charged: Double,
    ) {
        val waiting = mutableListOf<Tagged>()

        /** The request of this customer that goes first: by priority, then by arrival. */
        fun first(): Tagged? = waiting.minWithOrNull(compareByDescending<Tagged> { it.waiting.priority }.thenBy { it.sequence })
    }

    private val shares = linkedMapOf<CustomerId, Share>()
    private var level = 0.0
    private var sequence = 0L
    private var again = 0L
    private var secondsForEach = 0.0
    private var secondsForCost = 0.0
    private var lastEnd = Duration.ZERO

    var size = 0
        private set

    /** Adds a request; one that waits [again] goes before all others of its customer and priority. */
    fun add(
        waiting: QueuedRequest,
        again: Boolean,
    ) {
        val share = shares.getOrPut(waiting.customer) { Share(waiting.weight, level) }
        if (share.waiting.isEmpty()) share.charged = max(share.charged, level)
        if (again) share.charged -= costShare(waiting)
        share.waiting += Tagged(waiting, if (again) --this.again else sequence++)
        size++
    }

    fun peek(policy: QueuePolicy): QueuedRequest? {
        val firsts = shares.values.mapNotNull { share -> share.first()?.let { share to it } }
        val chosen =
            when (policy) {
                QueuePolicy.ArrivalOrder -> firsts.minByOrNull { it.second.sequence }
                QueuePolicy.WeightedFair ->
                    firsts.minWithOrNull(
                        compareBy<Pair<Share, Tagged>> { tagOf(it.first, it.second.waiting) }
                            .thenBy { it.second.sequence },
                    )
            }
        return chosen?.second?.waiting
    }

    /** Takes a request that goes, and charges its customer. */
    fun take(waiting: QueuedRequest): Boolean {
        val share = shares[waiting.customer] ?: return false
        if (!remove(waiting)) return false
        level = max(level, tagOf(share, waiting))
        share.charged += costShare(waiting)
        return true
    }

    /** Takes a request out that does not go. */
    fun remove(waiting: QueuedRequest): Boolean {
        val share = shares[waiting.customer] ?: return false
        val found = share.waiting.removeIf { it.waiting.id == waiting.id }
        if (found) size--
        if (share.waiting.isEmpty() && share.charged <= level) shares.remove(waiting.customer)
        return found
    }

    /** The requests that can't end before their deadline if they go now. */
    fun late(
        policy: QueuePolicy,
        now: Duration,
    ): List<QueuedRequest> =
        shares.values.flatMap { share ->
            share.waiting.map { it.waiting }.filter {
                now + (if (policy is QueuePolicy.WeightedFair) serviceTime(it, now) else Duration.ZERO) >
                    it.deadline
            }
        }

    /** Learns how often requests end and how long they take at a target. */
    fun learn(
        waiting: QueuedRequest,
        service: Duration,
        now: Duration,
    ) {
        val gap = (now - lastEnd).toDouble(DurationUnit.SECONDS).coerceAtMost(LONGEST_GAP_SECONDS)
        secondsForEach = blend(secondsForEach, gap)
        secondsForCost = blend(secondsForCost, service.toDouble(DurationUnit.SECONDS) / waiting.cost)
        lastEnd = now
    }

    /**
     * How long [waiting] will probably take at a target. Without news the estimate fades, so that a line that refused
     * everyone tries again.
     */
    fun serviceTime(
        waiting: QueuedRequest,
        now: Duration,
    ): Duration = (secondsForCost * waiting.cost * freshness(now)).seconds

    /** The expected wait of a newcomer: what goes before it, at the rate at which requests end. */
    fun forecast(
        newcomer: QueuedRequest,
        now: Duration,
    ): Duration {
        if (secondsForEach == 0.0 || size == 0) return Duration.ZERO
        val active = shares.filterValues { it.waiting.isNotEmpty() }
        val own = active[newcomer.customer]?.waiting.orEmpty().count { it.waiting.priority >= newcomer.priority }
        val weights = active.filterKeys { it != newcomer.customer }.values.sumOf { it.weight } + newcomer.weight
        val turns = (own + 1.0) * weights / newcomer.weight
        return (turns.coerceAtMost(size + 1.0) * secondsForEach * freshness(now)).seconds
    }

    fun describe(): String = "waiting=$size customers=${shares.size} seconds-each=$secondsForEach seconds-for-cost=$secondsForCost"

    /** What orders the customers: the charge, less the advance of the priority. */
    private fun tagOf(
        share: Share,
        waiting: QueuedRequest,
    ): Double = share.charged - PRIORITY_ADVANCE * waiting.priority

    private fun freshness(now: Duration): Double {
        val silence = now - lastEnd - SILENCE_ALLOWED
        return if (silence.isPositive()) HALF.pow(silence / HALF_LIFE) else 1.0
    }

    private fun blend(
        known: Double,
        seen: Double,
    ): Double = if (known == 0.0) seen else known * KEEP + seen * (1 - KEEP)

    private fun costShare(waiting: QueuedRequest): Double = waiting.cost.toDouble() / waiting.weight

    private companion object {
        const val KEEP = 0.9
        const val LONGEST_GAP_SECONDS = 1.0
        const val HALF = 0.5
        val SILENCE_ALLOWED = 1.seconds
        val HALF_LIFE = 1.seconds

        /** The advance of one level of priority over other customers, in cost. */
        const val PRIORITY_ADVANCE = 500.0
    }
}
