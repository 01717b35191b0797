/**
 * Keeps the loops of a daemon running, whatever error ends one of their rounds.
 */
package lagoonrudder.daemon.direct

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import lagoonrudder.daemon.observe.EventLog
import kotlin.time.Duration.Companion.milliseconds

/** Runs [loop] until it returns or is cancelled. An error in it is logged, and it is started again after a pause. */
internal suspend fun keepRunning(
    name: String,
    log: EventLog,
    loop: suspend () -> Unit,
) {
    while (true) {
        try {
            return loop()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (error: Exception) {
            log.error("loop-failed", "loop" to name, "error" to error.stackTraceToString())
        } catch (error: OutOfMemoryError) {
            // What filled the memory is garbage now that the round is over.
            log.error("loop-failed", "loop" to name, "error" to error.toString())
        }
        delay(RESTART_DELAY)
    }
}

private val RESTART_DELAY = 500.milliseconds
