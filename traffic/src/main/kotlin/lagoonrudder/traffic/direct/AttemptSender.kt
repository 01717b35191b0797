/**
 * Sends the attempts of one request to the back ends that were chosen for it.
 *
 * Opening a connection takes time in which the back end may leave, start anew or switch, so the choice is confirmed before anything is sent
 * on a connection that opened slowly.
 */
package lagoonrudder.traffic.direct

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import lagoonrudder.control.direct.Placement
import lagoonrudder.model.Address
import lagoonrudder.model.Failure
import lagoonrudder.model.Peer
import lagoonrudder.model.Step
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class AttemptSender(
    private val call: DirectCall,
    private val control: DirectControl,
    private val client: BackEndClient,
    private val places: RequestPlaces,
    private val relay: DirectRelay,
) {
    private val context = call.context
    private val usedAddresses = mutableSetOf<Address>()

    /** Returns an attempt at the back end of [placement], which is sent with the first read of its response for [attemptRelay]. */
    fun start(
        placement: Placement.Placed,
        attemptRelay: AttemptRelay,
    ): LiveAttempt {
        val attempt = attemptAt(placement)
        val startedAt = control.clock.elapsed()
        return LiveAttempt(placement, attemptRelay, startedAt) {
            call.mayBeSent = true
            client.send(attempt) { confirmed(it, placement, startedAt) }.mapLeft { notSent(it) }
        }
    }

    private fun attemptAt(placement: Placement.Placed) =
        DirectAttempt(
            caller = call.request,
            backEnd = placement.backEnd,
            customer = context.customer?.id,
            priority = placement.level?.index ?: context.priority,
            timeLeft = context.timeLeft(control.clock),
            number = placement.number,
            resumeAfter = relay.lastEvent ?: call.request.resumeAfter,
            // Two incarnations at one address are both registered until the entry of the earlier one expires.
            sentBefore = !usedAddresses.add(placement.backEnd.address),
        )

    /** Returns [attempt] as it may be sent now that there is a connection; its place is decided again if that took long. */
    private suspend fun confirmed(
        attempt: DirectAttempt,
        taken: Placement.Placed,
        startedAt: Duration,
    ): Either<Failure, DirectAttempt> {
        val isPrompt = control.clock.elapsed() - startedAt <= PROMPT_CONNECTION
        if (isPrompt) return attempt.copy(timeLeft = context.timeLeft(control.clock)).right()
        val place = places.confirm(taken, startedAt)
        if (place == null) return Failure.Declined(Step.CHOOSE_TARGET, Peer.SELF, "the place is no longer available").left()
        return attempt.copy(number = place.number, timeLeft = context.timeLeft(control.clock)).right()
    }

    private fun notSent(failure: Failure): DirectAttemptResult =
        when (failure) {
            is Failure.Declined -> DirectAttemptResult.Withdrawn(failure.describe())
            is Failure.Malformed,
            is Failure.Unreachable,
            is Failure.Interrupted,
            is Failure.TimedOut,
            is Failure.Damaged,
            is Failure.NotHeld,
            -> DirectAttemptResult.NotRun(reached = false, failure.describe())
        }

    private companion object {
        /** What was decided this long before still holds; a connection usually opens within a round trip. */
        val PROMPT_CONNECTION = 50.milliseconds
    }
}
