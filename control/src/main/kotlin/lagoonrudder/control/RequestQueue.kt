/**
 * The requests that wait for one fleet or one key owner, in weighted fair order.
 *
 * Each customer is charged the cost of the requests that it sent, divided by its weight, and the customer with the lowest
 * charge goes next. A customer that returns after an idle period starts level with the others. Each level of priority is
 * worth a bounded advance over other customers, so that no customer can starve another by priority.
 */
package lagoonrudder.control

import lagoonrudder.model.CustomerId
import kotlin.math.max
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

internal class RequestQueue {
    private class Entry(
        val request: QueuedRequest,
        val sequence: Long,
    )

    private class CustomerQueue(
        val weight: Int,
        var charged: Double,
    ) {
        val entries = mutableListOf<Entry>()

        /** Returns the next request of this customer: by priority, then by arrival. */
        fun first(): Entry? = entries.minWithOrNull(compareByDescending<Entry> { it.request.priority }.thenBy { it.sequence })
    }

    private val customers = linkedMapOf<CustomerId, CustomerQueue>()
    private var level = 0.0
    private var sequence = 0L
    private var requeued = 0L
    private var secondsForEach = 0.0
    private var secondsForCost = 0.0
    private var lastEnd = Duration.ZERO

    var size = 0
        private set

    /** Adds a request. If [requeued] is set, it was queued before, and goes ahead of all others of its customer and priority. */
    fun add(
        waiting: QueuedRequest,
        requeued: Boolean,
    ) {
        val customer = customers.getOrPut(waiting.customer) { CustomerQueue(waiting.weight, level) }
        if (customer.entries.isEmpty()) customer.charged = max(customer.charged, level)
        if (requeued) customer.charged -= costShare(waiting)
        customer.entries += Entry(waiting, if (requeued) --this.requeued else sequence++)
        size++
    }

    /** Returns the request that [policy] puts first, or null if the queue is empty. */
    fun peek(policy: QueuePolicy): QueuedRequest? {
        val candidates = customers.values.mapNotNull { customer -> customer.first()?.let { customer to it } }
        val chosen =
            when (policy) {
                QueuePolicy.ArrivalOrder -> candidates.minByOrNull { it.second.sequence }
                QueuePolicy.WeightedFair ->
                    candidates.minWithOrNull(
                        compareBy<Pair<CustomerQueue, Entry>> { virtualTime(it.first, it.second.request) }
                            .thenBy { it.second.sequence },
                    )
            }
        return chosen?.second?.request
    }

    /** Removes a request that is sent, and charges its customer. Returns whether it was queued. */
    fun dequeue(waiting: QueuedRequest): Boolean {
        val customer = customers[waiting.customer] ?: return false
        if (!remove(waiting)) return false
        level = max(level, virtualTime(customer, waiting))
        customer.charged += costShare(waiting)
        return true
    }

    /** Removes a request that is not sent. Returns whether it was queued. */
    fun remove(waiting: QueuedRequest): Boolean {
        val customer = customers[waiting.customer] ?: return false
        val removed = customer.entries.removeIf { it.request.id == waiting.id }
        if (removed) size--
        if (customer.entries.isEmpty() && customer.charged <= level) customers.remove(waiting.customer)
        return removed
    }

    /** Returns the requests that can't complete before their deadline even if they are sent now. */
    fun overdue(
        policy: QueuePolicy,
        now: Duration,
    ): List<QueuedRequest> =
        customers.values.flatMap { customer ->
            customer.entries.map { it.request }.filter {
                now + (if (policy is QueuePolicy.WeightedFair) serviceTime(it, now) else Duration.ZERO) >
                    it.deadline
            }
        }

    /** Updates the averages of the interval between completions and of the service time per unit of cost. */
    fun recordCompletion(
        waiting: QueuedRequest,
        service: Duration,
        now: Duration,
    ) {
        val gap = (now - lastEnd).toDouble(DurationUnit.SECONDS).coerceAtMost(MAX_GAP_SECONDS)
        secondsForEach = blend(secondsForEach, gap)
        secondsForCost = blend(secondsForCost, service.toDouble(DurationUnit.SECONDS) / waiting.cost)
        lastEnd = now
    }

    /**
     * Returns the expected time of [waiting] at a target. The estimate decays while no request completes, so that a queue that
     * rejected everything admits requests again.
     */
    fun serviceTime(
        waiting: QueuedRequest,
        now: Duration,
    ): Duration = (secondsForCost * waiting.cost * decay(now)).seconds

    /** Returns the expected wait of [newcomer]: the requests that go before it, at the current rate of completions. */
    fun forecast(
        newcomer: QueuedRequest,
        now: Duration,
    ): Duration {
        if (secondsForEach == 0.0 || size == 0) return Duration.ZERO
        val active = customers.filterValues { it.entries.isNotEmpty() }
        val ownAhead = active[newcomer.customer]?.entries.orEmpty().count { it.request.priority >= newcomer.priority }
        val totalWeight = active.filterKeys { it != newcomer.customer }.values.sumOf { it.weight } + newcomer.weight
        val requestsAhead = (ownAhead + 1.0) * totalWeight / newcomer.weight
        return (requestsAhead.coerceAtMost(size + 1.0) * secondsForEach * decay(now)).seconds
    }

    fun describe(): String = "waiting=$size customers=${customers.size} seconds-each=$secondsForEach seconds-for-cost=$secondsForCost"

    /** Returns the value that orders customers: the charge less the advance of the priority. */
    private fun virtualTime(
        customer: CustomerQueue,
        waiting: QueuedRequest,
    ): Double = customer.charged - PRIORITY_ADVANCE * waiting.priority

    private fun decay(now: Duration): Double {
        val idle = now - lastEnd - DECAY_DELAY
        return if (idle.isPositive()) HALF.pow(idle / HALF_LIFE) else 1.0
    }

    private fun blend(
        average: Double,
        sample: Double,
    ): Double = if (average == 0.0) sample else average * SMOOTHING + sample * (1 - SMOOTHING)

    private fun costShare(waiting: QueuedRequest): Double = waiting.cost.toDouble() / waiting.weight

    private companion object {
        const val SMOOTHING = 0.9
        const val MAX_GAP_SECONDS = 1.0
        const val HALF = 0.5
        val DECAY_DELAY = 1.seconds
        val HALF_LIFE = 1.seconds

        /** The advance of one level of priority over other customers, in units of cost per weight. */
        const val PRIORITY_ADVANCE = 500.0
    }
}
