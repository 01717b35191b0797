/**
 * Controls whether this process accepts new requests.
 *
 * A process that was told to stop never accepts requests again. The published state, a configuration that has to be
 * confirmed, and a pause of the process also hold back new requests. In-flight requests always continue.
 */
package lagoonrudder.control

import kotlinx.coroutines.CompletableDeferred
import lagoonrudder.model.AdminState
import lagoonrudder.model.DomainId
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.Refusal
import lagoonrudder.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Whether a process accepts new requests. */
sealed class ServingState {
    data object Serving : ServingState()

    /** New requests are rejected with [reason]; callers may retry elsewhere after [retryAfter]. */
    data class Unavailable(
        val reason: String,
        val retryAfter: Duration,
    ) : ServingState()
}

class ServingController(
    private val domain: DomainId,
    private val target: TargetId?,
) {
    private var shuttingDown = false
    private var active = 0
    private var lastTick: Duration? = null

    /** Completes when the process was told to stop and all in-flight requests have ended. */
    val drained = CompletableDeferred<Unit>()

    /** Stops accepting new requests, permanently. */
    fun beginShutdown() {
        shuttingDown = true
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

    /** Records the periodic tick of the control thread; returns whether the process was paused since the last tick. */
    fun tick(now: Duration): Boolean {
        val previousTick = lastTick
        lastTick = now
        return previousTick != null && now - previousTick > MAX_TICK_GAP
    }

    /** Whether the process was paused until [now], for decisions made before the first tick after the pause. */
    fun wasPaused(now: Duration): Boolean {
        val previousTick = lastTick ?: return false
        return now - previousTick > MAX_TICK_GAP
    }

    /** Returns the state for new requests under [objects]; [confirmed] is the result of [ConfigurationController.mayServe]. */
    fun state(
        objects: ObjectSet,
        confirmed: Boolean,
    ): ServingState =
        when {
            shuttingDown -> ServingState.Unavailable("leaving", SHORT_RETRY_AFTER)
            !confirmed -> ServingState.Unavailable("configuration not yet confirmed", LONG_RETRY_AFTER)
            objects.domains[domain]?.service == AdminState.OUT ->
                ServingState.Unavailable(
                    "failure domain out of service",
                    SHORT_RETRY_AFTER,
                )
            target != null && objects.targets[target]?.service != AdminState.IN ->
                ServingState.Unavailable(
                    "target out of service",
                    SHORT_RETRY_AFTER,
                )
            else -> ServingState.Serving
        }

    private fun completeWhenDrained() {
        if (shuttingDown && active == 0) drained.complete(Unit)
    }

    fun dump(): DumpSection =
        dumpSection("service") {
            entry("domain", domain.text)
            entry("target", target?.text)
            entry("leaving", shuttingDown)
            entry("in-hand", active)
        }

    private companion object {
        val MAX_TICK_GAP = 1.seconds
        val SHORT_RETRY_AFTER = 50.milliseconds
        val LONG_RETRY_AFTER = 500.milliseconds
    }
}

/** Returns the rejection for new requests in this state. */
fun ServingState.Unavailable.refusal(): Refusal = Refusal.NotServing(retryAfter, reason)
