/**
 * A rate limit with a burst, in any unit.
 */
package lagoonrudder.control

import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Fills at [ratePerSecond] up to [burst]; starts full. */
class TokenBucket(
    private var ratePerSecond: Double,
    private var burst: Double,
) {
    private var level = burst
    private var filledAt = Duration.ZERO

    /** Changes the rate and the burst; what is saved beyond the new burst is lost. */
    fun configure(
        ratePerSecond: Double,
        burst: Double,
    ) {
        this.ratePerSecond = ratePerSecond
        this.burst = burst
        level = min(level, burst)
    }

    /** Takes [amount] if it is there. An amount above the burst passes when the bucket is full and leaves it in debt. */
    fun take(
        amount: Double,
        now: Duration,
    ): Boolean {
        fill(now)
        if (level < min(amount, burst)) return false
        level -= amount
        return true
    }

    /** Gives back what was taken for something that did not happen. */
    fun refund(amount: Double) {
        level = min(burst, level + amount)
    }

    /** How long until [take] of [amount] can pass. */
    fun waitTime(
        amount: Double,
        now: Duration,
    ): Duration {
        fill(now)
        val missing = min(amount, burst) - level
        return if (missing <= 0) Duration.ZERO else (missing / ratePerSecond).seconds
    }

    private fun fill(now: Duration) {
        val passed = (now - filledAt).toDouble(DurationUnit.SECONDS)
        level = min(burst, level + passed * ratePerSecond)
        filledAt = now
    }
}
