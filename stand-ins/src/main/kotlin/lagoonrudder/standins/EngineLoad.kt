/**
 * How a stand-in engine behaves under load, over sockets and in virtual time alike.
 */
package lagoonrudder.standins

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How an engine behaves. [coldCapacity] is what it bears when fresh, [warmCapacity] after [warmUp]. */
data class EngineTraits(
    val coldCapacity: Int = 3,
    val warmCapacity: Int = 16,
    val warmUp: Duration = 5.seconds,
    val firstTokenDelay: Duration = 40.milliseconds,
    val tokenInterval: Duration = 10.milliseconds,
    val crashLoadFactor: Double = 3.0,
    val memoryTokens: Long = 100_000,
    val downTime: Duration = 2.seconds,
    val loadTime: Duration = 300.milliseconds,
    val checksFencing: Boolean = true,
)

/** Counts what an engine holds and says how slow that makes it. */
class EngineLoad(
    private val traits: EngineTraits,
) {
    private val requests = AtomicInteger()
    private val tokens = AtomicLong()

    fun requests(): Int = requests.get()

    /** Takes a request in; false when the engine falls over under it. [age] is the time since the engine started. */
    fun admit(
        tokens: Long,
        age: Duration,
    ): Boolean {
        val now = requests.incrementAndGet()
        val held = this.tokens.addAndGet(tokens)
        return now <= bears(age) * traits.crashLoadFactor && held <= traits.memoryTokens
    }

    fun release(tokens: Long) {
        requests.decrementAndGet()
        this.tokens.addAndGet(-tokens)
    }

    /** How many times slower than alone a request runs now. */
    fun slowdown(age: Duration): Double {
        val load = requests.get() / bears(age)
        return if (load <= 1.0) 1.0 else load * load
    }

    private fun bears(age: Duration): Double {
        val warmth = (age / traits.warmUp).coerceIn(0.0, 1.0)
        return traits.coldCapacity + (traits.warmCapacity - traits.coldCapacity) * warmth
    }
}
