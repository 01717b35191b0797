/**
 * Operators' objects as INI text: one section for each object, its header the kind and the name.
 */
package lagoonrudder.wire.documents

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.right
import lagoonrudder.model.CustomerId
import lagoonrudder.model.Digest
import lagoonrudder.model.DomainId
import lagoonrudder.model.Failure
import lagoonrudder.model.FleetId
import lagoonrudder.model.FleetKind
import lagoonrudder.model.ModelId
import lagoonrudder.model.ObjectKey
import lagoonrudder.model.ObjectKind
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.RegionId
import lagoonrudder.model.RouteId
import lagoonrudder.model.AdminState
import lagoonrudder.model.Step
import lagoonrudder.model.TargetId
import lagoonrudder.model.VersionId
import lagoonrudder.model.canonicalText

private val NAME_PATTERN = Regex("[a-z0-9][a-z0-9._-]{0,62}")

/** Reads a whole file of objects and collects every error in it. The result is not checked as a set. */
fun readObjects(
    text: String,
    file: String,
): Either<List<Failure.Malformed>, ObjectSet> =
    when (val sections = readIni(text, file, Step.READ_OBJECTS)) {
        is Either.Left -> listOf(sections.value).left()
        is Either.Right -> readSections(sections.value).let { it.map(::ObjectSet) }
    }

/** The canonical text of [objects], which [readObjects] reads back. */
fun writeObjects(objects: Iterable<OperatorObject>): String = objects.joinToString("\n", transform = ::canonicalText)

internal fun readSections(sections: List<IniSection>): Either<List<Failure.Malformed>, List<OperatorObject>> {
    val results = sections.map(::readObject)
    val failures = results.mapNotNull { it.leftOrNull() }
    return if (failures.isEmpty()) results.mapNotNull { it.getOrNull() }.right() else failures.left()
}

/** Reads "kind name"; null when the kind is unknown or the name is not well formed. */
internal fun objectKeyOrNull(text: String): ObjectKey? {
    val words = text.trim().split(Regex("\\s+"))
    if (words.size != 2 || !words[1].matches(NAME_PATTERN)) return null
    val kind = ObjectKind.entries.firstOrNull { it.text == words[0] } ?: return null
    return ObjectKey(kind, words[1])
}

private fun readObject(section: IniSection): Either<Failure.Malformed, OperatorObject> =
    either {
        val kinds = ObjectKind.entries.joinToString(", ") { it.text }
        val key =
            objectKeyOrNull(section.name)
                ?: raise(section.malformed("", "expected a header [kind name] with kind one of $kinds and a name of a-z 0-9 . _ -"))
        with(section) {
            val value = readKind(section, key)
            rejectUnknownKeys()
            value
        }
    }

private fun Raise<Failure.Malformed>.readKind(
    section: IniSection,
    key: ObjectKey,
): OperatorObject =
    with(section) {
        when (key.kind) {
            ObjectKind.REGION -> OperatorObject.Region(RegionId(key.name), boolean("origin"))
            ObjectKind.LINK -> OperatorObject.Link(key.name, RegionId(text("first")), RegionId(text("second")), long("bytes-per-second"))
            ObjectKind.DOMAIN ->
                OperatorObject.Domain(DomainId(key.name), RegionId(text("region")), enumValue("service", AdminState.entries))
            ObjectKind.CUSTOMER -> OperatorObject.Customer(CustomerId(key.name), text("token"), int("weight"))
            ObjectKind.MODEL -> OperatorObject.Model(ModelId(key.name))
            ObjectKind.VERSION -> readVersion(section, key.name)
            ObjectKind.FLEET -> readFleet(section, key.name)
            ObjectKind.TARGET -> readTarget(section, key.name)
            ObjectKind.ROUTE -> readRoute(section, key.name)
        }
    }

private fun Raise<Failure.Malformed>.readVersion(
    section: IniSection,
    name: String,
): OperatorObject.Version =
    with(section) {
        OperatorObject.Version(
            id = VersionId(name),
            model = ModelId(text("model")),
            manifest = Digest(text("manifest")),
            bytes = long("bytes"),
            chunkBytes = int("chunk-bytes"),
            base = optionalText("base")?.let(::VersionId),
        )
    }

private fun Raise<Failure.Malformed>.readFleet(
    section: IniSection,
    name: String,
): OperatorObject.Fleet =
    with(section) {
        OperatorObject.Fleet(
            id = FleetId(name),
            kind = enumValue("kind", FleetKind.entries),
            version = optionalText("version")?.let(::VersionId),
            replaces = optionalText("replaces")?.let(::VersionId),
            floor = double("floor"),
        )
    }

private fun Raise<Failure.Malformed>.readTarget(
    section: IniSection,
    name: String,
): OperatorObject.Target =
    with(section) {
        OperatorObject.Target(
            id = TargetId(name),
            fleet = FleetId(text("fleet")),
            domain = DomainId(text("domain")),
            service = enumValue("service", AdminState.entries),
            weightBytes = long("weight-bytes"),
            memoryTokens = long("memory-tokens"),
            requests = int("requests"),
        )
    }

private fun Raise<Failure.Malformed>.readRoute(
    section: IniSection,
    name: String,
): OperatorObject.Route =
    with(section) {
        OperatorObject.Route(
            id = RouteId(name),
            path = text("path"),
            fleet = FleetId(text("fleet")),
            deadline = duration("deadline"),
            idempotent = boolean("idempotent"),
            priority = int("priority"),
            fallback = optionalText("fallback")?.let(::RouteId),
        )
    }
