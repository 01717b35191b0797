/**
 * The filters of the direct way, in order: account, identify, send.
 */
package lagoonrudder.traffic.direct

import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.Refusal
import lagoonrudder.model.ServiceId
import lagoonrudder.model.ServingCustomer
import lagoonrudder.model.ServingRoute
import lagoonrudder.model.ServingConfiguration
import lagoonrudder.model.Step
import lagoonrudder.traffic.Filter
import lagoonrudder.traffic.Next
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

fun directFilters(
    control: DirectControl,
    link: BackEndClient,
    random: Random,
    ended: (DirectCall, Outcome?) -> Unit,
): List<Filter<DirectCall>> =
    listOf(DirectAccountingFilter(ended), DirectIdentifyFilter(control, random), DirectSendFilter(control, link, DirectLimits()))

/** Tells [ended] how each request went; a null outcome means that the caller left. */
class DirectAccountingFilter(
    private val ended: (DirectCall, Outcome?) -> Unit,
) : Filter<DirectCall> {
    override suspend fun handle(
        call: DirectCall,
        next: Next<DirectCall>,
    ): Outcome {
        var outcome: Outcome? = null
        try {
            return next.proceed(call).also { outcome = it }
        } finally {
            ended(call, outcome)
        }
    }
}

/** Finds the route, the customer and the service of a request in the configuration in force. */
class DirectIdentifyFilter(
    private val control: DirectControl,
    private val random: Random,
) : Filter<DirectCall> {
    override suspend fun handle(
        call: DirectCall,
        next: Next<DirectCall>,
    ): Outcome {
        val confirmation = control.thread.decide { control.confirmation() }
        withTimeoutOrNull(CONFIRM_LIMIT) { confirmation.await() }
        val serving =
            control.thread.decide { control.storeView.serving } ?: return refused(Refusal.NotServing(RETRY_AFTER, "no configuration"))
        val refusal = identify(call, serving)
        return if (refusal != null) refused(refusal) else next.proceed(call)
    }

    private fun identify(
        call: DirectCall,
        serving: ServingConfiguration,
    ): Refusal? {
        val request = call.request
        val route = serving.route(request.host, request.path.substringBefore('?')) ?: return Refusal.UnknownRoute
        val customer = request.apiKey?.let { serving.customerByApiKey(it) }
        if (serving.requiresApiKeys && !route.open && customer == null) return Refusal.UnknownCustomer
        val service = pick(route) ?: return Refusal.NoTarget(RETRY_AFTER)
        val limit = request.timeLeft?.let { minOf(route.timeout, it) } ?: route.timeout
        call.identify(
            DirectRequestContext(
                revision = serving.revision,
                route = route,
                customer = customer.takeUnless { route.open },
                service = service,
                deadline = call.receivedAt + limit,
                priority = customer?.priority ?: route.priority,
                homeRegions = listOf(route.homeRegions, homesOf(customer)),
                isLate = isLate(request, route),
            ),
        )
        return null
    }

    /** A caller that goes on with a stream it has begun isn't late: the stream is. */
    private fun isLate(
        request: DirectRequest,
        route: ServingRoute,
    ): Boolean = request.resumeAfter == null && request.timeLeft?.let { it < route.timeout - route.latencyObjective } ?: false

    private fun homesOf(customer: ServingCustomer?) = customer?.homeRegions.orEmpty()

    private fun pick(route: ServingRoute): ServiceId? {
        var rest = random.nextDouble() * route.shares.sumOf { it.weight }
        for (share in route.shares) {
            rest -= share.weight
            if (rest < 0) return share.service
        }
        return route.shares.lastOrNull()?.service
    }

    private fun refused(refusal: Refusal) = Outcome.Refused(refusal, Step.IDENTIFY, Peer.SELF)

    private companion object {
        val RETRY_AFTER = 1.seconds

        /** Long enough for one read of the store or of a peer. */
        val CONFIRM_LIMIT = 400.milliseconds
    }
}
