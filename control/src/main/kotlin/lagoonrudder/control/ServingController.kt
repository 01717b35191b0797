/**
 * Decides whether this process takes new work.
 *
 * A process leaves when it is told to stop, and never returns from that. Operators' published state, a configuration
 * that must be confirmed, and a pause of the process hold new work back as well; work in hand always goes on.
 */
package lagoonrudder.control

import kotlinx.coroutines.CompletableDeferred
import lagoonrudder.model.DomainId
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.Refusal
import lagoonrudder.model.AdminState
import lagoonrudder.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

sealed class ServingState {
    data object Serving : ServingState()

    /** New work is refused with [reason]; callers may try elsewhere after [retryAfter]. */
    data class Unavailable(
        val reason: String,
        val retryAfter: Duration,
    ) : ServingState()
}

class ServingController(
    private val domain: DomainId,
    private val target: TargetId?,
) {
    private var leaving = false
    private var active = 0
    private var lastTick: Duration? = null

    /** Completed when the process was told to stop and everything that was in hand has ended. */
    val drained = CompletableDeferred<Unit>()

    /** The process was told to stop: no new work from now on. */
    fun beginShutdown() {
        leaving = true
        completeWhenDrained()
    }

    fun onRequestStarted() {
        active++
    }

    fun onRequestEnded() {
        active--
        completeWhenDrained()
    }

    fun active(): Int = active

    /** Notes the regular tick of the control thread; returns whether the process was paused since the last one. */
    fun tick(now: Duration): Boolean {
        val last = lastTick
        lastTick = now
        return last != null && now - last > LONGEST_TICK_GAP
    }

    /** Whether the process was paused up to now, seen from any decision rather than from the tick. */
    fun wasPaused(now: Duration): Boolean {
        val last = lastTick ?: return false
        return now - last > LONGEST_TICK_GAP
    }

    /** The state for new work under [objects]; [confirmed] as the configuration controller says. */
    fun state(
        objects: ObjectSet,
        confirmed: Boolean,
    ): ServingState =
        when {
            leaving -> ServingState.Unavailable("leaving", RETRY_AT_ONCE)
            !confirmed -> ServingState.Unavailable("configuration is being confirmed", RETRY_SOON)
            objects.domains[domain]?.service == AdminState.OUT -> ServingState.Unavailable("failure domain out of service", RETRY_AT_ONCE)
            target != null && objects.targets[target]?.service != AdminState.IN -> ServingState.Unavailable("target out of service", RETRY_AT_ONCE)
            else -> ServingState.Serving
        }

    private fun completeWhenDrained() {
        if (leaving && active == 0) drained.complete(Unit)
    }

    fun dump(): DumpSection =
        dumpSection("service") {
            entry("domain", domain.text)
            entry("target", target?.text)
            entry("leaving", leaving)
            entry("in-hand", active)
        }

    private companion object {
        val LONGEST_TICK_GAP = 1.seconds
        val RETRY_AT_ONCE = 50.milliseconds
        val RETRY_SOON = 500.milliseconds
    }
}

/** The refusal that goes with a closed state. */
fun ServingState.Unavailable.refusal(): Refusal = Refusal.NotServing(retryAfter, reason)
