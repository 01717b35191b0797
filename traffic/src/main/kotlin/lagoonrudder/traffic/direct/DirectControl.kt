/**
 * The controllers that the filters of the direct way ask, on the control thread.
 */
package lagoonrudder.traffic.direct

import kotlinx.coroutines.CompletableDeferred
import lagoonrudder.control.ControlThread
import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.direct.PlacementController
import lagoonrudder.control.direct.StoreViewController
import lagoonrudder.control.direct.RetryBudgetShare
import lagoonrudder.model.Clock

class DirectControl(
    val thread: ControlThread,
    val clock: Clock,
    val storeView: StoreViewController,
    val peers: PeerController,
    val placement: PlacementController,
    val repeats: RetryBudgetShare,
) {
    private var confirmation = CompletableDeferred<Unit>()

    /** Completes once what is in force is confirmed; runs on the control thread. */
    fun confirmation(): CompletableDeferred<Unit> {
        if (storeView.confirmed) return CompletableDeferred(Unit)
        if (confirmation.isCompleted) confirmation = CompletableDeferred()
        return confirmation
    }

    /** The publication changed or was confirmed; runs on the control thread. */
    fun onStoreViewChanged() {
        if (storeView.confirmed) confirmation.complete(Unit)
        placement.onStoreViewChanged()
        placement.dispatchQueued(clock.elapsed())
    }
}
