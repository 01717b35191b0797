/**
 * The filters of the direct mode, in order: accounting, identify, stop, send.
 */
package lagoonrudder.traffic.direct

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.direct.StopDecision
import lagoonrudder.model.Failure
import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.Refusal
import lagoonrudder.model.ServiceId
import lagoonrudder.model.ServingConfiguration
import lagoonrudder.model.ServingCustomer
import lagoonrudder.model.ServingRoute
import lagoonrudder.model.Step
import lagoonrudder.model.rankOf
import lagoonrudder.traffic.Filter
import lagoonrudder.traffic.Next
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Returns the filters; [onLateVersion] hears of each request that begins on too old a version, [onEnded] of each end. */
fun directFilters(
    control: DirectControl,
    client: BackEndClient,
    random: Random,
    onLateVersion: (DirectCall, LateVersion) -> Unit = { _, _ -> },
    onEnded: (DirectCall, RequestEnd) -> Unit,
): List<Filter<DirectCall>> =
    listOf(
        DirectAccountingFilter(onEnded),
        DirectIdentifyFilter(control, random),
        DirectStopFilter(control),
        DirectSendFilter(control, client, DirectLimits(), onLateVersion),
    )

/** How a request ended. */
sealed class RequestEnd {
    data class Decided(
        val outcome: Outcome,
    ) : RequestEnd()

    /** The request was ended from outside the filters: [reason] tells whether its caller left or its server ended it. */
    data class Cancelled(
        val reason: String,
    ) : RequestEnd()

    /** An error that nothing handled; the caller gets [outcome]. */
    data class Failed(
        val error: Throwable,
        val outcome: Outcome,
    ) : RequestEnd()
}

/**
 * Reports the end of each request to [onEnded], once. An error that nothing handled becomes the outcome that is true of the request,
 * so that its caller gets an answer.
 */
class DirectAccountingFilter(
    private val onEnded: (DirectCall, RequestEnd) -> Unit,
) : Filter<DirectCall> {
    override suspend fun handle(
        call: DirectCall,
        next: Next<DirectCall>,
    ): Outcome {
        val end = endOf(call, next)
        onEnded(call, end)
        return when (end) {
            is RequestEnd.Decided -> end.outcome
            is RequestEnd.Failed -> end.outcome
            is RequestEnd.Cancelled -> throw CancellationException(end.reason)
        }
    }

    private suspend fun endOf(
        call: DirectCall,
        next: Next<DirectCall>,
    ): RequestEnd =
        try {
            RequestEnd.Decided(next.proceed(call))
        } catch (cancelled: CancellationException) {
            // A cancelled wait may leak from the filters though nobody has cancelled the request.
            val isCancelled = !currentCoroutineContext().isActive
            if (isCancelled) RequestEnd.Cancelled(cancelled.message.orEmpty()) else failed(cancelled, call)
        } catch (error: Throwable) {
            failed(error, call)
        }

    private fun failed(
        error: Throwable,
        call: DirectCall,
    ) = RequestEnd.Failed(error, outcomeAfter(error, call))

    private fun outcomeAfter(
        error: Throwable,
        call: DirectCall,
    ): Outcome {
        val failure = Failure.Interrupted(Step.SEND, Peer.SELF, "unexpected error: $error")
        return when {
            call.hasBegun -> Outcome.Broken(failure)
            call.mayBeSent -> Outcome.Unknown(failure)
            else -> Outcome.Refused(Refusal.NotServing(RETRY_AFTER, failure.detail), Step.ADMIT, Peer.SELF)
        }
    }

    private companion object {
        val RETRY_AFTER = 1.seconds
    }
}

/** Resolves the route, the customer and the service of a request from the active configuration. */
class DirectIdentifyFilter(
    private val control: DirectControl,
    private val random: Random,
) : Filter<DirectCall> {
    override suspend fun handle(
        call: DirectCall,
        next: Next<DirectCall>,
    ): Outcome {
        val serving = servingConfiguration() ?: return refused(Refusal.NotServing(RETRY_AFTER, "no configuration"))
        val refusal = identify(call, serving)
        return if (refusal != null) refused(refusal) else next.proceed(call)
    }

    /** Returns the active configuration, after its confirmation if that comes in time. */
    private suspend fun servingConfiguration(): ServingConfiguration? {
        val (confirmation, serving) = control.thread.decide { control.confirmation() to control.storeView.serving }
        if (confirmation.isCompleted) return serving
        withTimeoutOrNull(CONFIRMATION_TIMEOUT) { confirmation.await() }
        // After a pause, what was known before is better than nothing; after a start, nothing was.
        return control.thread.decide { control.storeView.serving.takeIf { control.storeView.isCurrentSinceStart } }
    }

    private fun identify(
        call: DirectCall,
        serving: ServingConfiguration,
    ): Refusal? {
        val request = call.request
        val route = serving.route(request.host, request.path.substringBefore('?')) ?: return Refusal.UnknownRoute
        val customer = request.apiKey?.let { serving.customerByApiKey(it) }
        if (!serving.admits(route, customer)) return Refusal.UnknownCustomer
        val service = pickService(route) ?: return Refusal.NoTarget(RETRY_AFTER)
        val limit = request.timeLeft?.let { minOf(route.timeout, it) } ?: route.timeout
        call.identify(
            DirectRequestContext(
                revision = serving.revision,
                route = route,
                customer = customer.takeUnless { route.open },
                service = service,
                deadline = call.receivedAt + limit,
                priority = customer?.priority ?: route.priority,
                rank = rankOf(customer?.priority, route.priority),
                homeRegions = listOf(route.homeRegions, homeRegionsOf(customer)),
                isLate = isLate(request, route),
            ),
        )
        return null
    }

    /** Returns whether the request exceeds its latency objective; a resumed stream has started already, so it does not count as late. */
    private fun isLate(
        request: DirectRequest,
        route: ServingRoute,
    ): Boolean = request.resumeAfter == null && request.timeLeft?.let { it < route.timeout - route.latencyObjective } ?: false

    private fun homeRegionsOf(customer: ServingCustomer?) = customer?.homeRegions.orEmpty()

    private fun pickService(route: ServingRoute): ServiceId? {
        var remaining = random.nextDouble() * route.shares.sumOf { it.weight }
        for (share in route.shares) {
            remaining -= share.weight
            if (remaining < 0) return share.service
        }
        return route.shares.lastOrNull()?.service
    }

    private fun refused(refusal: Refusal) = Outcome.Refused(refusal, Step.IDENTIFY, Peer.SELF)

    private companion object {
        val RETRY_AFTER = 1.seconds

        /** Covers one read from the store or from a peer. */
        val CONFIRMATION_TIMEOUT = 400.milliseconds
    }
}

/** Refuses requests that this process could not end before it stops. */
class DirectStopFilter(
    private val control: DirectControl,
) : Filter<DirectCall> {
    override suspend fun handle(
        call: DirectCall,
        next: Next<DirectCall>,
    ): Outcome {
        val context = call.context
        return when (val decision = control.thread.decide { control.stop.decide(context.route.kind, context.deadline) }) {
            StopDecision.Serve -> next.proceed(call)
            is StopDecision.ServeUntil -> {
                call.identify(context.endingBy(decision.latestEnd))
                next.proceed(call)
            }
            is StopDecision.Refuse -> Outcome.Refused(decision.refusal, Step.IDENTIFY, Peer.SELF)
        }
    }
}
