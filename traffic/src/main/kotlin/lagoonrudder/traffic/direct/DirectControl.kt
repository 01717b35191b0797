/**
 * The controllers that the filters of the direct way ask, on the control thread.
 */
package lagoonrudder.traffic.direct

import kotlinx.coroutines.CompletableDeferred
import lagoonrudder.control.ControlThread
import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.direct.PlacementController
import lagoonrudder.control.direct.PublicationController
import lagoonrudder.control.direct.RepeatShare
import lagoonrudder.model.Clock

class DirectControl(
    val thread: ControlThread,
    val clock: Clock,
    val publication: PublicationController,
    val peers: PeerController,
    val placement: PlacementController,
    val repeats: RepeatShare,
) {
    private var confirmation = CompletableDeferred<Unit>()

    /** Completes once what is in force is confirmed; runs on the control thread. */
    fun confirmation(): CompletableDeferred<Unit> {
        if (publication.confirmed) return CompletableDeferred(Unit)
        if (confirmation.isCompleted) confirmation = CompletableDeferred()
        return confirmation
    }

    /** The publication changed or was confirmed; runs on the control thread. */
    fun published() {
        if (publication.confirmed) confirmation.complete(Unit)
        placement.published()
        placement.serveLine(clock.elapsed())
    }
}
