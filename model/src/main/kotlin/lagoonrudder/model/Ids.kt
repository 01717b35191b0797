/**
 * Identifiers of operator-defined objects, processes and requests.
 *
 * Each identifier is a value class over its text or number, so that a region can't be passed where a failure domain is
 * expected. Identifiers of operator-defined objects come from the operators' files; the others are created by the process
 * that the documentation of the class names.
 */
package lagoonrudder.model

@JvmInline
value class RegionId(
    val text: String,
)

@JvmInline
value class DomainId(
    val text: String,
)

@JvmInline
value class CustomerId(
    val text: String,
)

@JvmInline
value class ModelId(
    val text: String,
)

@JvmInline
value class VersionId(
    val text: String,
)

@JvmInline
value class FleetId(
    val text: String,
)

@JvmInline
value class TargetId(
    val text: String,
)

@JvmInline
value class RouteId(
    val text: String,
)

/** The name of a daemon, taken from its settings. A replacement process may use the name of the process that it replaces. */
@JvmInline
value class DaemonId(
    val text: String,
)

/** One run of a daemon or engine process, generated at random when the process starts. */
@JvmInline
value class IncarnationId(
    val text: String,
)

/** A request of a caller, generated at random by the first entry daemon that receives it. */
@JvmInline
value class RequestId(
    val text: String,
)

/** The key chosen by the caller for an operation that may run at most once. */
@JvmInline
value class IdempotencyKey(
    val text: String,
)

/** The revision of a published object set, increased by at least one with each publication. */
@JvmInline
value class Revision(
    val number: Long,
) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = number.compareTo(other.number)

    companion object {
        val NONE = Revision(0)
    }
}

/** A SHA-256 digest in lower-case hexadecimal. */
@JvmInline
value class Digest(
    val hexadecimal: String,
) : Comparable<Digest> {
    override fun compareTo(other: Digest): Int = hexadecimal.compareTo(other.hexadecimal)

    companion object {
        private const val LENGTH = 64

        /** Returns the digest that [text] states in hexadecimal; null if it states none. */
        fun parse(text: String): Digest? {
            val isDigest = text.length == LENGTH && text.all { it in '0'..'9' || it in 'a'..'f' || it in 'A'..'F' }
            return if (isDigest) Digest(text.lowercase()) else null
        }
    }
}

/** The zero-based position of a chunk in the manifest of its version. */
@JvmInline
value class ChunkIndex(
    val number: Int,
)

/**
 * The fencing token of an engine order. An engine that checks it refuses an order whose number is not greater than that of
 * the last order.
 */
@JvmInline
value class FencingNumber(
    val number: Long,
) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = number.compareTo(other.number)
}

/** A part of a prompt, as named by callers; requests may have parts in common. */
@JvmInline
value class PromptPartId(
    val text: String,
)

/** A pool of back ends that serve the same requests. */
@JvmInline
value class ServiceId(
    val text: String,
)

/** The version number of the weights of a model, increased with each publication. */
@JvmInline
value class WeightNumber(
    val number: Long,
) : Comparable<WeightNumber> {
    override fun compareTo(other: WeightNumber): Int = number.compareTo(other.number)
}

/** The position of an event in a stream. A resumed stream continues after it. */
@JvmInline
value class EventId(
    val number: Long,
) : Comparable<EventId> {
    override fun compareTo(other: EventId): Int = number.compareTo(other.number)
}
