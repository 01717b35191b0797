/**
 * The objects that operators publish.
 *
 * Every object has a kind and a name that is unique within its kind. The fields of an object are listed by [fields] in a
 * fixed order; this listing is the canonical form that digests are taken over and files are written from.
 */
package lagoonrudder.model

import java.security.MessageDigest
import kotlin.time.Duration

enum class ObjectKind {
    REGION,
    LINK,
    DOMAIN,
    CUSTOMER,
    MODEL,
    VERSION,
    FLEET,
    TARGET,
    ROUTE,
    ;

    val text: String get() = name.lowercase()
}

data class ObjectKey(
    val kind: ObjectKind,
    val name: String,
) : Comparable<ObjectKey> {
    override fun compareTo(other: ObjectKey): Int = compareValuesBy(this, other, { it.kind }, { it.name })

    override fun toString(): String = "${kind.text} $name"
}

/** A field of an object in its canonical form. */
data class Field(
    val name: String,
    val value: String,
)

/** Whether operators have taken a failure domain or a target out of service. */
enum class AdminState { IN, OUT }

enum class FleetKind { ENGINE, PLAIN }

sealed class OperatorObject {
    abstract val key: ObjectKey

    /** The fields in canonical order. */
    abstract fun fields(): List<Field>

    /** The digest of the canonical form, computed once. */
    val digest: ByteArray by lazy { sha256(canonicalText(this).encodeToByteArray()) }

    /** A region; [origin] tells whether the origin of weights stands in it. */
    data class Region(
        val id: RegionId,
        val origin: Boolean,
    ) : OperatorObject() {
        override val key get() = ObjectKey(ObjectKind.REGION, id.text)

        override fun fields() = listOf(Field("origin", if (origin) "yes" else "no"))
    }

    /** The link between two regions; [bytesPerSecond] holds for each direction and for all traffic together. */
    data class Link(
        val name: String,
        val first: RegionId,
        val second: RegionId,
        val bytesPerSecond: Long,
    ) : OperatorObject() {
        override val key get() = ObjectKey(ObjectKind.LINK, name)

        override fun fields() =
            listOf(
                Field("first", first.text),
                Field("second", second.text),
                Field("bytes-per-second", bytesPerSecond.toString()),
            )
    }

    data class Domain(
        val id: DomainId,
        val region: RegionId,
        val service: AdminState,
    ) : OperatorObject() {
        override val key get() = ObjectKey(ObjectKind.DOMAIN, id.text)

        override fun fields() =
            listOf(
                Field("region", region.text),
                Field("service", service.name.lowercase()),
            )
    }

    /** A customer, its access token, and its share of the queue relative to the other customers' weights. */
    data class Customer(
        val id: CustomerId,
        val token: String,
        val weight: Int,
    ) : OperatorObject() {
        override val key get() = ObjectKey(ObjectKind.CUSTOMER, id.text)

        override fun fields() =
            listOf(
                Field("token", token),
                Field("weight", weight.toString()),
            )
    }

    data class Model(
        val id: ModelId,
    ) : OperatorObject() {
        override val key get() = ObjectKey(ObjectKind.MODEL, id.text)

        override fun fields() = emptyList<Field>()
    }

    /** Weights of a model: [manifest] is the digest of the list of chunk digests; an adapter names its [base]. */
    data class Version(
        val id: VersionId,
        val model: ModelId,
        val manifest: Digest,
        val bytes: Long,
        val chunkBytes: Int,
        val base: VersionId?,
    ) : OperatorObject() {
        override val key get() = ObjectKey(ObjectKind.VERSION, id.text)

        override fun fields() =
            listOfNotNull(
                Field("model", model.text),
                Field("manifest", manifest.hexadecimal),
                Field("bytes", bytes.toString()),
                Field("chunk-bytes", chunkBytes.toString()),
                base?.let { Field("base", it.text) },
            )

        val chunkCount: Int get() = ((bytes + chunkBytes - 1) / chunkBytes).toInt()
    }

    /**
     * Targets that serve the same thing. While a switch is under way answers of [replaces] are right too. [floor] is the
     * share of the fleet's targets, from 0 to 1, that must stay in service during a switch.
     */
    data class Fleet(
        val id: FleetId,
        val kind: FleetKind,
        val version: VersionId?,
        val replaces: VersionId?,
        val floor: Double,
    ) : OperatorObject() {
        override val key get() = ObjectKey(ObjectKind.FLEET, id.text)

        override fun fields() =
            listOfNotNull(
                Field("kind", kind.name.lowercase()),
                version?.let { Field("version", it.text) },
                replaces?.let { Field("replaces", it.text) },
                Field("floor", floor.toString()),
            )

        /** Whether an answer from [served] is a right answer of this fleet. */
        fun accepts(served: VersionId?): Boolean = served == version || (replaces != null && served == replaces)
    }

    /**
     * A slot for one instance. [weightBytes] is what its engine can hold of weights, [memoryTokens] what it can hold of
     * prompts and answers, [requests] the most requests at once that a warm instance bears.
     */
    data class Target(
        val id: TargetId,
        val fleet: FleetId,
        val domain: DomainId,
        val service: AdminState,
        val weightBytes: Long,
        val memoryTokens: Long,
        val requests: Int,
    ) : OperatorObject() {
        override val key get() = ObjectKey(ObjectKind.TARGET, id.text)

        override fun fields() =
            listOf(
                Field("fleet", fleet.text),
                Field("domain", domain.text),
                Field("service", service.name.lowercase()),
                Field("weight-bytes", weightBytes.toString()),
                Field("memory-tokens", memoryTokens.toString()),
                Field("requests", requests.toString()),
            )
    }

    /** A path prefix that callers use. Requests of a route that is not [idempotent] run at most once. */
    data class Route(
        val id: RouteId,
        val path: String,
        val fleet: FleetId,
        val deadline: Duration,
        val idempotent: Boolean,
        val priority: Int,
        val fallback: RouteId?,
    ) : OperatorObject() {
        override val key get() = ObjectKey(ObjectKind.ROUTE, id.text)

        override fun fields() =
            listOfNotNull(
                Field("path", path),
                Field("fleet", fleet.text),
                Field("deadline", deadline.toString()),
                Field("idempotent", if (idempotent) "yes" else "no"),
                Field("priority", priority.toString()),
                fallback?.let { Field("fallback", it.text) },
            )
    }
}

/** The canonical text of one object: its section header and one line for each field. */
fun canonicalText(value: OperatorObject): String =
    buildString {
        append('[').append(value.key).append("]\n")
        for (field in value.fields()) append(field.name).append(" = ").append(field.value).append('\n')
    }

internal fun sha256(bytes: ByteArray): ByteArray = MessageDigest.getInstance("SHA-256").digest(bytes)

/** The SHA-256 digest of [bytes]. */
fun digestOf(bytes: ByteArray): Digest = Digest(sha256(bytes).toHexString())
