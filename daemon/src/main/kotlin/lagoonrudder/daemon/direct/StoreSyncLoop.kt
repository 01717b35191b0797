/**
 * Keeps what is published in step with the platform's store: reads everything once, then watches.
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
import lagoonrudder.control.direct.StoreViewChange
import lagoonrudder.model.Failure
import lagoonrudder.platform.StoreClient
import lagoonrudder.platform.StoreWatchResult
import lagoonrudder.platform.readItem
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** [isNeeded] tells whether the store is to be asked now; [onChange] runs on the control thread after each answer. */
class StoreSyncLoop(
    private val core: DirectCore,
    private val isNeeded: suspend () -> Boolean,
    private val onChange: () -> Unit,
) {
    private val store = StoreClient(core.http, core.settings.store)
    private var waiting: Job? = null
    private var hurried = false
    private var readAll = true

    @Volatile
    private var lostSince: Duration? = null
    private var failures = 0

    /** Asks the store at once instead of going on waiting, for example after a pause. */
    fun pollNow() {
        hurried = true
        waiting?.cancel()
    }

    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            if (!isNeeded()) {
                delay(NOT_NEEDED_PAUSE)
                continue
            }
            val answer = ask() ?: continue
            when (answer) {
                is Either.Left -> lost(answer.value)
                is Either.Right -> regained()
            }
        }
    }

    /** Asks once and takes the answer over; null when the wait was cut short by [pollNow]. */
    private suspend fun ask(): Either<Failure, Unit>? =
        coroutineScope {
            val wait = if (hurried || lostSince != null) Duration.ZERO else WATCH_WAIT
            hurried = false
            val asking = async { if (readAll) readAll() else watch(wait) }
            waiting = asking
            try {
                asking.await()
            } catch (cut: CancellationException) {
                currentCoroutineContext().ensureActive()
                null
            }
        }

    private suspend fun readAll(): Either<Failure, Unit> =
        store.readAll().map { answer ->
            val items = answer.items.map { readItem(it) }
            readAll = false
            applyChanges { core.storeView.applySnapshot(items, answer.at, core.clock.elapsed()) }
        }

    private suspend fun watch(wait: Duration): Either<Failure, Unit> {
        val after = core.thread.decide { core.storeView.at }
        return store.watch(after, wait).map { watched ->
            when (watched) {
                is StoreWatchResult.Changes -> {
                    val items = watched.answer.items.map { readItem(it) }
                    applyChanges { core.storeView.applyChanges(items, watched.answer.at, core.clock.elapsed()) }
                }
                StoreWatchResult.HistoryLost -> {
                    core.log.warning("store-history-lost", "after" to after)
                    readAll = true
                }
            }
        }
    }

    private suspend fun applyChanges(action: () -> StoreViewChange) {
        val (change, at) = core.thread.decide { action().also { onChange() } to core.storeView.at }
        core.logChange(change, "store", at)
    }

    private suspend fun lost(failure: Failure) {
        val now = core.clock.elapsed()
        if (lostSince == null) {
            lostSince = now
            core.log.failure("store-lost", failure)
        }
        core.http.closeIdle(core.settings.store)
        failures++
        delay((FIRST_PAUSE * failures).coerceAtMost(LONGEST_PAUSE))
    }

    private suspend fun regained() {
        val since = lostSince ?: return
        val away = core.clock.elapsed() - since
        lostSince = null
        failures = 0
        core.log.info("store-regained", "away" to away)
    }

    /** Whether the last answer was a failure; the control thread reads it to hold lapsed entries. */
    val isLost: Boolean get() = lostSince != null

    private companion object {
        /** A change comes at once; the wait only bounds how long a dead connection goes unnoticed when no peer is ahead. */
        val WATCH_WAIT = 8.seconds
        val NOT_NEEDED_PAUSE = 300.milliseconds
        val FIRST_PAUSE = 150.milliseconds
        val LONGEST_PAUSE = 400.milliseconds
    }
}
