/**
 * Applies changes of a daemon's settings file while it runs.
 *
 * The platform may replace the file without a signal, so it is also read periodically. The seeds are the one setting that may change at run
 * time. Settings that can't be read change nothing.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import java.io.File
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

class SettingsReload(
    private val core: DirectCore,
    private val file: String,
) {
    private var refused: String? = null

    /** Looks for changes as long as the daemon runs. */
    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            delay(CHECK_INTERVAL)
            check()
        }
    }

    /** Reads the file now and applies what has changed. */
    suspend fun check() {
        when (val read = readSettingsFile(file)) {
            is Either.Left -> {
                if (read.value != refused) core.log.warning("reload-refused", "detail" to read.value)
                refused = read.value
            }
            is Either.Right -> {
                refused = null
                applySeeds(read.value)
            }
        }
    }

    private suspend fun applySeeds(settings: DirectSettings) {
        val isChanged = core.thread.decide { (core.peers.seeds != settings.seeds).also { core.peers.seeds = settings.seeds } }
        if (isChanged) core.log.info("reloaded", "seeds" to settings.seeds)
    }

    private companion object {
        val CHECK_INTERVAL = 1.seconds
    }
}

/** Returns the settings in [file], or why they can't be read. */
internal fun readSettingsFile(file: String): Either<String, DirectSettings> =
    try {
        readDirectSettings(File(file).readText(), file).mapLeft { it.describe() }
    } catch (unreadable: IOException) {
        "file $file: ${unreadable.message}".left()
    }
