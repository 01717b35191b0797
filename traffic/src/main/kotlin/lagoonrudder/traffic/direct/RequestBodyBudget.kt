/**
 * The bytes that request bodies of all callers, and heads that are not complete yet, may hold together in this process.
 *
 * Bodies of a few kilobytes may use all of the budget, larger ones only a share of it, so that a few large bodies that arrive slowly
 * don't keep out the many small ones. This is state of the traffic, not of the control thread: all functions are called on the traffic
 * thread, which holds the bodies.
 */
package lagoonrudder.traffic.direct

import lagoonrudder.control.DumpSection
import lagoonrudder.control.dumpSection
import lagoonrudder.control.entry
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The bytes for all bodies, and how many of them bodies over [smallBody] may use. A refused caller may return after [retryAfter]. */
data class RequestBodyBounds(
    val total: Long,
    val forLarge: Long = total / 4 * 3,
    val smallBody: Long = 65_536,
    val retryAfter: Duration = 1.seconds,
)

sealed class BodyDecision {
    data object Granted : BodyDecision()

    data class Refused(
        val retryAfter: Duration,
    ) : BodyDecision()
}

class RequestBodyBudget(
    private val bounds: RequestBodyBounds,
) {
    /** The bytes that bodies hold. May be read on any thread. */
    @Volatile
    var held = 0L
        private set

    /** The number of requests that were refused. May be read on any thread. */
    @Volatile
    var refused = 0L
        private set

    /** Reserves [bytes] more for a body that has reserved [before]. */
    fun reserve(
        bytes: Long,
        before: Long,
    ): BodyDecision {
        val limit = if (before + bytes > bounds.smallBody) bounds.forLarge else bounds.total
        if (held + bytes > limit) {
            refused++
            return BodyDecision.Refused(bounds.retryAfter)
        }
        held += bytes
        return BodyDecision.Granted
    }

    /** Releases [bytes] that were reserved. */
    fun release(bytes: Long) {
        held -= bytes
    }

    fun dump(): DumpSection =
        dumpSection("request-bodies") {
            entry("budget-bytes", bounds.total)
            entry("held-bytes", held)
            entry("refused", refused)
        }
}
