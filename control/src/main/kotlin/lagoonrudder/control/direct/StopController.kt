/**
 * Decides what an entry daemon that is being stopped still accepts, and when the phases of the stop begin.
 *
 * The load balancer takes some time to notice that a daemon is not ready, and callers keep using open connections, so the daemon
 * goes on serving at first. A request that may run only once is accepted only if its deadline is before the end of the process;
 * any other one ends by then at the latest.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The times of a stop: from [drainAt] on connections are closed between requests, from [stopReadingAt] on every request gets the
 * [refusal], and at [answerAt] those still in progress get an answer, which may be written until [exitAt], shortly before the process
 * is killed.
 */
data class StopSchedule(
    val drainAt: Duration,
    val stopReadingAt: Duration,
    val answerAt: Duration,
    val exitAt: Duration,
    val refusal: Refusal,
)

/** What a daemon does with a new request. */
sealed class StopDecision {
    data object Serve : StopDecision()

    /** The request is served, and ends at [latestEnd] at the latest. */
    data class ServeUntil(
        val latestEnd: Duration,
    ) : StopDecision()

    data class Refuse(
        val refusal: Refusal,
    ) : StopDecision()
}

/** [grace] is the time from the stop signal until the process is killed. */
class StopController(
    private val grace: Duration,
) {
    private var schedule: StopSchedule? = null

    /** Begins the stop, unless it has begun already. */
    fun onStopRequested(now: Duration): StopSchedule = schedule ?: scheduleFrom(now).also { schedule = it }

    private fun scheduleFrom(now: Duration): StopSchedule {
        val margin = minOf(ANSWER_MARGIN, grace * SHORTEST_PHASE)
        val drain = minOf(LOAD_BALANCER_TIME, grace * LONGEST_DRAIN)
        val closing = minOf(CONNECTION_CLOSING_TIME, grace * SHORTEST_PHASE)
        val refusal = Refusal.NotServing(RETRY_AFTER, "this process stops")
        val end = now + grace
        return StopSchedule(now + drain, now + drain + closing, end - margin, end - margin * EXIT_SHARE, refusal)
    }

    /** Decides about a request of [kind] whose caller or route stops waiting at [deadline]. */
    fun decide(
        kind: RequestKind,
        deadline: Duration,
    ): StopDecision {
        val latestEnd = schedule?.answerAt ?: return StopDecision.Serve
        return when {
            deadline <= latestEnd -> StopDecision.Serve
            kind.retryable -> StopDecision.ServeUntil(latestEnd)
            else -> StopDecision.Refuse(Refusal.NotServing(RETRY_AFTER, "this process stops before the deadline of the request"))
        }
    }

    private companion object {
        /** The load balancer checks readiness once a second and stops routing here after two failed checks. */
        val LOAD_BALANCER_TIME = 2_300.milliseconds
        val CONNECTION_CLOSING_TIME = 400.milliseconds

        /** Answers that are written this long before the process is killed still arrive. */
        val ANSWER_MARGIN = 700.milliseconds

        /** The share of the answer margin that is left when the process exits. */
        const val EXIT_SHARE = 0.3

        /** Shares of the grace period. */
        const val LONGEST_DRAIN = 0.5
        const val SHORTEST_PHASE = 0.1

        /** Other daemons can serve the request at once. */
        val RETRY_AFTER = 100.milliseconds
    }
}
