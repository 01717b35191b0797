/**
 * A whole set of operators' objects, its digest, and the difference between two sets.
 */
package lagoonrudder.model

import java.security.MessageDigest

/** An immutable set of objects with look-ups by id. Two sets with the same objects have the same [digest]. */
class ObjectSet(
    objects: Iterable<OperatorObject>,
) {
    val byKey: Map<ObjectKey, OperatorObject> = objects.associateByTo(sortedMapOf()) { it.key }

    val regions: Map<RegionId, OperatorObject.Region> = select<OperatorObject.Region>().associateBy { it.id }
    val links: List<OperatorObject.Link> = select()
    val domains: Map<DomainId, OperatorObject.Domain> = select<OperatorObject.Domain>().associateBy { it.id }
    val customers: Map<CustomerId, OperatorObject.Customer> = select<OperatorObject.Customer>().associateBy { it.id }
    val models: Map<ModelId, OperatorObject.Model> = select<OperatorObject.Model>().associateBy { it.id }
    val versions: Map<VersionId, OperatorObject.Version> = select<OperatorObject.Version>().associateBy { it.id }
    val fleets: Map<FleetId, OperatorObject.Fleet> = select<OperatorObject.Fleet>().associateBy { it.id }
    val targets: Map<TargetId, OperatorObject.Target> = select<OperatorObject.Target>().associateBy { it.id }
    val routes: Map<RouteId, OperatorObject.Route> = select<OperatorObject.Route>().associateBy { it.id }

    /** The targets of each fleet, in the order of their names. */
    val targetsOf: Map<FleetId, List<OperatorObject.Target>> = targets.values.groupBy { it.fleet }

    val customersByToken: Map<String, OperatorObject.Customer> = customers.values.associateBy { it.token }

    /** The routes, longest path first, so that the first match is the most specific. */
    private val routesByPath = routes.values.sortedByDescending { it.path.length }

    val digest: Digest by lazy {
        val sum = MessageDigest.getInstance("SHA-256")
        for (value in byKey.values) sum.update(value.digest)
        Digest(sum.digest().toHexString())
    }

    /** The route whose path is the longest prefix of [path] that ends at a slash or at the end. */
    fun routeFor(path: String): OperatorObject.Route? =
        routesByPath.firstOrNull { path == it.path || path.startsWith(it.path.trimEnd('/') + "/") }

    /** Whether operators let new work reach [target]: it and its failure domain are in service. */
    fun inService(target: OperatorObject.Target): Boolean = target.service == AdminState.IN && domains[target.domain]?.service == AdminState.IN

    /** The region of [domain], or null when the set has no such domain. */
    fun regionOf(domain: DomainId): RegionId? = domains[domain]?.region

    /** The link between two regions, in either order. */
    fun link(
        one: RegionId,
        other: RegionId,
    ): OperatorObject.Link? = links.firstOrNull { (it.first == one && it.second == other) || (it.first == other && it.second == one) }

    fun plus(changes: ObjectChanges): ObjectSet {
        val next = byKey.toMutableMap()
        changes.removed.forEach(next::remove)
        changes.changed.forEach { next[it.key] = it }
        return ObjectSet(next.values)
    }

    private inline fun <reified T : OperatorObject> select(): List<T> = byKey.values.filterIsInstance<T>()

    companion object {
        val EMPTY = ObjectSet(emptyList())
    }
}

/** What turns one set into another. */
data class ObjectChanges(
    val changed: List<OperatorObject>,
    val removed: List<ObjectKey>,
) {
    val isEmpty: Boolean get() = changed.isEmpty() && removed.isEmpty()
}

/** The changes that turn [from] into [to]. */
fun changesBetween(
    from: ObjectSet,
    to: ObjectSet,
): ObjectChanges =
    ObjectChanges(
        changed = to.byKey.values.filter { from.byKey[it.key] != it },
        removed = from.byKey.keys.filter { it !in to.byKey },
    )

/** A checked set with its revision: what is in force in a process. */
class ObjectSnapshot(
    val revision: Revision,
    val objects: ObjectSet,
) {
    val digest: Digest get() = objects.digest

    companion object {
        val EMPTY = ObjectSnapshot(Revision.NONE, ObjectSet.EMPTY)
    }
}

/** Sealed changes: from [base] to [revision], whose whole set has [digest]. */
data class SnapshotDelta(
    val base: Revision,
    val baseDigest: Digest,
    val revision: Revision,
    val digest: Digest,
    val changes: ObjectChanges,
)
