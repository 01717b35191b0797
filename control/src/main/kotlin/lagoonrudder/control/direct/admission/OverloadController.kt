/**
 * Decides which requests wait while all back ends are at capacity, and when the refused ones should return.
 *
 * The load patterns that it answers: short bursts, in which waiting within the objective serves everyone in time; sustained
 * overload, in which those who can't be served are refused at once; and the return of all who were refused together, which is
 * spread over the places that become free.
 */
package lagoonrudder.control.direct.admission

import lagoonrudder.model.ServiceId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The requests of one service that wait at this process, by whether they can still meet their latency objective. */
data class QueueLengths(
    val inTime: Int,
    val late: Int,
)

class OverloadController(
    private val random: Random,
    policies: OverloadPolicies,
) {
    private val waitPolicy = policies.wait
    private val returnPolicy = policies.returns
    private val loads = mutableMapOf<ServiceId, ServiceLoad>()

    /** When the caller that was asked to return last should return, for each service. */
    private val lastReturn = mutableMapOf<ServiceId, Duration>()

    fun recordArrival(
        service: ServiceId,
        now: Duration,
        level: UrgencyLevel? = null,
    ) = loadOf(service).recordArrival(level ?: ONLY_LEVEL, now)

    /** Records that a request has left its back end; [answered] is set if the back end answered it. */
    fun recordRelease(
        service: ServiceId,
        held: Duration,
        firstEvent: Duration?,
        answered: Boolean,
        now: Duration,
    ) {
        val load = loadOf(service)
        load.recordRelease(now)
        if (answered) load.recordAnswer(held, firstEvent)
    }

    /** Decides about a request of [service] that found no free place. [queued] are those that go before it. */
    fun decide(
        service: ServiceId,
        limit: WaitLimit,
        queued: QueueLengths,
        now: Duration,
        level: UrgencyLevel? = null,
    ): WaitDecision =
        when (limit) {
            is WaitLimit.Within -> WaitDecision.Wait(limit.limit, inTime = true)
            is WaitLimit.ForObjective -> decideByPolicy(loadOf(service), limit, queued, level ?: ONLY_LEVEL, now)
        }

    /** Returns the time after which a caller that has [timeLeft] should return to [service]. [queued] are those that go before it. */
    fun retryAfter(
        service: ServiceId,
        timeLeft: Duration,
        queued: QueueLengths,
        now: Duration,
        level: UrgencyLevel? = null,
    ): Duration {
        val longest = (timeLeft * HONOURED_SHARE).coerceAtLeast(SHORTEST_RETURN)
        return when (returnPolicy) {
            is ReturnPolicy.Fixed -> returnPolicy.after
            ReturnPolicy.Jittered -> SHORTEST_RETURN + (longest - SHORTEST_RETURN) * random.nextDouble()
            ReturnPolicy.Predicted -> predictedReturn(service, longest, queued, level ?: ONLY_LEVEL, now)
        }
    }

    private fun decideByPolicy(
        load: ServiceLoad,
        limit: WaitLimit.ForObjective,
        queued: QueueLengths,
        level: UrgencyLevel,
        now: Duration,
    ): WaitDecision =
        when (waitPolicy) {
            is WaitPolicy.ObjectiveShare ->
                WaitDecision.Wait(
                    limit.latencyObjective * waitPolicy.share,
                    inTime =
                        limit.objective > Duration.ZERO,
                )
            WaitPolicy.Predicted -> decideByPrediction(load, limit, queued, level, now)
        }

    private fun decideByPrediction(
        load: ServiceLoad,
        limit: WaitLimit.ForObjective,
        queued: QueueLengths,
        level: UrgencyLevel,
        now: Duration,
    ): WaitDecision {
        val longestInTime = limit.objective - load.firstEvent
        if (load.timeToPlace(queued.inTime + 1, level, now) <= longestInTime) return WaitDecision.Wait(longestInTime, inTime = true)
        val longest = minOf(limit.patience - load.firstEvent, limit.deadline - load.hold * HOLD_MARGIN)
        val predicted = load.timeToSparePlace(queued.inTime + queued.late + 1, level, now)
        return if (predicted <= longest) WaitDecision.Wait(longest, inTime = false) else WaitDecision.Refuse(predicted)
    }

    private fun predictedReturn(
        service: ServiceId,
        longest: Duration,
        queued: QueueLengths,
        level: UrgencyLevel,
        now: Duration,
    ): Duration {
        val load = loadOf(service)
        val afterQueue = now + load.timeToSparePlace(queued.inTime + queued.late + 1, level, now)
        val afterOthers = lastReturn[service]?.let { it + load.timeToSparePlace(1, level, now) } ?: now
        val at = maxOf(afterQueue, afterOthers, now + SHORTEST_RETURN)
        if (at > now + longest) return longest * (1 - RETURN_SPREAD * random.nextDouble())
        lastReturn[service] = at
        return at - now
    }

    private fun loadOf(service: ServiceId) = loads.getOrPut(service) { ServiceLoad() }

    private companion object {
        /** The level of all requests of a service whose requests don't differ in rank. */
        val ONLY_LEVEL = UrgencyLevel(0)

        /** Callers honour a third of the time left to them; the remainder covers the way of the response. */
        const val HONOURED_SHARE = 0.32

        /** The part of the longest return time over which callers are spread when no place is predicted. */
        const val RETURN_SPREAD = 0.3
        val SHORTEST_RETURN = 100.milliseconds

        /** Covers most requests that take longer than the mean. */
        const val HOLD_MARGIN = 2.0
    }
}
