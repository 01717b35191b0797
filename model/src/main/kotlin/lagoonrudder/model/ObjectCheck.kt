/**
 * The check of a whole set of objects before it is published, and again before a daemon puts it in force.
 *
 * Every finding names the file, the section and the key. A set with findings is never put in force.
 */
package lagoonrudder.model

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** The largest part of a sealed document in bytes, set by the configuration service. */
const val MAXIMUM_PART_BYTES = 1_000_000

/** Returns [objects] when every rule holds, otherwise all findings. [file] is named in the findings. */
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
        checkUnique()
        checkCycles()
        objects.routes.values.forEach(::checkServed)
        objects.fleets.values.forEach(::checkFleet)
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
            is OperatorObject.Domain -> refer(value.region in objects.regions, value.key, "region", "region ${value.region.text}")
            is OperatorObject.Customer -> checkCustomer(value)
            is OperatorObject.Version -> checkVersion(value)
            is OperatorObject.Fleet -> checkFleetVersions(value)
            is OperatorObject.Target -> checkTarget(value)
            is OperatorObject.Route -> checkRoute(value)
        }
    }

    private fun refer(
        exists: Boolean,
        key: ObjectKey,
        field: String,
        wanted: String,
    ) = require(exists, key, field, "expected a section [$wanted], found none")

    private fun checkLink(value: OperatorObject.Link) {
        refer(value.first in objects.regions, value.key, "first", "region ${value.first.text}")
        refer(value.second in objects.regions, value.key, "second", "region ${value.second.text}")
        require(value.first != value.second, value.key, "second", "expected a region other than first")
        require(value.bytesPerSecond > 0, value.key, "bytes-per-second", "expected a number above 0")
    }

    private fun checkCustomer(value: OperatorObject.Customer) {
        require(value.token.isNotBlank(), value.key, "token", "expected a token that is not blank")
        require(value.weight > 0, value.key, "weight", "expected a number above 0")
    }

    private fun checkVersion(value: OperatorObject.Version) {
        refer(value.model in objects.models, value.key, "model", "model ${value.model.text}")
        value.base?.let { refer(it in objects.versions, value.key, "base", "version ${it.text}") }
        require(value.bytes > 0, value.key, "bytes", "expected a number above 0")
        require(value.chunkBytes > 0, value.key, "chunk-bytes", "expected a number above 0")
        val wellFormed = value.manifest.hexadecimal.matches(Regex("[0-9a-f]{64}"))
        require(wellFormed, value.key, "manifest", "expected 64 lower-case hexadecimal digits")
    }

    private fun checkFleetVersions(value: OperatorObject.Fleet) {
        value.version?.let { refer(it in objects.versions, value.key, "version", "version ${it.text}") }
        value.replaces?.let { refer(it in objects.versions, value.key, "replaces", "version ${it.text}") }
        require(value.floor in 0.0..1.0, value.key, "floor", "expected a share from 0 to 1")
        val needsVersion = value.kind == FleetKind.ENGINE
        require(needsVersion == (value.version != null), value.key, "version", "expected a version for kind engine and none for kind plain")
        val replaced = value.replaces?.let { objects.versions[it] }
        val current = value.version?.let { objects.versions[it] }
        if (replaced != null && current != null) {
            require(replaced.model == current.model, value.key, "replaces", "expected a version of model ${current.model.text}")
        }
    }

    private fun checkTarget(value: OperatorObject.Target) {
        refer(value.fleet in objects.fleets, value.key, "fleet", "fleet ${value.fleet.text}")
        refer(value.domain in objects.domains, value.key, "domain", "domain ${value.domain.text}")
        require(value.requests > 0, value.key, "requests", "expected a number above 0")
        require(value.memoryTokens > 0, value.key, "memory-tokens", "expected a number above 0")
    }

    private fun checkRoute(value: OperatorObject.Route) {
        refer(value.fleet in objects.fleets, value.key, "fleet", "fleet ${value.fleet.text}")
        value.fallback?.let { refer(it in objects.routes, value.key, "fallback", "route ${it.text}") }
        require(value.path.startsWith("/"), value.key, "path", "expected a path that starts with /")
        require(value.deadline.isPositive(), value.key, "deadline", "expected a time above 0")
    }

    private fun checkUnique() {
        reportRepeats(objects.customers.values, "token") { it.token }
        reportRepeats(objects.routes.values, "path") { it.path }
    }

    private fun <T : OperatorObject> reportRepeats(
        values: Collection<T>,
        field: String,
        selector: (T) -> String,
    ) {
        for ((_, same) in values.groupBy(selector)) {
            same.drop(1).forEach { report(it.key, field, "expected a value of its own, it stands in [${same.first().key}] too") }
        }
    }

    private fun checkCycles() {
        for (route in objects.routes.values) {
            val loops = returnsTo(route.id) { id -> objects.routes[id]?.fallback }
            require(!loops, route.key, "fallback", "expected fallbacks that end, they return to this route")
        }
        for (version in objects.versions.values) {
            val loops = returnsTo(version.id) { id -> objects.versions[id]?.base }
            require(!loops, version.key, "base", "expected bases that end, they return to this version")
        }
    }

    private fun <T : Any> returnsTo(
        start: T,
        next: (T) -> T?,
    ): Boolean {
        val seen = mutableSetOf<T>()
        var current = next(start)
        while (current != null && current != start && seen.add(current)) current = next(current)
        return current == start
    }

    private fun checkServed(route: OperatorObject.Route) {
        val fleet = objects.fleets[route.fleet] ?: return
        val served = objects.targetsOf[fleet.id].orEmpty().isNotEmpty()
        require(served, route.key, "fleet", "expected a fleet with targets, fleet ${fleet.id.text} has none")
    }

    private fun checkFleet(fleet: OperatorObject.Fleet) {
        val version = fleet.version?.let { objects.versions[it] } ?: return
        val needed = version.bytes + (version.base?.let { objects.versions[it]?.bytes } ?: 0L)
        for (target in objects.targetsOf[fleet.id].orEmpty()) {
            val fits = target.weightBytes >= needed
            require(fits, target.key, "weight-bytes", "expected at least $needed, which version ${version.id.text} needs")
        }
    }
}
