/**
 * Decides which items of a restored store apply at once, and keeps what stays in effect although the copy contradicts it.
 *
 * A copy lacks what was written after it was taken and brings back what was removed since. The operator and the back ends write again what
 * they had written, however long that takes, so what this process knew stays in effect until then. What the copy holds of a run of a back end
 * or of an evacuation that was known to be over never applies; such an item is discarded until it is written again.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.Revision
import lagoonrudder.model.StoreRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What becomes of an item of the copy, which may be a removal, beside what was known. */
internal sealed class RestoredItemDecision {
    data object Apply : RestoredItemDecision()

    /** What was known stays in effect [until] then, unless it is written again before. */
    data class Keep(
        val until: Duration,
    ) : RestoredItemDecision()

    /** The item applies only once it is written again. */
    data object Discard : RestoredItemDecision()
}

/** What is known of the registration of a back end: its [latest] one, and whether the back end [isInEffect]. */
internal class KnownRegistration(
    val latest: StoreRecord.Registered,
    val isInEffect: Boolean,
)

/** Whether this registration was written after [other]: by a later run of the back end, or later in the same run. */
internal fun StoreRecord.Registered.isLaterThan(other: StoreRecord.Registered): Boolean =
    when (val born = backEnd.born.compareTo(other.backEnd.born)) {
        0 -> (sequence ?: 0) > (other.sequence ?: Long.MAX_VALUE)
        else -> born > 0
    }

/**
 * Whether [offered] must not replace [known], since versions of configurations and of weights only increase: one that is lower, missing or
 * can't be read is what a store holds until the known one is written again.
 */
internal fun isLowerVersion(
    offered: StoreRecord?,
    known: StoreRecord?,
): Boolean =
    when (known) {
        is StoreRecord.Configuration -> offered !is StoreRecord.Configuration || offered.set.revision < known.set.revision
        is StoreRecord.VersionDeclaration -> offered !is StoreRecord.VersionDeclaration || offered.number < known.number
        is StoreRecord.DomainEvacuation, is StoreRecord.Registered, is StoreRecord.Unreadable, null -> false
    }

/** [known] is the item in effect, and [registration] what is known of the back end if [offered] is a registration. */
internal fun decideRestored(
    known: DecodedItem?,
    registration: KnownRegistration?,
    offered: DecodedItem,
    now: Duration,
): RestoredItemDecision =
    when (val record = offered.published) {
        is StoreRecord.Registered -> decideRegistration(known, registration, record, now)
        is StoreRecord.DomainEvacuation -> {
            val hadEnded = known != null && known.item.value == null
            if (hadEnded) RestoredItemDecision.Discard else RestoredItemDecision.Apply
        }
        is StoreRecord.Configuration, is StoreRecord.VersionDeclaration, is StoreRecord.Unreadable, null -> {
            val isKept = known?.published is StoreRecord.DomainEvacuation || isLowerVersion(record, known?.published)
            // A back end that is missing is removed as after an outage.
            if (isKept) RestoredItemDecision.Keep(Duration.INFINITE) else RestoredItemDecision.Apply
        }
    }

private fun decideRegistration(
    known: DecodedItem?,
    registration: KnownRegistration?,
    offered: StoreRecord.Registered,
    now: Duration,
): RestoredItemDecision =
    when {
        // A removal whose registration was never heard of: nothing shows that the copy holds a later one.
        registration == null -> if (known != null && known.item.value == null) RestoredItemDecision.Discard else RestoredItemDecision.Apply
        offered.isLaterThan(registration.latest) -> RestoredItemDecision.Apply
        !registration.isInEffect -> RestoredItemDecision.Discard
        offered.backEnd == registration.latest.backEnd -> RestoredItemDecision.Apply
        registration.latest.backEnd.leaving -> RestoredItemDecision.Keep(Duration.INFINITE)
        else -> RestoredItemDecision.Keep(now + RENEWAL_TIME)
    }

/** The items that stay in effect after a restore, and those that were discarded. */
internal class RestoredItems {
    private data class KeptItem(
        val known: DecodedItem,
        val since: Duration,
        val until: Duration,
        val isToldByPeer: Boolean,
    ) {
        val isEvacuation: Boolean get() = known.published is StoreRecord.DomainEvacuation

        /** The revision of a configuration; null for another record. */
        val revision: Revision? get() = (known.published as? StoreRecord.Configuration)?.set?.revision
    }

    private val keptByKey = mutableMapOf<String, KeptItem>()
    private val discardedByKey = mutableMapOf<String, StoreItem>()

    val keptKeys: Set<String> get() = keptByKey.keys

    val kept: List<DecodedItem> get() = keptByKey.values.map { it.known }

    /**
     * Returns what a peer that started after the restore can't know: the items that this process keeps, and the removals of discarded ones.
     * What a peer told is passed on only if it is kept until it is written again, as a time would begin anew with each daemon. A
     * configuration is left out if the peer has that of [configuration] or a later one.
     */
    fun toTell(configuration: Revision?): List<StoreItem> =
        keptByKey.values
            .filter { !it.isToldByPeer || it.until.isInfinite() }
            .filter { kept -> configuration == null || (kept.revision?.let { it > configuration } ?: true) }
            .map { it.known.item } + discardedByKey.values

    /** The configuration that is kept, and since when. */
    val keptConfiguration: Pair<Revision, Duration>?
        get() = keptByKey.values.firstNotNullOfOrNull { kept -> kept.revision?.let { it to kept.since } }

    fun keptOf(key: String): DecodedItem? = keptByKey[key]?.known

    fun keep(
        known: DecodedItem,
        now: Duration,
        until: Duration,
        isToldByPeer: Boolean = false,
    ) {
        val since = keptByKey[known.item.key]?.since ?: now
        discardedByKey -= known.item.key
        keptByKey[known.item.key] = KeptItem(known, since, until, isToldByPeer)
    }

    /** Records that the item in place of [removal], at the same position, was discarded. */
    fun onDiscarded(removal: StoreItem) {
        discardedByKey[removal.key] = removal
    }

    /** Ends what is kept or discarded of [key], since the store's item applies. */
    fun release(key: String) {
        keptByKey -= key
        discardedByKey -= key
    }

    /** Records a further restore at [now], after which everything is written again once more. */
    fun onRestored(now: Duration) =
        keptByKey.replaceAll { _, item ->
            item.copy(until = if (item.isEvacuation) Duration.INFINITE else maxOf(item.until, now + RENEWAL_TIME))
        }

    /**
     * Records a [change] of the restored store. Returns whether it applies: a version that is lower than the one kept never does. Anything
     * that the operator writes shows that the operator writes again what was lost, so an evacuation that is not among it has ended.
     */
    fun onChange(
        change: DecodedItem,
        now: Duration,
    ): Boolean {
        val key = change.item.key
        discardedByKey -= key
        val isLower = keptByKey[key]?.let { isLowerVersion(change.published, it.known.published) } ?: false
        if (!isLower) keptByKey -= key
        if (isWrittenByOperator(change.published)) endEvacuations(now + REWRITE_TIME)
        return !isLower
    }

    private fun isWrittenByOperator(record: StoreRecord?): Boolean =
        when (record) {
            is StoreRecord.Configuration, is StoreRecord.DomainEvacuation, is StoreRecord.VersionDeclaration -> true
            is StoreRecord.Registered, is StoreRecord.Unreadable, null -> false
        }

    private fun endEvacuations(until: Duration) =
        keptByKey.replaceAll { _, item ->
            if (item.isEvacuation) item.copy(until = minOf(item.until, until)) else item
        }

    /** Returns the keys whose time is over at [now], and releases them. */
    fun expire(now: Duration): List<String> =
        keptByKey
            .filterValues { it.until <= now }
            .keys
            .toList()
            .onEach { keptByKey -= it }
}

/** The time in which the operator writes again all that a copy lacks, from the first write on. */
private val REWRITE_TIME = 10.seconds

/** Three heartbeats: a back end that has not renewed its registration by then is no longer alive. */
private val RENEWAL_TIME = 3_600.milliseconds
