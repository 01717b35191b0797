/**
 * Validates a complete object set before it is published, and again before a daemon applies it.
 *
 * Every finding names the file, the section and the key. A set with findings is never applied.
 */
package lagoonrudder.model

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** The maximum size of a part of a sealed document in bytes, imposed by the configuration service. */
const val MAXIMUM_PART_BYTES = 1_000_000

/** Returns [objects] when every rule holds, otherwise all findings, which name [file]. */
fun checkObjects(
    objects: ObjectSet,
    file: String,
): Either<List<Failure.Malformed>, ObjectSet> {
    val findings = ObjectCheck(objects, file).run()
    return if (findings.isEmpty()) objects.right() else findings.left()
}

private class ObjectCheck(
    private val objects: ObjectSet,
    private val file: String,
) {
    private val findings = mutableListOf<Failure.Malformed>()

    fun run(): List<Failure.Malformed> {
        objects.byKey.values.forEach(::checkReferences)
        checkUniqueValues()
        checkAcyclic()
        objects.routes.values.forEach(::checkRouteHasTargets)
        objects.fleets.values.forEach(::checkWeightsFit)
        return findings
    }

    private fun report(
        key: ObjectKey,
        field: String,
        expected: String,
    ) {
        findings += Failure.Malformed(Step.CHECK_OBJECTS, Peer(PeerRole.OPERATOR, file), Location(file, key.toString(), field), expected)
    }

    private fun require(
        holds: Boolean,
        key: ObjectKey,
        field: String,
        expected: String,
    ) {
        if (!holds) report(key, field, expected)
    }

    private fun checkReferences(value: OperatorObject) {
        when (value) {
            is OperatorObject.Region, is OperatorObject.Model -> Unit
            is OperatorObject.Link -> checkLink(value)
            is OperatorObject.Domain -> requireExists(value.region in objects.regions, value.key, "region", "region ${value.region.text}")
            is OperatorObject.Customer -> checkCustomer(value)
            is OperatorObject.Version -> checkVersion(value)
            is OperatorObject.Fleet -> checkFleetVersions(value)
            is OperatorObject.Target -> checkTarget(value)
            is OperatorObject.Route -> checkRoute(value)
        }
    }

    private fun requireExists(
        exists: Boolean,
        key: ObjectKey,
        field: String,
        section: String,
    ) = require(exists, key, field, "expected a section [$section], found none")

    private fun checkLink(value: OperatorObject.Link) {
        requireExists(value.first in objects.regions, value.key, "first", "region ${value.first.text}")
        requireExists(value.second in objects.regions, value.key, "second", "region ${value.second.text}")
        require(value.first != value.second, value.key, "second", "expected a region that differs from key first")
        require(value.bytesPerSecond > 0, value.key, "bytes-per-second", "expected a number greater than 0")
    }

    private fun checkCustomer(value: OperatorObject.Customer) {
        require(value.token.isNotBlank(), value.key, "token", "expected a non-blank token")
        require(value.weight > 0, value.key, "weight", "expected a number greater than 0")
    }

    private fun checkVersion(value: OperatorObject.Version) {
        requireExists(value.model in objects.models, value.key, "model", "model ${value.model.text}")
        value.base?.let { requireExists(it in objects.versions, value.key, "base", "version ${it.text}") }
        require(value.bytes > 0, value.key, "bytes", "expected a number greater than 0")
        require(value.chunkBytes > 0, value.key, "chunk-bytes", "expected a number greater than 0")
        val wellFormed = value.manifest.hexadecimal.matches(Regex("[0-9a-f]{64}"))
        require(wellFormed, value.key, "manifest", "expected 64 lower-case hexadecimal digits")
    }

    private fun checkFleetVersions(value: OperatorObject.Fleet) {
        value.version?.let { requireExists(it in objects.versions, value.key, "version", "version ${it.text}") }
        value.replaces?.let { requireExists(it in objects.versions, value.key, "replaces", "version ${it.text}") }
        require(value.floor in 0.0..1.0, value.key, "floor", "expected a fraction from 0 to 1, found ${value.floor}")
        val needsVersion = value.kind == FleetKind.ENGINE
        require(
            needsVersion == (value.version != null),
            value.key,
            "version",
            "expected a version for kind engine, or no version for kind plain",
        )
        val replaced = value.replaces?.let { objects.versions[it] }
        val current = value.version?.let { objects.versions[it] }
        if (replaced != null && current != null) {
            require(replaced.model == current.model, value.key, "replaces", "expected a version of model ${current.model.text}")
        }
    }

    private fun checkTarget(value: OperatorObject.Target) {
        requireExists(value.fleet in objects.fleets, value.key, "fleet", "fleet ${value.fleet.text}")
        requireExists(value.domain in objects.domains, value.key, "domain", "domain ${value.domain.text}")
        require(value.requests > 0, value.key, "requests", "expected a number greater than 0")
        require(value.memoryTokens > 0, value.key, "memory-tokens", "expected a number greater than 0")
    }

    private fun checkRoute(value: OperatorObject.Route) {
        requireExists(value.fleet in objects.fleets, value.key, "fleet", "fleet ${value.fleet.text}")
        value.fallback?.let { requireExists(it in objects.routes, value.key, "fallback", "route ${it.text}") }
        require(value.path.startsWith("/"), value.key, "path", "expected a path that starts with /, found ${value.path}")
        require(value.deadline.isPositive(), value.key, "deadline", "expected a duration greater than 0")
    }

    private fun checkUniqueValues() {
        reportDuplicates(objects.customers.values, "token") { it.token }
        reportDuplicates(objects.routes.values, "path") { it.path }
    }

    private fun <T : OperatorObject> reportDuplicates(
        values: Collection<T>,
        field: String,
        selector: (T) -> String,
    ) {
        for ((_, group) in values.groupBy(selector)) {
            group.drop(1).forEach { report(it.key, field, "expected a unique value, found the same value in [${group.first().key}]") }
        }
    }

    private fun checkAcyclic() {
        for (route in objects.routes.values) {
            val isCyclic = leadsBackTo(route.id) { id -> objects.routes[id]?.fallback }
            require(!isCyclic, route.key, "fallback", "expected an acyclic chain of fallbacks, found one that leads back to this route")
        }
        for (version in objects.versions.values) {
            val isCyclic = leadsBackTo(version.id) { id -> objects.versions[id]?.base }
            require(!isCyclic, version.key, "base", "expected an acyclic chain of bases, found one that leads back to this version")
        }
    }

    private fun <T : Any> leadsBackTo(
        start: T,
        next: (T) -> T?,
    ): Boolean {
        val visited = mutableSetOf<T>()
        var current = next(start)
        while (current != null && current != start && visited.add(current)) current = next(current)
        return current == start
    }

    private fun checkRouteHasTargets(route: OperatorObject.Route) {
        val fleet = objects.fleets[route.fleet] ?: return
        val hasTargets = objects.targetsOf[fleet.id].orEmpty().isNotEmpty()
        require(hasTargets, route.key, "fleet", "expected a fleet with targets, found none in fleet ${fleet.id.text}")
    }

    private fun checkWeightsFit(fleet: OperatorObject.Fleet) {
        val version = fleet.version?.let { objects.versions[it] } ?: return
        val needed = version.bytes + (version.base?.let { objects.versions[it]?.bytes } ?: 0L)
        for (target in objects.targetsOf[fleet.id].orEmpty()) {
            val fits = target.weightBytes >= needed
            require(
                fits,
                target.key,
                "weight-bytes",
                "expected at least $needed bytes for version ${version.id.text}, found ${target.weightBytes}",
            )
        }
    }
}
