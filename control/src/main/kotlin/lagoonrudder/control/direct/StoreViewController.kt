/**
 * Keeps this process's view of the items that operators and back ends publish in the platform's store.
 *
 * Every item carries the revision of its last change, and an item is never replaced by an older one, whether that comes from
 * the store, a stale read or a peer. Removed items leave a tombstone, so that peers learn of the removal. What was removed before this
 * process read all items left none, so a peer that lags behind that read gets all items instead of the changes.
 */
package lagoonrudder.control.direct

import lagoonrudder.control.DumpSection
import lagoonrudder.control.dumpSection
import lagoonrudder.control.entry
import lagoonrudder.model.BackEnd
import lagoonrudder.model.DomainId
import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import lagoonrudder.model.ServiceId
import lagoonrudder.model.ServingConfiguration
import lagoonrudder.model.Step
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An item as the store holds it; [value] is null after its removal. */
class StoreItem(
    val key: String,
    val revision: Long,
    val value: ByteArray?,
)

/** Items for a peer: those that changed, or all that there are if [isComplete] is set, so that any other one was removed. */
class StoreItems(
    val items: List<StoreItem>,
    val isComplete: Boolean,
)

/** An item together with its decoded value; [published] is null for a removed item. */
class DecodedItem(
    val item: StoreItem,
    val published: StoreRecord?,
)

/** The changes that a batch of items caused; [evacuated] is null if the set of evacuated failure domains did not change. */
data class StoreViewChange(
    val serving: ServingConfiguration?,
    val added: List<BackEnd>,
    val changed: List<BackEnd>,
    val removed: List<TargetId>,
    val declared: List<DeclaredWeights>,
    val evacuated: Set<DomainId>?,
    val unusable: List<String>,
) {
    val isEmpty: Boolean
        get() =
            serving == null &&
                added.isEmpty() &&
                changed.isEmpty() &&
                removed.isEmpty() &&
                declared.isEmpty() &&
                evacuated == null &&
                unusable.isEmpty()
}

/**
 * A registration expires after three heartbeats of silence, 3.6 s. So none can expire in a shorter outage than this, whenever its last
 * heartbeat was. A watch that gets no response is followed by another call within less.
 */
private val STORE_AWAY_AFTER = 2_200.milliseconds

/**
 * The time in which the store kept answering daemons: the first and the last answer that is known, with no gap between answers that is
 * as long as an outage.
 */
data class StoreContact(
    val since: Duration,
    val until: Duration,
) {
    /** Returns this contact and [other] as one, or the later one if the store may have been away between them. */
    fun joinedWith(other: StoreContact): StoreContact {
        val (earlier, later) = if (since <= other.since) this to other else other to this
        if (later.since - earlier.until >= STORE_AWAY_AFTER) return later
        return StoreContact(earlier.since, maxOf(earlier.until, later.until))
    }
}

/**
 * [versionLimit] is how long requests may begin on an older version after the acknowledgement of a newer one; this binds the daemon
 * [bindingFrom] some time after its start. A state that is older than the daemon's start, [startedAt], is confirmed only if the store is away.
 */
class StoreViewController(
    private val invariants: Invariants,
    versionLimit: Duration = 8.seconds,
    bindingFrom: Duration = Duration.INFINITE,
    private val startedAt: Duration = -Duration.INFINITE,
) {
    /** A back end whose [registration] was removed by [change], but which is kept [until] then in case it registers again. */
    private class PendingRemoval(
        val registration: StoreItem,
        val change: StoreItem,
        val until: Duration,
    )

    private val items = mutableMapOf<String, DecodedItem>()
    private val pendingRemovals = mutableMapOf<TargetId, PendingRemoval>()
    private val backEndsById = mutableMapOf<TargetId, BackEnd>()
    private val targetsByKey = mutableMapOf<String, TargetId>()
    private val registrations = mutableMapOf<TargetId, StoreItem>()
    private var confirmedAt: Duration? = null

    /** Whether a state was seen that is not older than the start of the daemon, or as new as there can be while the store is away. */
    var isCurrentSinceStart = startedAt == -Duration.INFINITE
        private set

    /** The revision of the last read of all items; every removal after it has left a tombstone. */
    private var completeAt = 0L

    /** The store's latest contact with this daemon and with those that told it; null before that and after a long pause. */
    var storeContact: StoreContact? = null
        private set

    /**
     * The revision of the first answer to this daemon in the current contact; null before it. Registrations written after it were renewed
     * in the contact, so they can't expire before the grace ends.
     */
    private var contactRevision: Long? = null

    /** The first contact after the store had been away, as far as was known then. */
    private var returnedAt: Duration? = null

    val versions = DeclaredVersions(versionLimit, bindingFrom) { returnedAt?.takeIf { it <= (storeContact?.since ?: it) } }

    /** The store revision up to which this process has seen every change. */
    var at = 0L
        private set

    var serving: ServingConfiguration? = null
        private set

    var evacuated: Set<DomainId> = emptySet()
        private set

    val backEnds: Collection<BackEnd> get() = backEndsById.values

    private var backEndsByService: Map<ServiceId, List<BackEnd>>? = null

    fun backEnd(id: TargetId): BackEnd? = backEndsById[id]

    fun backEndsOf(service: ServiceId): List<BackEnd> {
        val grouped = backEndsByService ?: backEndsById.values.groupBy { it.service }.also { backEndsByService = it }
        return grouped[service].orEmpty()
    }

    /**
     * Applies changes from the store up to the revision [upTo], which arrived at [now] and hold all that the store had acknowledged until
     * [asOf].
     */
    fun applyChanges(
        changes: List<DecodedItem>,
        upTo: Long,
        now: Duration,
        asOf: Duration = now,
    ): StoreViewChange =
        applyUnsettled(changes, upTo, now).also {
            versions.onUpToDate(asOf)
            checkAgeOfState(now)
        }

    /** A peer's state may be older than this daemon if the peer lags behind itself. */
    private fun checkAgeOfState(now: Duration) {
        val isStoreAway = now - (storeContact?.until ?: startedAt) >= STORE_AWAY_AFTER
        if (versions.isUpToDateSince(startedAt) || (isStoreAway && confirmedAt != null)) isCurrentSinceStart = true
    }

    /** Applies changes whose removals wait while the registrations may come back. */
    private fun applyUnsettled(
        changes: List<DecodedItem>,
        upTo: Long,
        now: Duration,
    ): StoreViewChange {
        if (contactRevision == null) contactRevision = upTo
        return applyChanges(changes, upTo, now, holdRemovals = mayReturn(now))
    }

    /**
     * Applies changes that a peer has settled: its removals take effect immediately, whatever the state of this process's
     * store connection.
     */
    fun applySettledChanges(
        changes: List<DecodedItem>,
        upTo: Long,
        now: Duration,
    ): StoreViewChange = applyChanges(changes, upTo, now, holdRemovals = false)

    private fun applyChanges(
        changes: List<DecodedItem>,
        upTo: Long,
        now: Duration,
        holdRemovals: Boolean,
    ): StoreViewChange {
        val applied = changes.filter { storeIfNewer(it) }
        at = maxOf(at, upTo)
        confirmedAt = now
        checkAgeOfState(now)
        return publish(applied, now, holdRemovals)
    }

    /**
     * Applies a full read of the store at the revision [upTo], which arrived at [now] and holds all that the store had acknowledged until
     * [asOf]; a read older than the current view is ignored.
     */
    fun applySnapshot(
        all: List<DecodedItem>,
        upTo: Long,
        now: Duration,
        asOf: Duration = now,
    ): StoreViewChange {
        if (upTo < at) return applyChanges(emptyList(), at, now, asOf)
        return applyChanges(completed(all, upTo), upTo, now, asOf)
    }

    /**
     * Applies all items of a peer that has settled them up to the revision [upTo]. A peer that started after an outage has never known
     * the registrations that expired in it, so what is missing is treated as in a read of the store.
     */
    fun applySettledSnapshot(
        all: List<DecodedItem>,
        upTo: Long,
        now: Duration,
    ): StoreViewChange = applyUnsettled(completed(all, upTo), upTo, now)

    /** Returns [all] items at the revision [upTo] and the removals of those that are not among them. */
    private fun completed(
        all: List<DecodedItem>,
        upTo: Long,
    ): List<DecodedItem> {
        completeAt = maxOf(completeAt, upTo)
        val present = all.mapTo(mutableSetOf()) { it.item.key }
        val removed =
            items.values
                .filter { it.item.value != null && it.item.key !in present && it.item.revision <= upTo }
                .map { DecodedItem(StoreItem(it.item.key, upTo, null), null) }
        return all + removed
    }

    /**
     * Returns how long ago the store held nothing beyond [settledRevision]; null if that is unknown. A peer that has seen every change up to
     * that revision knows as much.
     */
    fun upToDateAge(now: Duration): Duration? = if (pendingRemovals.isEmpty()) versions.upToDateAge(now) else null

    /**
     * Records that a peer, asked at [askedAt], has said that the store held nothing beyond [revision] at [time]. Comes after the items of
     * the same answer.
     */
    fun onUpToDateHeard(
        revision: Long,
        time: Duration,
        askedAt: Duration,
    ) {
        if (revision <= at) versions.onUpToDate(time, askedAt)
        checkAgeOfState(askedAt)
    }

    /** The revision up to which no removal is pending: peers learn of a pending removal only after it has taken effect. */
    val settledRevision: Long get() = pendingRemovals.values.minOfOrNull { it.change.revision - 1 } ?: at

    /** Returns what a peer needs that has seen every change up to the revision [after], without pending removals. */
    fun itemsSince(after: Long): StoreItems {
        val pending = pendingRemovals.values.mapTo(mutableSetOf()) { it.change }
        val settled = items.values.map { it.item }.filter { it !in pending }
        if (after >= completeAt) return StoreItems(settled.filter { it.revision > after }, isComplete = false)
        return StoreItems(settled.filter { it.value != null } + pendingRemovals.values.map { it.registration }, isComplete = true)
    }

    /** Records that the store answered this daemon or another one [at] that time. */
    fun onStoreHeard(at: Duration) = onStoreHeard(StoreContact(at, at))

    /**
     * Records a contact of the store with this daemon or another one. If nobody had heard of the store for long before it, the store was
     * away, and registrations that expired meanwhile may come back. What a daemon hears later from others may show that it was not.
     */
    fun onStoreHeard(contact: StoreContact) {
        val before = storeContact
        val joined = before?.joinedWith(contact) ?: contact
        val isAfterOutage = before != null && joined.since > before.until
        if (isAfterOutage) returnedAt = joined.since
        if (before == null || isAfterOutage) contactRevision = null
        storeContact = joined
    }

    /** Whether registrations that expired before the store's contact began may still come back. */
    private fun mayReturn(now: Duration): Boolean = storeContact?.let { now < it.since + REMOVAL_GRACE } ?: false

    /** Whether a peer that knows of a contact [since] then can show that removals need not wait, although this daemon lets them. */
    fun isGraceRefutedBy(
        since: Duration,
        now: Duration,
    ): Boolean = mayReturn(now) && since + REMOVAL_GRACE <= now

    /** Removes the back ends whose grace period ended without a new registration or proved needless, and returns them. */
    fun expire(now: Duration): List<TargetId> {
        val isGraceOver = storeContact != null && !mayReturn(now)
        val expired = pendingRemovals.filterValues { isGraceOver || it.until <= now }
        for ((id, pending) in expired) {
            forget(id, pending.change.key)
        }
        if (expired.isNotEmpty()) backEndsByService = null
        return expired.keys.toList()
    }

    /**
     * Marks the view as possibly stale after a pause of the process that was noticed at [now], until the store or a peer confirms it. The
     * monotonic clock has not counted up to [uncounted] of it.
     */
    fun onPaused(
        pause: Duration,
        uncounted: Duration,
        now: Duration,
    ) {
        confirmedAt = null
        versions.onPaused(uncounted, now)
        returnedAt = null
        if (pause >= STORE_AWAY_AFTER) storeContact = null
    }

    /** Whether the store or a peer has confirmed the active configuration since the start and since the last pause. */
    val confirmed: Boolean get() = confirmedAt != null && serving != null && isCurrentSinceStart

    fun dump(): DumpSection =
        dumpSection("publication") {
            entry("at", at)
            entry("revision", serving?.revision?.number)
            entry("confirmed", confirmed)
            entry("store-contact", storeContact)
            entry("evacuated", evacuated.map { it.text })
            entry("declared", versions.newest.map { (model, number) -> "${model.text}:${number.number}" })
            entry("back-ends", backEndsById.values.map { "${it.id.text} leaving=${it.leaving} weights=${it.weights?.number?.number}" })
        }

    private fun storeIfNewer(change: DecodedItem): Boolean {
        val known = items[change.item.key]
        if (known != null && known.item.revision >= change.item.revision) return false
        items[change.item.key] = change
        return true
    }

    private fun publish(
        applied: List<DecodedItem>,
        now: Duration,
        holdRemovals: Boolean,
    ): StoreViewChange {
        val added = mutableListOf<BackEnd>()
        val changed = mutableListOf<BackEnd>()
        val declared = mutableListOf<DeclaredWeights>()
        val unusable = mutableListOf<String>()
        var next: ServingConfiguration? = null
        for (change in applied) {
            when (val published = change.published) {
                is StoreRecord.Configuration -> next = newerOf(published.set, next)
                is StoreRecord.Registered -> (if (register(change.item, published.backEnd)) added else changed) += published.backEnd
                is StoreRecord.VersionDeclaration -> versions.onHeard(published, now)?.let { declared += it }
                is StoreRecord.Unreadable -> unusable += "${change.item.key}: ${published.detail}"
                is StoreRecord.DomainEvacuation, null -> Unit
            }
        }
        next?.let { serving = it }
        // A registration may be removed and renewed within one response; only its newest change counts.
        if (applied.isNotEmpty()) backEndsByService = null
        val removed = applied.filter { items[it.item.key] === it }.mapNotNull { removal(it, holdRemovals) }
        return StoreViewChange(next, added, changed, removed, declared, changedEvacuation(), unusable)
    }

    private fun newerOf(
        offered: ServingConfiguration,
        before: ServingConfiguration?,
    ): ServingConfiguration? {
        val current = before ?: serving
        val isNewer = current == null || offered.revision > current.revision
        invariants.check(isNewer, Invariant.CONFIGURATION_NEVER_REVERTS, Step.ACCEPT_CONFIGURATION) {
            "offered=${offered.revision.number} current=${current?.revision?.number}"
        }
        return if (isNewer) offered else before
    }

    private fun register(
        item: StoreItem,
        backEnd: BackEnd,
    ): Boolean {
        pendingRemovals -= backEnd.id
        targetsByKey[item.key] = backEnd.id
        registrations[backEnd.id] = item
        return backEndsById.put(backEnd.id, backEnd) == null
    }

    /** Returns the back end that [change] removes immediately; one that may come back is kept until its grace period ends. */
    private fun removal(
        change: DecodedItem,
        hold: Boolean,
    ): TargetId? {
        if (change.published is StoreRecord.Registered) return null
        val id = targetsByKey[change.item.key] ?: return null
        val registration = registrations.getValue(id)
        val graceEnd = storeContact?.let { it.since + REMOVAL_GRACE }
        val wasRenewed = contactRevision?.let { registration.revision > it } ?: false
        if (hold && graceEnd != null && !wasRenewed && change.item.value == null) {
            pendingRemovals[id] = PendingRemoval(registration, change.item, graceEnd)
            return null
        }
        forget(id, change.item.key)
        return id
    }

    private fun forget(
        id: TargetId,
        key: String,
    ) {
        pendingRemovals -= id
        backEndsById -= id
        registrations -= id
        targetsByKey -= key
    }

    private fun changedEvacuation(): Set<DomainId>? {
        val next = items.values.mapNotNullTo(mutableSetOf()) { (it.published as? StoreRecord.DomainEvacuation)?.domain }
        if (next == evacuated) return null
        evacuated = next
        return next
    }

    private companion object {
        /** A live back end registers within two seconds after the store recovers, and a change that shares a call comes 250 ms later. */
        val REMOVAL_GRACE = 2_300.milliseconds
    }
}
