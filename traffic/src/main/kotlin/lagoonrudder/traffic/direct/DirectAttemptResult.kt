/**
 * The results that an attempt at a back end may have.
 */
package lagoonrudder.traffic.direct

import lagoonrudder.control.direct.AttemptOutcome
import lagoonrudder.control.direct.BeginLimit

internal sealed class DirectAttemptResult {
    /** What the result says about the back end. */
    val outcome: AttemptOutcome
        get() =
            when (this) {
                is Completed -> AttemptOutcome.ANSWERED
                is NotRun -> if (reached) AttemptOutcome.NOT_RUN else AttemptOutcome.UNREACHABLE
                is Lost, is Failed -> AttemptOutcome.FAILED
                is OutOfTime -> if (timedOut) AttemptOutcome.TIMED_OUT else AttemptOutcome.ABANDONED
                is NotBegun, is Withdrawn, Superseded -> AttemptOutcome.ABANDONED
            }

    /** Returns the result for the log. */
    fun describe(): String =
        when (this) {
            is Completed -> "answered"
            is NotRun -> "not-run:$detail"
            is Withdrawn -> "withdrawn:$detail"
            is Lost -> "lost:$detail"
            is NotBegun -> "not-begun:$detail"
            is OutOfTime -> "out-of-time"
            is Failed -> "failed:$status"
            Superseded -> "superseded"
        }

    data class Completed(
        val length: Long,
    ) : DirectAttemptResult()

    /** The request did not run at the back end. [reached] is set if it arrived there. */
    data class NotRun(
        val reached: Boolean,
        val detail: String,
    ) : DirectAttemptResult()

    /** Nothing was sent, since the place was no longer available once there was a connection to the back end. */
    data class Withdrawn(
        val detail: String,
    ) : DirectAttemptResult()

    /**
     * The request may have run at the back end, but there is no response to forward. [disconnected] is set if the back end closed the
     * connection.
     */
    data class Lost(
        val detail: String,
        val disconnected: Boolean = false,
    ) : DirectAttemptResult()

    /** The request did not begin at the back end while it still might, see [BeginLimit]. */
    data class NotBegun(
        val detail: String,
    ) : DirectAttemptResult()

    /** Another attempt has provided the response, or its next event, first. */
    data object Superseded : DirectAttemptResult()

    /** The deadline of the caller or the route expired; [timedOut] is set if the back end had sent nothing at all. */
    data class OutOfTime(
        val timedOut: Boolean,
    ) : DirectAttemptResult()

    /** The back end ran the request and it failed; [DirectRelay] holds the error response. */
    data class Failed(
        val status: Int,
    ) : DirectAttemptResult()
}
