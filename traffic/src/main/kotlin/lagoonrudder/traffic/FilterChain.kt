/**
 * The filter chain that processes every request.
 *
 * A filter may refuse a call, forward it to the next filter, or wrap the rest of the chain. Filters hold no control state:
 * they query the controllers on the control thread and act on the decision.
 */
package lagoonrudder.traffic

import lagoonrudder.model.Outcome

/** The rest of the chain after a filter. */
fun interface Next<C> {
    suspend fun proceed(call: C): Outcome
}

fun interface Filter<C> {
    suspend fun handle(
        call: C,
        next: Next<C>,
    ): Outcome
}

/** Runs calls through [filters] in order; the last filter must not proceed. */
class FilterChain<C>(
    filters: List<Filter<C>>,
) {
    private val first: Next<C> =
        filters.foldRight(Next { error("the last filter of a chain must end the call") }) { filter, next ->
            Next { call -> filter.handle(call, next) }
        }

    suspend fun run(call: C): Outcome = first.proceed(call)
}
