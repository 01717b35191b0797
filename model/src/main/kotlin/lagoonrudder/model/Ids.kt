/**
 * Identifiers of the operators' objects, of processes and of requests.
 *
 * Each identifier is a value class over its text or number, so that a region can't be passed where a failure domain is
 * expected. Identifiers of operators' objects come from the operators' files; the others are made by the process that
 * the documentation of the class names.
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

/** A daemon process, named by its settings; a replacement may carry the name of the process it replaces. */
@JvmInline
value class DaemonId(
    val text: String,
)

/** One life of a daemon or engine process, drawn at random when it starts. */
@JvmInline
value class IncarnationId(
    val text: String,
)

/** One request of a caller, drawn at random by the entry daemon that first sees it. */
@JvmInline
value class RequestId(
    val text: String,
)

/** The caller's own name for an operation that may run at most once. */
@JvmInline
value class IdempotencyKey(
    val text: String,
)

/** The number of a published object set; each publication raises it by at least one. */
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
}

/** The position of a chunk in its version's manifest, from zero. */
@JvmInline
value class ChunkIndex(
    val number: Int,
)

/** The number that orders engine orders; an engine that checks it refuses an order whose number is not above the last. */
@JvmInline
value class FencingNumber(
    val number: Long,
) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = number.compareTo(other.number)
}

/** A pool of back ends that serve the same requests. */
@JvmInline
value class ServiceId(
    val text: String,
)

/** The number of a model's weights; each publication raises it. */
@JvmInline
value class WeightNumber(
    val number: Long,
) : Comparable<WeightNumber> {
    override fun compareTo(other: WeightNumber): Int = number.compareTo(other.number)
}

/** The position of an event in a stream; a resumed stream continues after it. */
@JvmInline
value class EventId(
    val number: Long,
) : Comparable<EventId> {
    override fun compareTo(other: EventId): Int = number.compareTo(other.number)
}
