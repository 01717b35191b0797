/**
 * How a request ends, and the refusals that are always true.
 *
 * A [Refusal] states that the request did not run and will not run. Whatever can't be proved not to have run is
 * [Outcome.Unknown], and an answer that broke after its start is [Outcome.Broken].
 */
package lagoonrudder.model

import kotlin.time.Duration

/** Why a request was not run. [retryAfter] is when a repeat may succeed, or null when it won't without a change. */
sealed class Refusal {
    abstract val retryAfter: Duration?

    data object UnknownRoute : Refusal() {
        override val retryAfter = null
    }

    data object UnknownCustomer : Refusal() {
        override val retryAfter = null
    }

    /** The request lacks something it needs, such as the key of a request that may run at most once. */
    data class Invalid(
        val expected: String,
    ) : Refusal() {
        override val retryAfter = null
    }

    /** A queue, a limit or a memory budget is full. */
    data class Overloaded(
        override val retryAfter: Duration,
    ) : Refusal()

    /** The request can't end before its deadline. */
    data class TooLate(
        override val retryAfter: Duration,
    ) : Refusal()

    /** The process or its target is leaving, starting or switching. */
    data class NotServing(
        override val retryAfter: Duration,
        val reason: String,
    ) : Refusal()

    /** No target that could serve the request can be reached. */
    data class NoTarget(
        override val retryAfter: Duration,
    ) : Refusal()

    /** The target holds other weights than the request asks for. */
    data class WrongVersion(
        override val retryAfter: Duration,
    ) : Refusal()

    /** The stable name of the refusal in answers, logs and metrics. */
    val code: String
        get() =
            when (this) {
                UnknownRoute -> "unknown-route"
                UnknownCustomer -> "unknown-customer"
                is Invalid -> "invalid"
                is Overloaded -> "overloaded"
                is TooLate -> "too-late"
                is NotServing -> "not-serving"
                is NoTarget -> "no-target"
                is WrongVersion -> "wrong-version"
            }
}

sealed class Outcome {
    /** The whole answer was handed on: [length] bytes served by [version] (null for a plain service). */
    data class Completed(
        val length: Long,
        val version: VersionId?,
    ) : Outcome()

    /** The request did not run. */
    data class Refused(
        val refusal: Refusal,
        val step: Step,
        val peer: Peer,
    ) : Outcome()

    /** The request may or may not have run; nothing of an answer was handed on. */
    data class Unknown(
        val failure: Failure,
    ) : Outcome()

    /** Part of the answer was handed on and the rest can't be had. */
    data class Broken(
        val failure: Failure,
    ) : Outcome()

    /** The stable name of the outcome in logs and metrics. */
    val code: String
        get() =
            when (this) {
                is Completed -> "completed"
                is Refused -> "refused-${refusal.code}"
                is Unknown -> "unknown"
                is Broken -> "broken"
            }
}
