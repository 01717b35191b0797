/**
 * A rate limiter that allows bursts, in any unit.
 */
package lagoonrudder.control

import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A token bucket that starts full and refills at [ratePerSecond] up to [burst]. */
class TokenBucket(
    private var ratePerSecond: Double,
    private var burst: Double,
) {
    private var level = burst
    private var refilledAt = Duration.ZERO

    /** Changes the rate and the burst; tokens beyond the new burst are discarded. */
    fun configure(
        ratePerSecond: Double,
        burst: Double,
    ) {
        this.ratePerSecond = ratePerSecond
        this.burst = burst
        level = min(level, burst)
    }

    /**
     * Takes [amount] and returns true if it is available. An amount above the burst is granted when the bucket is full, and
     * leaves the level negative.
     */
    fun tryTake(
        amount: Double,
        now: Duration,
    ): Boolean {
        refill(now)
        if (level < min(amount, burst)) return false
        level -= amount
        return true
    }

    /** Returns tokens that were taken but not used. */
    fun refund(amount: Double) {
        level = min(burst, level + amount)
    }

    /** Returns the time until [tryTake] of [amount] can succeed. */
    fun waitTime(
        amount: Double,
        now: Duration,
    ): Duration {
        refill(now)
        val missing = min(amount, burst) - level
        return if (missing <= 0) Duration.ZERO else (missing / ratePerSecond).seconds
    }

    private fun refill(now: Duration) {
        val elapsed = (now - refilledAt).toDouble(DurationUnit.SECONDS)
        level = min(burst, level + elapsed * ratePerSecond)
        refilledAt = now
    }
}
