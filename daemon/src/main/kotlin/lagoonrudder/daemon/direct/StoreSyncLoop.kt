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
import lagoonrudder.control.direct.StoreStep
import lagoonrudder.control.direct.StoreViewChange
import lagoonrudder.model.Failure
import lagoonrudder.platform.StoreClient
import lagoonrudder.platform.StoreWatchResult
import kotlin.time.Duration

/**
 * Carries out the calls that the store reader's controller decides on. [onChange] runs on the control thread after each response.
 */
class StoreSyncLoop(
    private val core: DirectCore,
    private val onChange: () -> Unit,
) {
    private val reader = core.storeReader
    private val store = StoreClient(core.http, core.settings.store)
    private var pendingRequest: Job? = null

    /** Cancels a pending watch and requests the store immediately, for example after a pause of the process. */
    suspend fun pollNow() {
        core.thread.decide { reader.onPollRequested() }
        pendingRequest?.cancel()
    }

    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            when (val step = core.thread.decide { reader.next(core.clock.elapsed()) }) {
                is StoreStep.Rest -> delay(step.duration)
                StoreStep.ReadAll -> callStore { readAll() }
                is StoreStep.Watch -> callStore { watch(step) }
            }
        }
    }

    /** Runs [call], which [pollNow] may cancel. */
    private suspend fun callStore(call: suspend () -> Either<Failure, Unit>) =
        coroutineScope {
            val request = async { call() }
            pendingRequest = request
            try {
                request.await().onLeft { onFailure(it) }
            } catch (cancelled: CancellationException) {
                currentCoroutineContext().ensureActive()
            }
        }

    private suspend fun readAll(): Either<Failure, Unit> {
        val askedAt = core.clock.elapsed()
        return store.readAll().map { response ->
            applyAnswer(
                { reader.onItemsRead(core.clock.elapsed()) },
                { core.storeView.applySnapshot(response.items, response.at, core.clock.elapsed(), asOf = askedAt) },
            )
        }
    }

    private suspend fun watch(step: StoreStep.Watch): Either<Failure, Unit> {
        val askedAt = core.clock.elapsed()
        return store.watch(step.after.revision, step.wait).map { watched ->
            when (watched) {
                is StoreWatchResult.Changes -> {
                    val items = watched.response.items
                    val at = watched.response.at
                    if (!step.isContinuedBy(at)) {
                        return@map logRegained(core.thread.decide { reader.onOtherEra(at.era, core.clock.elapsed()) })
                    }
                    applyAnswer(
                        { reader.onWatched(items.size, core.clock.elapsed()) },
                        {
                            val now = core.clock.elapsed()
                            core.storeView.applyChanges(items, at, now, asOf = step.asOf(askedAt, now, items.size))
                        },
                    )
                }
                StoreWatchResult.HistoryLost -> {
                    core.log.warning("store-history-lost", "after" to step.after)
                    logRegained(core.thread.decide { reader.onHistoryLost(core.clock.elapsed()) })
                }
            }
        }
    }

    /** Tells the reader of an answer of the store with [record], which returns how long the store was lost, and applies it with [update]. */
    private suspend fun applyAnswer(
        record: () -> Duration?,
        update: () -> StoreViewChange,
    ) {
        val (outage, change, at) = core.thread.decide { Triple(record(), update().also { onChange() }, core.storeView.at) }
        core.logChange(change, "store", at)
        logRegained(outage)
    }

    private suspend fun onFailure(failure: Failure) {
        if (core.thread.decide { reader.onFailure(failure, core.clock.elapsed()) }) core.log.failure("store-lost", failure)
        core.http.closeIdle(core.settings.store)
    }

    private fun logRegained(outage: Duration?) {
        if (outage != null) core.log.info("store-regained", "away" to outage)
    }
}
