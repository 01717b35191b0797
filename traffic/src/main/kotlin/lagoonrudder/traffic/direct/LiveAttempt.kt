/**
 * An attempt at a back end whose response is awaited.
 *
 * Sending is the first step of reading, so that several attempts of a request can be awaited side by side from their start.
 */
package lagoonrudder.traffic.direct

import arrow.core.Either
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import lagoonrudder.control.direct.BeginLimit
import lagoonrudder.control.direct.Placement
import lagoonrudder.model.BackEnd
import kotlin.time.Duration

/** Reads the attempt at the back end of [placement], which [send] sends. */
internal class LiveAttempt(
    val placement: Placement.Placed,
    val relay: AttemptRelay,
    val startedAt: Duration,
    private val send: suspend () -> Either<DirectAttemptResult, OpenAttempt>,
) {
    val backEnd: BackEnd get() = placement.backEnd

    /** Until when the request may begin there. */
    var beginLimit: BeginLimit = placement.beginLimit

    /** What was known of versions at the choice of the back end, and how its response began; null for a back end without weights. */
    val versions: AttemptVersions?
        get() =
            placement.versions?.let { known ->
                AttemptVersions(
                    required = placement.number,
                    known = known,
                    number = relay.number,
                    headAfter = relay.headAt?.let { it - known.at },
                    firstEventAfter = relay.firstEventAt?.let { it - known.at },
                )
            }

    private var open: OpenAttempt? = null
    private var pending: Deferred<Either<DirectAttemptResult, ResponseEvent>>? = null

    /** When this attempt needs a decision whether its request may still begin; infinite once it has. */
    val beginDecisionAt: Duration
        get() =
            when (val limit = beginLimit) {
                is BeginLimit.Open -> if (relay.hasBegun) Duration.INFINITE else limit.until
                is BeginLimit.Passed -> startedAt
            }

    /** Whether the control thread knows that this attempt makes no progress. */
    var isReportedSilent = false

    /** Whether the suspicions know that the back end went on after the start of its answer. */
    var isAnswerReported = false

    /** Returns the next event, or the result of an attempt that could not be sent. May be cancelled and called again. */
    suspend fun next(scope: CoroutineScope): Either<DirectAttemptResult, ResponseEvent> {
        val sent = open
        // A cancelled read loses nothing, but a cancelled send may have sent the request.
        if (sent != null && pending == null) return Either.Right(sent.next())
        return nextIn(scope).await().also { onTaken() }
    }

    /** Starts to wait for the next event in [scope], unless that was begun before. The caller reports the event with [onTaken]. */
    fun nextIn(scope: CoroutineScope): Deferred<Either<DirectAttemptResult, ResponseEvent>> =
        pending ?: scope.async { sendAndRead() }.also { pending = it }

    fun onTaken() {
        pending = null
    }

    private suspend fun sendAndRead(): Either<DirectAttemptResult, ResponseEvent> {
        val sent =
            open ?: when (val result = send()) {
                is Either.Left -> return result
                is Either.Right -> result.value.also { open = it }
            }
        return Either.Right(sent.next())
    }

    /** Cancels the request at the back end, unless its response is complete. */
    fun abandon() {
        pending?.cancel()
        open?.abandon()
    }
}
