/**
 * Tracks which sources of weights answer, so that one that fails is asked by one fetch at a time, with pauses between.
 */
package lagoonrudder.control.direct

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The end of a time in which a source failed; [fetches] is how many failed. */
data class SourceRecovery(
    val fetches: Int,
    val lasted: Duration,
)

class WeightSourceController {
    private class Outage(
        val since: Duration,
    ) {
        var failures = 0
        var nextFetchAt = since
        var fetching = false
    }

    private val outages = mutableMapOf<WeightSource, Outage>()

    /** Returns whether to ask [source] now. The caller reports the result of the fetch, which decides about the next one. */
    fun mayFetch(
        source: WeightSource,
        now: Duration,
    ): Boolean {
        val outage = outages[source] ?: return true
        if (outage.fetching || now < outage.nextFetchAt) return false
        outage.fetching = true
        return true
    }

    /** Records that [source] did not answer; returns whether that is news. */
    fun onFailure(
        source: WeightSource,
        now: Duration,
    ): Boolean {
        val isNew = source !in outages
        val outage = outages.getOrPut(source) { Outage(now) }
        outage.fetching = false
        outage.nextFetchAt = now + (FIRST_PAUSE * (1 shl outage.failures.coerceAtMost(MAX_DOUBLINGS)))
        outage.failures++
        return isNew
    }

    /** Records that [source] answered; returns the outage that this ends. */
    fun onAnswer(
        source: WeightSource,
        now: Duration,
    ): SourceRecovery? = outages.remove(source)?.let { SourceRecovery(it.failures, now - it.since) }

    /** Records that a fetch was cancelled, which tells nothing about [source]. */
    fun onCancelled(source: WeightSource) {
        outages[source]?.fetching = false
    }

    private companion object {
        /** Weights are awaited within seconds, so the pauses stay short. */
        val FIRST_PAUSE = 50.milliseconds
        const val MAX_DOUBLINGS = 2
    }
}
