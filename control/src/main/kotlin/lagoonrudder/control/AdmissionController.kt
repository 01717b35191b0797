/**
 * Decides at an entry daemon who waits, who goes next and who is turned away.
 *
 * Requests wait in one line for each fleet, or for the owner of their key. A line is bounded by count and bytes. The
 * highest priority goes first; within a priority customers share by weight, so that a burst of one customer lengthens
 * only its own wait. A request that can't end before its deadline is refused early, with the time after which a repeat
 * may succeed.
 */
package lagoonrudder.control

import lagoonrudder.model.CustomerId
import lagoonrudder.model.FleetId
import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestId
import lagoonrudder.model.Step
import lagoonrudder.model.TargetId
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The order in which waiting requests go. */
sealed class QueuePolicy {
    /** One line in order of arrival, without priorities, weights or early refusals: the baseline. */
    data object ArrivalOrder : QueuePolicy()

    data object WeightedFair : QueuePolicy()
}

/** [requests] and [bytes] bound what waits in this process. */
data class QueueBounds(
    val requests: Int = 2_000,
    val bytes: Long = 16_000_000,
)

/** A request as the queue sees it. [cost] is its expected work in tokens, [deadline] is process time. */
data class Waiting(
    val id: RequestId,
    val line: QueueLine,
    val customer: CustomerId,
    val weight: Int,
    val priority: Int,
    val cost: Long,
    val bytes: Long,
    val deadline: Duration,
)

/** What a request waits for: any target of [fleet], or only [owner]. */
data class QueueLine(
    val fleet: FleetId,
    val owner: TargetId?,
)

sealed class QueueDecision {
    data object Queued : QueueDecision()

    data class Refused(
        val refusal: Refusal,
    ) : QueueDecision()
}

class AdmissionController(
    private val policy: QueuePolicy,
    private val bounds: QueueBounds,
    private val invariants: Invariants,
) {
    private class Tagged(
        val waiting: Waiting,
        val finish: Double,
        val sequence: Long,
    )

    private class Line {
        val waiting = mutableListOf<Tagged>()
        val lastFinish = mutableMapOf<CustomerId, Double>()
        var virtualTime = 0.0
        var secondsForEach = 0.0
        var lastEnd = Duration.ZERO
    }

    private val lines = mutableMapOf<QueueLine, Line>()
    private var sequence = 0L
    private var requests = 0
    private var bytes = 0L
    private var refused = 0L
    private var expired = 0L

    /** Lets [waiting] into its line or refuses it. */
    fun enter(
        waiting: Waiting,
        now: Duration,
    ): QueueDecision {
        refusalFor(waiting, now)?.let {
            refused++
            return QueueDecision.Refused(it)
        }
        insert(waiting)
        return QueueDecision.Queued
    }

    /** Puts a request that a target turned away back to the head of its line. */
    fun reenter(waiting: Waiting) {
        val line = lineOf(waiting.line)
        add(line, Tagged(waiting, Double.NEGATIVE_INFINITY, sequence++))
    }

    /** The request that goes next in [key], or null when none waits. It stays in the line until [remove]. */
    fun head(key: QueueLine): Waiting? = lines[key]?.let(::first)?.waiting

    /** Takes [waiting] out of its line because it goes or because its caller has gone. */
    fun remove(waiting: Waiting): Boolean {
        val line = lines[waiting.line] ?: return false
        val index = line.waiting.indexOfFirst { it.waiting.id == waiting.id }
        if (index < 0) return false
        val tagged = line.waiting.removeAt(index)
        if (tagged.finish.isFinite()) line.virtualTime = max(line.virtualTime, tagged.finish - costShare(waiting))
        requests--
        bytes -= waiting.bytes
        if (line.waiting.isEmpty()) line.lastFinish.clear()
        return true
    }

    /** Takes out the requests whose deadline has passed. */
    fun expire(now: Duration): List<Waiting> {
        val late = lines.values.flatMap { line -> line.waiting.map { it.waiting }.filter { it.deadline <= now } }
        late.forEach(::remove)
        expired += late.size
        return late
    }

    /** Learns how fast requests of [key] end, for the forecast of waits. */
    fun ended(
        key: QueueLine,
        now: Duration,
    ) {
        val line = lineOf(key)
        val gap = (now - line.lastEnd).toDouble(DurationUnit.SECONDS).coerceAtMost(LONGEST_GAP_SECONDS)
        line.secondsForEach = if (line.secondsForEach == 0.0) gap else line.secondsForEach * KEEP + gap * (1 - KEEP)
        line.lastEnd = now
    }

    /** The lines in which someone waits. */
    fun waitingLines(): List<QueueLine> = lines.filterValues { it.waiting.isNotEmpty() }.keys.toList()

    /** The number of requests that wait in [key]. */
    fun waitingIn(key: QueueLine): Int = lines[key]?.waiting?.size ?: 0

    fun dump(): DumpSection =
        dumpSection("admission") {
            entry("policy", policy)
            entry("waiting", requests)
            entry("waiting-bytes", bytes)
            entry("refused", refused)
            entry("expired", expired)
            for ((key, line) in lines) {
                entry(
                    "line ${key.fleet.text} ${key.owner?.text ?: "any"}",
                    "waiting=${line.waiting.size} seconds-each=${line.secondsForEach}",
                )
            }
        }

    private fun refusalFor(
        waiting: Waiting,
        now: Duration,
    ): Refusal? {
        val line = lineOf(waiting.line)
        val forecast = forecast(line, waiting)
        val full = requests >= bounds.requests || bytes + waiting.bytes > bounds.bytes
        return when {
            full -> Refusal.Overloaded(retryAfter(forecast))
            policy is QueuePolicy.WeightedFair && now + forecast > waiting.deadline -> Refusal.TooLate(retryAfter(forecast))
            else -> null
        }
    }

    /** The expected wait of a newcomer: what goes before it, at the rate at which requests end. */
    private fun forecast(
        line: Line,
        newcomer: Waiting,
    ): Duration {
        if (line.secondsForEach == 0.0) return Duration.ZERO
        val above = line.waiting.count { it.waiting.priority > newcomer.priority }
        val same = line.waiting.filter { it.waiting.priority == newcomer.priority }
        val own = same.count { it.waiting.customer == newcomer.customer }
        val weights = same.associate { it.waiting.customer to it.waiting.weight } + (newcomer.customer to newcomer.weight)
        val turns = (own + 1).toDouble() * weights.values.sum() / newcomer.weight
        val before = above + turns.coerceAtMost(same.size + 1.0) - 1
        return (before * line.secondsForEach).seconds
    }

    private fun retryAfter(forecast: Duration): Duration = forecast.coerceIn(SHORTEST_RETRY, LONGEST_RETRY)

    private fun insert(waiting: Waiting) {
        val line = lineOf(waiting.line)
        val start = max(line.virtualTime, line.lastFinish[waiting.customer] ?: 0.0)
        val finish = start + costShare(waiting)
        line.lastFinish[waiting.customer] = finish
        add(line, Tagged(waiting, finish, sequence++))
        val withinBound = requests <= bounds.requests && bytes <= bounds.bytes
        invariants.check(withinBound, Invariant.QUEUE_WITHIN_BOUND, Step.ADMIT) { "requests=$requests bytes=$bytes" }
    }

    private fun add(
        line: Line,
        tagged: Tagged,
    ) {
        line.waiting += tagged
        requests++
        bytes += tagged.waiting.bytes
    }

    private fun first(line: Line): Tagged? =
        when (policy) {
            QueuePolicy.ArrivalOrder -> line.waiting.minByOrNull { it.sequence }
            QueuePolicy.WeightedFair ->
                line.waiting.minWithOrNull(
                    compareByDescending<Tagged> { it.waiting.priority }.thenBy { it.finish }.thenBy { it.sequence },
                )
        }

    private fun lineOf(key: QueueLine): Line = lines.getOrPut(key) { Line() }

    private fun costShare(waiting: Waiting): Double = waiting.cost.toDouble() / waiting.weight

    private companion object {
        const val KEEP = 0.9
        const val LONGEST_GAP_SECONDS = 1.0
        val SHORTEST_RETRY = 200.milliseconds
        val LONGEST_RETRY = 30.seconds
    }
}
