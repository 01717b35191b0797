/**
 * What this process has sent to one back end lately, and how that went.
 *
 * Failures in a row set a back end aside for doubling times, and so does turning requests away; an answer ends that.
 */
package lagoonrudder.control.direct

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How an attempt at a back end ended. */
enum class AttemptOutcome { ANSWERED, NOT_RUN, FAILED, TIMED_OUT, UNREACHABLE, ABANDONED }

internal class BackEndStats {
    private class Sent(
        val at: Duration,
        val promptTokens: Int,
    )

    private val sent = ArrayDeque<Sent>()
    private var refusals = 0

    var inFlight = 0
        private set

    var failures = 0
        private set

    /** Until when this back end gets nothing while another one can take it. */
    var ejectedUntil = Duration.ZERO
        private set

    /** How many requests were sent in the window before [now] for which a cold back end's rate counts. */
    fun recentRequests(now: Duration): Int {
        while (sent.isNotEmpty() && now - sent.first().at > COLD_WINDOW) sent.removeFirst()
        return sent.size
    }

    /** The prompt tokens that this process sent so recently that the back end may still be reading them. */
    fun prefillTokens(now: Duration): Int {
        var tokens = 0
        for (index in sent.indices.reversed()) {
            if (now - sent[index].at > READING_TIME) break
            tokens += sent[index].promptTokens
        }
        return tokens
    }

    fun send(
        promptTokens: Int,
        now: Duration,
    ) {
        recentRequests(now)
        sent.addLast(Sent(now, promptTokens))
        inFlight++
    }

    fun ended(
        end: AttemptOutcome,
        now: Duration,
    ) {
        inFlight--
        when (end) {
            AttemptOutcome.ANSWERED -> answered()
            AttemptOutcome.NOT_RUN -> turnedAway(now)
            AttemptOutcome.FAILED -> failed(atOnce = false, now)
            AttemptOutcome.TIMED_OUT, AttemptOutcome.UNREACHABLE -> failed(atOnce = true, now)
            AttemptOutcome.ABANDONED -> Unit
        }
    }

    private fun answered() {
        failures = 0
        refusals = 0
    }

    /** A back end that turns requests away, for example while it loads, is asked again after doubling times. */
    private fun turnedAway(now: Duration) {
        val doublings = refusals.coerceAtMost(MOST_DOUBLINGS)
        refusals++
        ejectedUntil = maxOf(ejectedUntil, now + AFTER_NOT_RUN * (1 shl doublings))
    }

    private fun failed(
        atOnce: Boolean,
        now: Duration,
    ) {
        failures++
        if (failures < FAILURES_BEFORE_ASIDE && !atOnce) return
        val doublings = (failures - 1).coerceIn(0, MOST_DOUBLINGS)
        ejectedUntil = now + FIRST_ASIDE * (1 shl doublings)
    }

    private companion object {
        const val FAILURES_BEFORE_ASIDE = 3
        const val MOST_DOUBLINGS = 3

        /** A restart of a back end takes a little longer; doubled three times it covers most of them. */
        val FIRST_ASIDE = 700.milliseconds

        /** A load takes two to three times as long. */
        val AFTER_NOT_RUN = 150.milliseconds

        /** Within two or three passes of an engine a prompt was read. */
        val READING_TIME = 120.milliseconds

        /** The rate counts over every second; a tenth more covers requests that arrive closer together than they were sent. */
        val COLD_WINDOW = 1.seconds + 100.milliseconds
    }
}
