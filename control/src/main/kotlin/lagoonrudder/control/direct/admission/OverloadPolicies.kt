/**
 * Policies for requests that find every back end at capacity: how long one may wait, when one that is refused should return,
 * which of the last free places an entry daemon takes, and which requests are admitted at all.
 *
 * Each sealed class holds the baseline beside the policy that replaced it, so that `bin/measure overload` compares them.
 */
package lagoonrudder.control.direct.admission

import kotlin.time.Duration

/** How long a request may wait for a place. */
sealed class WaitPolicy {
    /** Waits for [share] of the latency objective, whatever the queue; a baseline. */
    data class ObjectiveShare(
        val share: Double,
    ) : WaitPolicy()

    /**
     * Waits if a place is predicted in time for the latency objective, otherwise if one is predicted before the caller gives up,
     * otherwise not at all.
     */
    data object Predicted : WaitPolicy()
}

/** When a refused caller is asked to return. Callers honour at most a third of the time that they have left. */
sealed class ReturnPolicy {
    /** [after] for every caller, so that all who are refused together return together; a baseline. */
    data class Fixed(
        val after: Duration,
    ) : ReturnPolicy()

    /** A random time up to the longest that the caller honours; a baseline. */
    data object Jittered : ReturnPolicy()

    /**
     * The time at which a place is predicted to be free after all who wait and all who were asked to return before; the longest
     * time that the caller honours if no place is predicted by then.
     */
    data object Predicted : ReturnPolicy()
}

/** Which of the free places that it sees an entry daemon takes, since the others see the same ones. */
sealed class ClaimPolicy {
    /** All of them; a baseline. */
    data object All : ClaimPolicy()

    /** Its share of them and those that its own requests release, once few are free. */
    data object Share : ClaimPolicy()
}

/** Which requests may look for a place at all. */
sealed class AdmissionPolicy {
    /** All of them, and rank counts only in the queue of this daemon; a baseline. */
    data object Everyone : AdmissionPolicy()

    /**
     * By urgency over all daemons, from the counts that they report to each other. [usedShare] is the part of the capacity that is given
     * out; the remainder lets a more urgent request find a slot at any moment.
     */
    data class ByUrgency(
        val usedShare: Double = 0.95,
    ) : AdmissionPolicy()
}

/** The policies of an entry daemon under overload. */
data class OverloadPolicies(
    val wait: WaitPolicy = WaitPolicy.Predicted,
    val returns: ReturnPolicy = ReturnPolicy.Predicted,
    val claims: ClaimPolicy = ClaimPolicy.Share,
    val admission: AdmissionPolicy = AdmissionPolicy.ByUrgency(),
)

/**
 * How long a request may wait. [Within] is a fixed limit. [ForObjective] leaves the limit to the [WaitPolicy]: [objective] is the
 * time left until the request's latency objective, [patience] the time after which its caller gives up if no response has begun,
 * and [deadline] the time left until it must be complete.
 */
sealed class WaitLimit {
    data class Within(
        val limit: Duration,
    ) : WaitLimit()

    data class ForObjective(
        val latencyObjective: Duration,
        val objective: Duration,
        val patience: Duration,
        val deadline: Duration,
    ) : WaitLimit()
}

/** The decision about a request that finds no free place. */
sealed class WaitDecision {
    /** The request waits for at most [limit]; [inTime] is set if it is predicted to meet its latency objective. */
    data class Wait(
        val limit: Duration,
        val inTime: Boolean,
    ) : WaitDecision()

    /** The request is refused at once, because the wait of [predicted] is too long. */
    data class Refuse(
        val predicted: Duration,
    ) : WaitDecision()
}
