/**
 * A chain of filters through which every request goes.
 *
 * A filter may refuse a call, pass it on, or wrap what comes after it. Filters hold no control state: they ask the
 * controllers, on the control thread, and act on the decision.
 */
package lagoonrudder.traffic

import lagoonrudder.model.Outcome

/** What comes after a filter. */
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
