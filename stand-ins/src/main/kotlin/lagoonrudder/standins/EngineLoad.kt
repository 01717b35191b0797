/**
 * How a stand-in engine behaves under load, over sockets and in virtual time alike.
 */
package lagoonrudder.standins

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How an engine behaves. [coldRequests] is what it bears when fresh, [warmRequests] after [warmUp]. */
data class EngineTraits(
    val coldRequests: Int = 3,
    val warmRequests: Int = 16,
    val warmUp: Duration = 5.seconds,
    val firstToken: Duration = 40.milliseconds,
    val tokenInterval: Duration = 10.milliseconds,
    val fallsOverAt: Double = 3.0,
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
    fun enter(
        tokens: Long,
        age: Duration,
    ): Boolean {
        val now = requests.incrementAndGet()
        val held = this.tokens.addAndGet(tokens)
        return now <= bears(age) * traits.fallsOverAt && held <= traits.memoryTokens
    }

    fun leave(tokens: Long) {
        requests.decrementAndGet()
        this.tokens.addAndGet(-tokens)
    }

    /** How many times slower than alone a request runs now. */
    fun slowness(age: Duration): Double {
        val load = requests.get() / bears(age)
        return if (load <= 1.0) 1.0 else load * load
    }

    private fun bears(age: Duration): Double {
        val warmth = (age / traits.warmUp).coerceIn(0.0, 1.0)
        return traits.coldRequests + (traits.warmRequests - traits.coldRequests) * warmth
    }
}
