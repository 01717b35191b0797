/**
 * The objects that operators publish.
 *
 * Every object has a kind and a name that is unique within its kind. [fields] lists the fields of an object in a fixed
 * order. This list is the canonical form, from which digests are computed and files are written.
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

/** The administrative state of a failure domain or target: in service, or taken out of service by operators. */
enum class AdminState { IN, OUT }

enum class FleetKind { ENGINE, PLAIN }

sealed class OperatorObject {
    abstract val key: ObjectKey

    /** The fields in canonical order. */
    abstract fun fields(): List<Field>

    /** The digest of the canonical form, computed on first use. */
    val digest: ByteArray by lazy { sha256(canonicalText(this).encodeToByteArray()) }

    /** A region. [origin] tells whether the weight origin is located in it. */
    data class Region(
        val id: RegionId,
        val origin: Boolean,
    ) : OperatorObject() {
        override val key get() = ObjectKey(ObjectKind.REGION, id.text)

        override fun fields() = listOf(Field("origin", if (origin) "yes" else "no"))
    }

    /** The link between two regions. [bytesPerSecond] is its bandwidth in each direction, shared by all traffic. */
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

    /** A customer with its access token. [weight] is its share of the queue relative to the weights of other customers. */
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

    /** A version of the weights of a model. [manifest] is the digest of the list of chunk digests; an adapter names its [base]. */
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
     * A group of targets that serve the same model version or plain service. During a version switch, responses from
     * [replaces] are valid too. [floor] is the fraction of the targets, from 0 to 1, that must stay in service during a
     * switch.
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

        /** Whether a response from version [served] is valid for this fleet. */
        fun accepts(served: VersionId?): Boolean = served == version || (replaces != null && served == replaces)
    }

    /**
     * A slot for one instance. [weightBytes] is the capacity of its engine for weights, [memoryTokens] its capacity for
     * tokens of prompts and responses, and [requests] the maximum number of concurrent requests of a warm instance.
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

    /** A path prefix for requests of callers. Requests on a route that is not [idempotent] run at most once. */
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

/** Returns the canonical text of an object: its section header and one line per field. */
fun canonicalText(value: OperatorObject): String =
    buildString {
        append('[').append(value.key).append("]\n")
        for (field in value.fields()) append(field.name).append(" = ").append(field.value).append('\n')
    }

internal fun sha256(bytes: ByteArray): ByteArray = MessageDigest.getInstance("SHA-256").digest(bytes)

/** Returns the SHA-256 digest of [bytes]. */
fun digestOf(bytes: ByteArray): Digest = Digest(sha256(bytes).toHexString())
