/**
 * Models the load behavior of a fake engine, for engines on sockets and in virtual time.
 */
package lagoonrudder.standins

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The parameters of a fake engine.
 *
 * An engine runs [coldCapacity] requests at full speed when it starts and [warmCapacity] after [warmUp]. It crashes when its
 * requests exceed its capacity by the factor [crashLoadFactor], or its tokens exceed [memoryTokens].
 */
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

/** Counts the requests and tokens in an engine and computes the resulting slowdown. */
class EngineLoad(
    private val traits: EngineTraits,
) {
    private val requests = AtomicInteger()
    private val tokens = AtomicLong()

    fun requests(): Int = requests.get()

    /** Adds a request and returns false when the engine crashes under the load. [age] is the time since the engine started. */
    fun admit(
        tokens: Long,
        age: Duration,
    ): Boolean {
        val now = requests.incrementAndGet()
        val held = this.tokens.addAndGet(tokens)
        return now <= capacity(age) * traits.crashLoadFactor && held <= traits.memoryTokens
    }

    fun release(tokens: Long) {
        requests.decrementAndGet()
        this.tokens.addAndGet(-tokens)
    }

    /** Returns the factor by which a request runs slower now than on an idle engine. */
    fun slowdown(age: Duration): Double {
        val load = requests.get() / capacity(age)
        return if (load <= 1.0) 1.0 else load * load
    }

    private fun capacity(age: Duration): Double {
        val warmUpFraction = (age / traits.warmUp).coerceIn(0.0, 1.0)
        return traits.coldCapacity + (traits.warmCapacity - traits.coldCapacity) * warmUpFraction
    }
}
