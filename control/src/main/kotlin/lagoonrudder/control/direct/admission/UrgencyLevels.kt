/**
 * Groups the ranks of the requests of each service into levels of urgency.
 *
 * A customer's priority takes precedence over that of the route, which decides among customers of one priority. A service whose requests all
 * have one rank has no levels, so nothing about them is decided by urgency. Neither has a plain service: its slots are held for milliseconds,
 * which is less than the age of the reports that tell how many are in use.
 */
package lagoonrudder.control.direct.admission

import lagoonrudder.model.ServiceId
import lagoonrudder.model.ServingConfiguration
import lagoonrudder.model.ServingRoute
import lagoonrudder.model.rankOf

class UrgencyLevels private constructor(
    private val ranksByService: Map<ServiceId, List<Int>>,
) {
    /** The services whose requests differ in rank. */
    val services: Set<ServiceId> get() = ranksByService.keys

    /** Returns the level of requests with [rank] for [service]; null if its requests don't differ in rank. */
    fun levelOf(
        service: ServiceId,
        rank: Int,
    ): UrgencyLevel? {
        val ranks = ranksByService[service] ?: return null
        return UrgencyLevel(ranks.count { it < rank }.coerceAtMost(minOf(ranks.size, MAX_LEVELS) - 1))
    }

    companion object {
        const val MAX_LEVELS = 4
        val NONE = UrgencyLevels(emptyMap())

        fun of(configuration: ServingConfiguration): UrgencyLevels {
            val routesByService =
                configuration.routes
                    .flatMap { route -> route.shares.map { it.service to route } }
                    .groupBy({ it.first }, { it.second })
            val ofEngines = routesByService.filterKeys { configuration.service(it)?.weights != null }
            return UrgencyLevels(ofEngines.mapValues { ranksOf(it.value, configuration) }.filterValues { it.size > 1 })
        }

        /** Returns the ranks of requests on [routes], the most urgent first. A route without customers has its own rank. */
        private fun ranksOf(
            routes: List<ServingRoute>,
            configuration: ServingConfiguration,
        ): List<Int> {
            val ofCustomers = configuration.customers.map { it.priority }.distinct()
            return routes
                .flatMap { route ->
                    val priorities = if (route.open || ofCustomers.isEmpty()) listOf(null) else ofCustomers
                    priorities.map { rankOf(it, route.priority) }
                }.distinct()
                .sorted()
        }
    }
}
