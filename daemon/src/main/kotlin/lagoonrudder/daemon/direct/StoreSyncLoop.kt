/**
 * Keeps the published state in sync with the platform's store: reads all items once, then watches for changes.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import lagoonrudder.control.direct.StoreReaderController
import lagoonrudder.control.direct.StoreViewChange
import lagoonrudder.model.Failure
import lagoonrudder.platform.StoreClient
import lagoonrudder.platform.StoreWatchResult
import lagoonrudder.platform.readItem
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs the reads and watches of the store while [isNeeded] returns true. [onChange] runs on the control thread after each
 * response.
 */
class StoreSyncLoop(
    private val core: DirectCore,
    private val isNeeded: suspend () -> Boolean,
    private val onChange: () -> Unit,
) {
    private val store = StoreClient(core.http, core.settings.store)
    private var pendingRequest: Job? = null
    private var pollRequested = false
    private var needsFullRead = true

    @Volatile
    private var lostSince: Duration? = null
    private var failures = 0

    /** When the store last answered this process; null before the first answer and after a failure. */
    @Volatile
    var lastContactAt: Duration? = null
        private set

    /** Cancels a pending watch and requests the store immediately, for example after a pause of the process. */
    fun pollNow() {
        pollRequested = true
        pendingRequest?.cancel()
    }

    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            if (!isNeeded()) {
                lostSince = null
                lastContactAt = null
                failures = 0
                delay(NEED_CHECK_INTERVAL)
                continue
            }
            val result = readOrWatch() ?: continue
            when (result) {
                is Either.Left -> onFailure(result.value)
                is Either.Right -> onSuccess()
            }
        }
    }

    /** Sends one read or watch and applies the response; returns null when [pollNow] cancelled it. */
    private suspend fun readOrWatch(): Either<Failure, Unit>? =
        coroutineScope {
            val wait = if (pollRequested || lostSince != null) Duration.ZERO else StoreReaderController.WATCH_TIMEOUT
            pollRequested = false
            val request = async { if (needsFullRead) readAll() else watch(wait) }
            pendingRequest = request
            try {
                request.await()
            } catch (cancelled: CancellationException) {
                currentCoroutineContext().ensureActive()
                null
            }
        }

    private suspend fun readAll(): Either<Failure, Unit> =
        store.readAll().map { response ->
            val items = response.items.map { readItem(it) }
            needsFullRead = false
            applyUpdate { core.storeView.applySnapshot(items, response.at, core.clock.elapsed()) }
        }

    private suspend fun watch(wait: Duration): Either<Failure, Unit> {
        val after = core.thread.decide { core.storeView.at }
        return store.watch(after, wait).map { watched ->
            when (watched) {
                is StoreWatchResult.Changes -> {
                    val items = watched.response.items.map { readItem(it) }
                    applyUpdate { core.storeView.applyChanges(items, watched.response.at, core.clock.elapsed()) }
                    if (items.isNotEmpty()) delay(CHANGE_BATCH_INTERVAL)
                }
                StoreWatchResult.HistoryLost -> {
                    core.log.warning("store-history-lost", "after" to after)
                    needsFullRead = true
                }
            }
        }
    }

    private suspend fun applyUpdate(update: () -> StoreViewChange) {
        val (change, at) = core.thread.decide { update().also { onChange() } to core.storeView.at }
        core.logChange(change, "store", at)
    }

    private suspend fun onFailure(failure: Failure) {
        val now = core.clock.elapsed()
        lastContactAt = null
        if (lostSince == null) {
            lostSince = now
            core.log.failure("store-lost", failure)
        }
        core.http.closeIdle(core.settings.store)
        failures++
        delay((INITIAL_RETRY_DELAY * failures).coerceAtMost(MAX_RETRY_DELAY))
    }

    private suspend fun onSuccess() {
        lastContactAt = core.clock.elapsed()
        val since = lostSince ?: return
        val outage = core.clock.elapsed() - since
        lostSince = null
        failures = 0
        core.log.info("store-regained", "away" to outage)
    }

    /** Whether the last request failed. The control thread reads this to keep back ends whose entries have expired. */
    val isLost: Boolean get() = lostSince != null

    private companion object {
        /** Changes that come within this time share one call; back ends renew their registrations all the time. */
        val CHANGE_BATCH_INTERVAL = 250.milliseconds
        val NEED_CHECK_INTERVAL = 200.milliseconds
        val INITIAL_RETRY_DELAY = 150.milliseconds
        val MAX_RETRY_DELAY = 400.milliseconds
    }
}
