/**
 * The controllers that the filters of the direct mode query on the control thread.
 */
package lagoonrudder.traffic.direct

import kotlinx.coroutines.CompletableDeferred
import lagoonrudder.control.ControlThread
import lagoonrudder.control.direct.BackEndNoticeController
import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.direct.PlacementController
import lagoonrudder.control.direct.RetryBudgetShare
import lagoonrudder.control.direct.StopController
import lagoonrudder.control.direct.StoreViewController
import lagoonrudder.control.direct.suspicion.SuspicionController
import lagoonrudder.model.Clock

class DirectControl(
    val thread: ControlThread,
    val clock: Clock,
    val storeView: StoreViewController,
    val peers: PeerController,
    val placement: PlacementController,
    val retryBudget: RetryBudgetShare,
    val suspicions: SuspicionController,
    val notices: BackEndNoticeController,
    val stop: StopController,
) {
    private var confirmation = CompletableDeferred<Unit>()

    /** Completes once the active configuration is confirmed; runs on the control thread. */
    fun confirmation(): CompletableDeferred<Unit> {
        if (storeView.confirmed) return CompletableDeferred(Unit)
        if (confirmation.isCompleted) confirmation = CompletableDeferred()
        return confirmation
    }

    /** Handles a change or a confirmation of the store view; runs on the control thread. */
    fun onStoreViewChanged() {
        if (storeView.confirmed) confirmation.complete(Unit)
        placement.removeStaleStats()
        placement.dispatchQueued(clock.elapsed())
    }
}
