/**
 * The outcomes of a request and the reasons for which it is refused.
 *
 * A [Refusal] guarantees that the request did not run and will not run. When this can't be guaranteed, the outcome is
 * [Outcome.Unknown]. A response that failed after its start is [Outcome.Broken].
 */
package lagoonrudder.model

import kotlin.time.Duration

/** Why a request was not run. [retryAfter] is the delay before a retry may succeed, or null when retrying is useless. */
sealed class Refusal {
    abstract val retryAfter: Duration?

    data object UnknownRoute : Refusal() {
        override val retryAfter = null
    }

    data object UnknownCustomer : Refusal() {
        override val retryAfter = null
    }

    /** A required part of the request is missing or invalid, such as the key of a request that may run at most once. */
    data class Invalid(
        val expected: String,
    ) : Refusal() {
        override val retryAfter = null
    }

    /** A queue, a limit or a memory budget is full. */
    data class Overloaded(
        override val retryAfter: Duration,
    ) : Refusal()

    /** The request can't complete before its deadline. */
    data class TooLate(
        override val retryAfter: Duration,
    ) : Refusal()

    /** The process or its target is shutting down, starting or switching versions. */
    data class NotServing(
        override val retryAfter: Duration,
        val reason: String,
    ) : Refusal()

    /** No target that can serve the request is reachable. */
    data class NoTarget(
        override val retryAfter: Duration,
    ) : Refusal()

    /** The target holds a different version of the weights than the request requires. */
    data class WrongVersion(
        override val retryAfter: Duration,
    ) : Refusal()

    /** Requests with the same part in their prompts crashed the back ends that began to answer them. */
    data class HeldBack(
        override val retryAfter: Duration,
    ) : Refusal()

    /** The stable name of the refusal in responses, logs and metrics. */
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
                is HeldBack -> "held-back"
            }
}

sealed class Outcome {
    /** The complete response was forwarded: [length] bytes from [version], which is null for a plain service. */
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

    /** The request may or may not have run, and no part of a response was forwarded. */
    data class Unknown(
        val failure: Failure,
    ) : Outcome()

    /** Part of the response was forwarded and the rest is not available. */
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
