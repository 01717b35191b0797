/**
 * A small builder for object sets, for tests, samples and measurements.
 */
package lagoonrudder.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

@DslMarker
annotation class ObjectSetDsl

/** Builds a set; the result is not checked. */
fun objectSet(build: ObjectSetBuilder.() -> Unit): ObjectSet = ObjectSet(ObjectSetBuilder().apply(build).objects)

@ObjectSetDsl
class ObjectSetBuilder {
    internal val objects = mutableListOf<OperatorObject>()

    fun region(
        name: String,
        origin: Boolean = false,
    ) {
        objects += OperatorObject.Region(RegionId(name), origin)
    }

    fun link(
        first: String,
        second: String,
        bytesPerSecond: Long,
    ) {
        objects += OperatorObject.Link("$first-$second", RegionId(first), RegionId(second), bytesPerSecond)
    }

    fun domain(
        name: String,
        region: String = name,
        service: AdminState = AdminState.IN,
    ) {
        objects += OperatorObject.Domain(DomainId(name), RegionId(region), service)
    }

    fun customer(
        name: String,
        weight: Int = 1,
        token: String = "token-$name",
    ) {
        objects += OperatorObject.Customer(CustomerId(name), token, weight)
    }

    fun model(name: String) {
        objects += OperatorObject.Model(ModelId(name))
    }

    fun version(
        name: String,
        model: String,
        manifest: Digest = digestOf(name.encodeToByteArray()),
        bytes: Long = 1,
        chunkBytes: Int = 1,
        base: String? = null,
    ) {
        objects += OperatorObject.Version(VersionId(name), ModelId(model), manifest, bytes, chunkBytes, base?.let(::VersionId))
    }

    fun engineFleet(
        name: String,
        version: String,
        replaces: String? = null,
        floor: Double = 0.5,
    ) {
        objects +=
            OperatorObject.Fleet(FleetId(name), FleetKind.ENGINE, VersionId(version), replaces?.let(::VersionId), floor)
    }

    fun plainFleet(name: String) {
        objects += OperatorObject.Fleet(FleetId(name), FleetKind.PLAIN, null, null, 0.0)
    }

    fun target(
        name: String,
        fleet: String,
        domain: String,
        service: AdminState = AdminState.IN,
        requests: Int = 16,
        memoryTokens: Long = 100_000,
        weightBytes: Long = Long.MAX_VALUE,
    ) {
        objects +=
            OperatorObject.Target(TargetId(name), FleetId(fleet), DomainId(domain), service, weightBytes, memoryTokens, requests)
    }

    fun route(
        name: String,
        path: String,
        fleet: String,
        deadline: Duration = 10.seconds,
        idempotent: Boolean = true,
        priority: Int = 1,
        fallback: String? = null,
    ) {
        objects +=
            OperatorObject.Route(RouteId(name), path, FleetId(fleet), deadline, idempotent, priority, fallback?.let(::RouteId))
    }
}
