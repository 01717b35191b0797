/**
 * Tracks what this process recently sent to one back end and the outcomes of those attempts.
 *
 * Consecutive failures and consecutive rejections eject the back end for exponentially growing intervals; a successful
 * response resets both counters. One silence of a back end counts once, however many requests it concerns.
 */
package lagoonrudder.control.direct

import lagoonrudder.control.direct.admission.PlaceClaims
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The outcome of an attempt at a back end. */
enum class AttemptOutcome { ANSWERED, NOT_RUN, FAILED, TIMED_OUT, UNREACHABLE, ABANDONED }

internal class BackEndStats {
    private class Sent(
        val at: Duration,
        val promptTokens: Int,
    )

    private val sent = ArrayDeque<Sent>()
    private var rejections = 0

    var inFlight = 0
        private set

    var failures = 0
        private set

    /** The time until which this back end receives no requests while another one is available. */
    var ejectedUntil = Duration.ZERO
        private set

    /** The attempts in flight that make no progress. */
    var silent = 0
        private set

    /** The time that recent attempts waited for their first event; it rises with one attempt and falls slowly. */
    var firstEvent = Duration.ZERO
        private set

    /** What this process may take of the last free places. */
    val claims = PlaceClaims()

    /** Returns the number of requests sent within the cold rate window that ends at [now]. */
    fun recentRequests(now: Duration): Int {
        while (sent.isNotEmpty() && now - sent.first().at > COLD_RATE_WINDOW) sent.removeFirst()
        return sent.size
    }

    /** Returns the prompt tokens that this process sent so recently that the back end may still be in prefill for them. */
    fun prefillTokens(now: Duration): Int {
        var tokens = 0
        for (index in sent.indices.reversed()) {
            if (now - sent[index].at > PREFILL_TIME) break
            tokens += sent[index].promptTokens
        }
        return tokens
    }

    fun recordSend(
        promptTokens: Int,
        now: Duration,
    ) {
        recentRequests(now)
        sent.addLast(Sent(now, promptTokens))
        inFlight++
        claims.onTaken()
    }

    /** Forgets the latest request that was recorded at or before [takenAt], since it has not been sent. It remains in flight. */
    fun withdrawSend(takenAt: Duration) {
        val index = sent.indexOfLast { it.at <= takenAt }
        if (index >= 0) sent.removeAt(index)
    }

    /** Records that a request in flight which was withdrawn before is sent after all. */
    fun recordDelayedSend(
        promptTokens: Int,
        now: Duration,
    ) {
        recentRequests(now)
        sent.addLast(Sent(now, promptTokens))
    }

    fun recordOutcome(
        outcome: AttemptOutcome,
        now: Duration,
    ) {
        inFlight--
        claims.onReleased(now)
        when (outcome) {
            AttemptOutcome.ANSWERED -> onSuccess()
            AttemptOutcome.NOT_RUN -> onRejected(now)
            AttemptOutcome.FAILED -> onFailure(immediately = false, now)
            AttemptOutcome.TIMED_OUT, AttemptOutcome.UNREACHABLE -> onTimedOut(now)
            AttemptOutcome.ABANDONED -> Unit
        }
    }

    /** Records when the first event of an attempt came; one without any tells no more than how long it waited for it. */
    fun recordTimes(times: AttemptTimes) {
        val waited = times.firstEvent ?: times.held.takeIf { it > firstEvent } ?: return
        firstEvent = maxOf(waited, firstEvent + (waited - firstEvent) * FIRST_EVENT_SMOOTHING)
    }

    /** Records that the back end gave no answer in time, or no connection; it changes nothing while the back end is ejected. */
    fun onTimedOut(now: Duration) {
        if (now >= ejectedUntil) onFailure(immediately = true, now)
    }

    fun onSilent() {
        silent++
    }

    fun onNoLongerSilent() {
        silent--
    }

    private fun onSuccess() {
        failures = 0
        rejections = 0
    }

    /** Backs off exponentially from a back end that rejects requests, for example while it loads weights. */
    private fun onRejected(now: Duration) {
        val doublings = rejections.coerceAtMost(MAX_DOUBLINGS)
        rejections++
        ejectedUntil = maxOf(ejectedUntil, now + BASE_REJECTION_BACKOFF * (1 shl doublings))
    }

    private fun onFailure(
        immediately: Boolean,
        now: Duration,
    ) {
        failures++
        if (failures < FAILURES_BEFORE_EJECTION && !immediately) return
        val doublings = (failures - 1).coerceIn(0, MAX_DOUBLINGS)
        ejectedUntil = now + BASE_EJECTION_TIME * (1 shl doublings)
    }

    private companion object {
        const val FAILURES_BEFORE_EJECTION = 3
        const val MAX_DOUBLINGS = 3
        const val FIRST_EVENT_SMOOTHING = 0.25

        /** A back end takes slightly longer than this to restart; with three doublings it covers most restarts. */
        val BASE_EJECTION_TIME = 700.milliseconds

        /** Loading weights takes two to three times as long. */
        val BASE_REJECTION_BACKOFF = 150.milliseconds

        /** An engine completes prefill of a prompt within two or three batch iterations. */
        val PREFILL_TIME = 120.milliseconds

        /** The rate limit applies to every second; a tenth more covers requests that arrive closer together than they were sent. */
        val COLD_RATE_WINDOW = 1.seconds + 100.milliseconds
    }
}
