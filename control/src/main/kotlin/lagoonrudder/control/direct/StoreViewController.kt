/**
 * Keeps this process's view of the items that operators and back ends publish in the platform's store.
 *
 * Every item carries the position of its last change, and an item is never replaced by an older one, whether that comes from
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
import lagoonrudder.model.Revision
import lagoonrudder.model.ServiceId
import lagoonrudder.model.ServingConfiguration
import lagoonrudder.model.Step
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

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
    private val restored = RestoredItems()
    private val latestRegistrations = mutableMapOf<String, StoreRecord.Registered>()
    private var confirmedAt: Duration? = null

    /** Whether a state was seen that is not older than the start of the daemon, or as new as there can be while the store is away. */
    var isCurrentSinceStart = startedAt == -Duration.INFINITE
        private set

    /** When this process first saw the current era; null for a store that states none. */
    private var eraSeenAt: Duration? = null

    /** The same if it knew items of an earlier era. */
    private var restoredAt: Duration? = null

    /** The era in which this process last read all items from the store itself. */
    private var readEra: StoreEra? = null

    /** The position of the last read of all items; every removal after it has left a tombstone. */
    private var completeAt = StorePosition.NONE

    /** The store's latest contact with this daemon and with those that told it; null before that and after a long pause. */
    var storeContact: StoreContact? = null
        private set

    /**
     * The position of the first answer to this daemon in the current contact; null before it. Registrations written after it were renewed
     * in the contact, so they can't expire before the grace ends.
     */
    private var contactPosition: StorePosition? = null

    /** The first contact after the store had been away, as far as was known then. */
    private var returnedAt: Duration? = null

    val versions = DeclaredVersions(versionLimit, bindingFrom) { returnedAt?.takeIf { it <= (storeContact?.since ?: it) } }

    /** The position in the store up to which this process has seen every change. */
    var at = StorePosition.NONE
        private set

    private var servingItem: DecodedItem? = null

    val serving: ServingConfiguration? get() = (servingItem?.published as? StoreRecord.Configuration)?.set

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
     * Applies changes from the store up to the position [upTo], which arrived at [now] and hold all that the store had acknowledged until
     * [asOf]. Changes of another era are ignored; a later one is entered by a read of all items.
     */
    fun applyChanges(
        changes: List<DecodedItem>,
        upTo: StorePosition,
        now: Duration,
        asOf: Duration = now,
    ): StoreViewChange {
        if (upTo.era != at.era) return StoreViewChange.NONE
        val change = applyUnsettled(changes, upTo, now)
        versions.onUpToDate(asOf)
        checkAgeOfState(now)
        return change
    }

    /** A peer's state may be older than this daemon if the peer lags behind itself. */
    private fun checkAgeOfState(now: Duration) {
        val isStoreAway = now - (storeContact?.until ?: startedAt) >= STORE_AWAY_AFTER
        if (versions.isUpToDateSince(startedAt) || (isStoreAway && confirmedAt != null)) isCurrentSinceStart = true
    }

    /** Applies changes whose removals wait while the registrations may come back. */
    private fun applyUnsettled(
        changes: List<DecodedItem>,
        upTo: StorePosition,
        now: Duration,
    ): StoreViewChange {
        if (contactPosition == null) contactPosition = upTo
        return applyChanges(changes, upTo, now, holdRemovals = mayReturn(now))
    }

    /**
     * Applies changes that a peer has settled: its removals take effect immediately, whatever the state of this process's
     * store connection.
     */
    fun applySettledChanges(
        changes: List<DecodedItem>,
        upTo: StorePosition,
        now: Duration,
    ): StoreViewChange = if (upTo.era == at.era) applyChanges(changes, upTo, now, holdRemovals = false) else StoreViewChange.NONE

    private fun applyChanges(
        changes: List<DecodedItem>,
        upTo: StorePosition,
        now: Duration,
        holdRemovals: Boolean,
    ): StoreViewChange {
        val (current, earlier) = changes.partition { it.item.position.era == upTo.era }
        val applied = current.filter { storeIfNewer(it) && restored.onChange(it, now) } + keepTold(earlier, now)
        at = maxOf(at, upTo)
        confirmedAt = now
        checkAgeOfState(now)
        return publish(applied, now, holdRemovals)
    }

    /**
     * Applies a full read of the store at the position [upTo], which arrived at [now] and holds all that the store had acknowledged until
     * [asOf]; a read older than the current view is ignored.
     */
    fun applySnapshot(
        all: List<DecodedItem>,
        upTo: StorePosition,
        now: Duration,
        asOf: Duration = now,
    ): StoreViewChange {
        if (upTo.era < at.era) return StoreViewChange.NONE
        readEra = upTo.era
        if (upTo.era > at.era) return beginEra(all, upTo, now).also { versions.onUpToDate(asOf) }
        if (upTo < at) return applyChanges(emptyList(), at, now, asOf)
        return applyChanges(completed(all, upTo), upTo, now, asOf)
    }

    /**
     * Applies all items of a peer that has settled them up to the position [upTo]. A peer that started after an outage has never known
     * the registrations that expired in it, so what is missing is treated as in a read of the store.
     */
    fun applySettledSnapshot(
        all: List<DecodedItem>,
        upTo: StorePosition,
        now: Duration,
    ): StoreViewChange =
        when {
            upTo.era < at.era -> StoreViewChange.NONE
            upTo.era > at.era -> beginEra(all, upTo, now)
            else -> applyUnsettled(completed(all, upTo), upTo, now)
        }

    /**
     * Replaces the view by [all] items of a later era at the position [upTo]. A peer's items may include some of an earlier era that stay in
     * effect there.
     */
    private fun beginEra(
        all: List<DecodedItem>,
        upTo: StorePosition,
        now: Duration,
    ): StoreViewChange {
        val before = at
        val known = items.keys.associateWith { inEffect(it) }
        eraSeenAt = now
        if (known.isNotEmpty()) restoredAt = now
        contactPosition = upTo
        restored.onRestored(now)
        val (current, earlier) = completed(all, upTo).partition { it.item.position.era == upTo.era }
        val discarded = mutableListOf<String>()
        val applied =
            current.filter { change ->
                val key = change.item.key
                val isNewer = storeIfNewer(change)
                val decision = decideRestored(known[key], knownRegistration(change), change, now)
                when (decision) {
                    RestoredItemDecision.Apply -> if (isNewer) restored.release(key)
                    is RestoredItemDecision.Keep -> known[key]?.let { restored.keep(it, now, decision.until) }
                    RestoredItemDecision.Discard -> {
                        restored.release(key)
                        discard(change)
                        discarded += key
                    }
                }
                isNewer && decision == RestoredItemDecision.Apply
            }
        movePendingRemovals(upTo)
        at = upTo
        confirmedAt = now
        val change = publish(applied + keepTold(earlier, now), now, holdRemovals = true)
        return change.copy(era = EraChange(before, upTo, restored.keptKeys.toList(), discarded))
    }

    /** Returns the item of [key] in effect; the active configuration outlives its item, also one that was removed or can't be read. */
    private fun inEffect(key: String): DecodedItem? = restored.keptOf(key) ?: servingItem?.takeIf { it.item.key == key } ?: items[key]

    /** Returns what is known of the back end whose registration [offered] holds; one whose removal is pending is no longer in effect. */
    private fun knownRegistration(offered: DecodedItem): KnownRegistration? {
        val latest = latestRegistrations[offered.item.key] ?: return null
        val id = latest.backEnd.id
        return KnownRegistration(latest, isInEffect = id in backEndsById && id !in pendingRemovals)
    }

    /** Replaces [item] of the copy by a removal at its position, which any later write replaces. */
    private fun discard(item: DecodedItem) {
        val removal = StoreItem(item.item.key, item.item.position, null)
        items[removal.key] = DecodedItem(removal, null)
        restored.onDiscarded(removal)
    }

    /** Moves the pending removals of an earlier era to [upTo], so that peers are told of the new era. */
    private fun movePendingRemovals(upTo: StorePosition) {
        pendingRemovals.replaceAll { _, pending ->
            val known = items.getValue(pending.change.key).item
            val change = if (known.position.era == upTo.era) known else StoreItem(pending.change.key, upTo, null)
            items[change.key] = DecodedItem(change, null)
            PendingRemoval(pending.registration, change, pending.until)
        }
    }

    /**
     * Takes over items of an earlier era that a peer keeps in effect or whose removals are pending there. Returns those that apply. A daemon
     * that started after the restore can't know them otherwise.
     */
    private fun keepTold(
        told: List<DecodedItem>,
        now: Duration,
    ): List<DecodedItem> =
        told.filter { each ->
            val key = each.item.key
            val current = items[key]
            val registered = each.published as? StoreRecord.Registered
            when {
                isLowerVersion(inEffect(key)?.published, each.published) -> {
                    restored.keep(each, now, Duration.INFINITE, isToldByPeer = true)
                    true
                }
                !isSettling(now) || restored.keptOf(key) != null -> false
                current == null && registered != null -> storeIfNewer(each)
                current != null && current.item.position.era < at.era -> false
                else -> {
                    val absent = DecodedItem(StoreItem(key, at, null), null)
                    val decision = decideRestored(each, registered?.let { KnownRegistration(it, true) }, current ?: absent, now)
                    if (decision is RestoredItemDecision.Keep) restored.keep(each, now, decision.until, isToldByPeer = true)
                    decision is RestoredItemDecision.Keep
                }
            }
        }

    /**
     * Whether a daemon that watches the store must read all items first: it has heard of this era only from peers, whose pending removals of
     * items that the copy lacks are no changes which a watch would show.
     */
    val needsFullRead: Boolean get() = at.era > StoreEra.UNSTATED && readEra != at.era

    /**
     * Whether a peer at [position] with the [configuration] in force can tell a newer one. Such a peer need not be ahead in the store: it may
     * keep a configuration that a restored store doesn't hold.
     */
    fun isOutdatedBy(
        position: StorePosition,
        configuration: Revision?,
    ): Boolean {
        if (position > at) return true
        val current = serving?.revision
        return position.era == at.era && configuration != null && (current == null || configuration > current)
    }

    /** The configuration in force if the store doesn't hold it or a later one. */
    val keptConfiguration: KeptConfiguration?
        get() =
            restored.keptConfiguration?.let { (revision, since) ->
                val held = items.values.firstNotNullOfOrNull { it.published as? StoreRecord.Configuration }
                KeptConfiguration(revision, held?.set?.revision?.takeIf { it < revision }, since)
            }

    /** Whether peers may know what a restored store lacks, since this process has seen its era only since lately. */
    fun isSettling(now: Duration): Boolean = eraSeenAt?.let { now < it + LEARNING_TIME } ?: false

    /** Applies the store's items in place of those that were kept after a restore and whose time is over. */
    fun releaseKept(now: Duration): StoreViewChange {
        val keys = restored.expire(now)
        return if (keys.isEmpty()) StoreViewChange.NONE else publish(keys.mapNotNull { items[it] }, now, holdRemovals = false)
    }

    /** Returns [all] items at the position [upTo] and the removals of those that are not among them. */
    private fun completed(
        all: List<DecodedItem>,
        upTo: StorePosition,
    ): List<DecodedItem> {
        completeAt = maxOf(completeAt, upTo)
        // A peer includes registrations of an earlier era while their removals are pending there.
        val held = all.filter { it.item.position.era == upTo.era || it.published is StoreRecord.Registered }
        val present = held.mapTo(mutableSetOf()) { it.item.key }
        val removed =
            items.values
                .filter { it.item.value != null && it.item.key !in present && it.item.position <= upTo }
                .map { DecodedItem(StoreItem(it.item.key, upTo, null), null) }
        return all + removed
    }

    /**
     * Returns how long ago the store held nothing beyond [settledPosition]; null if that is unknown. A peer that has seen every change up to
     * that position knows as much.
     */
    fun upToDateAge(now: Duration): Duration? = if (pendingRemovals.isEmpty()) versions.upToDateAge(now) else null

    /**
     * Records that a peer, asked at [askedAt], has said that the store held nothing beyond [position] at [time]. Comes after the items of
     * the same answer.
     */
    fun onUpToDateHeard(
        position: StorePosition,
        time: Duration,
        askedAt: Duration,
    ) {
        if (position.era == at.era && position <= at) versions.onUpToDate(time, askedAt)
        checkAgeOfState(askedAt)
    }

    /** The position up to which no removal is pending: peers learn of a pending removal only after it has taken effect. */
    val settledPosition: StorePosition get() = pendingRemovals.values.minOfOrNull { it.change.position.previous() } ?: at

    /**
     * Returns what a peer needs that has seen every change up to the position [after] and has the [configuration] in force, without pending
     * removals.
     */
    fun itemsSince(
        after: StorePosition,
        configuration: Revision? = null,
    ): StoreItems {
        val pending = pendingRemovals.values.mapTo(mutableSetOf()) { it.change }
        val settled = items.values.map { it.item }.filter { it !in pending }
        val told = restored.toTell(configuration).filter { it !in pending }
        if (after >= completeAt) return StoreItems(settled.filter { it.position > after } + told, isComplete = false)
        return StoreItems(settled.filter { it.value != null } + pendingRemovals.values.map { it.registration } + told, isComplete = true)
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
        if (before == null || isAfterOutage) contactPosition = null
        storeContact = joined
    }

    /** The time until which registrations that expired before the store's contact began, or that a copy lacks, may still come back. */
    private val graceEnd: Duration? get() = listOfNotNull(storeContact?.since, restoredAt).maxOrNull()?.let { it + REMOVAL_GRACE }

    private fun mayReturn(now: Duration): Boolean = graceEnd?.let { now < it } ?: false

    /** Whether a peer that knows of a contact [since] then can show that removals need not wait, although this daemon lets them. */
    fun isGraceRefutedBy(
        since: Duration,
        now: Duration,
    ): Boolean {
        val contact = storeContact ?: return false
        return now < contact.since + REMOVAL_GRACE && since + REMOVAL_GRACE <= now
    }

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
            entry("kept-after-restore", restored.keptKeys)
            entry("kept-configuration", keptConfiguration)
            entry("evacuated", evacuated.map { it.text })
            entry("declared", versions.newest.map { (model, number) -> "${model.text}:${number.number}" })
            entry("back-ends", backEndsById.values.map { "${it.id.text} leaving=${it.leaving} weights=${it.weights?.number?.number}" })
        }

    private fun storeIfNewer(change: DecodedItem): Boolean {
        val known = items[change.item.key]
        if (known != null && known.item.position >= change.item.position && !isDiscarded(known.item, change.item)) return false
        items[change.item.key] = change
        return true
    }

    /** Whether a peer has discarded [known]: its removal has the position of the item itself, which no store gives out twice. */
    private fun isDiscarded(
        known: StoreItem,
        removal: StoreItem,
    ): Boolean {
        val isStated = removal.position.era > StoreEra.UNSTATED
        return isStated && removal.position == known.position && removal.value == null && known.value != null
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
                is StoreRecord.Configuration -> {
                    val before = serving
                    if (replacesServing(change, published.set)) {
                        servingItem = change
                        if (published.set != before) next = published.set
                    }
                }
                is StoreRecord.Registered -> (if (register(change.item, published)) added else changed) += published.backEnd
                is StoreRecord.VersionDeclaration -> versions.onHeard(published, now)?.let { declared += it }
                is StoreRecord.Unreadable -> unusable += "${change.item.key}: ${published.detail}"
                is StoreRecord.DomainEvacuation, null -> Unit
            }
        }
        // A registration may be removed and renewed within one response; only its newest change counts.
        if (applied.isNotEmpty()) backEndsByService = null
        val removed = applied.filter { items[it.item.key] === it }.mapNotNull { removal(it, holdRemovals) }
        return StoreViewChange(next, added, changed, removed, declared, changedEvacuation(), unusable)
    }

    /** A configuration is replaced only by a newer one, or by the same one as a later era holds it. */
    private fun replacesServing(
        change: DecodedItem,
        offered: ServingConfiguration,
    ): Boolean {
        val current = serving ?: return true
        val isNewer = offered.revision > current.revision
        val currentEra = servingItem?.item?.position?.era ?: StoreEra.UNSTATED
        if (change.item.position.era > currentEra) return offered.revision >= current.revision
        if (change.item.position.era < currentEra) return isNewer
        invariants.check(isNewer, Invariant.CONFIGURATION_NEVER_REVERTS, Step.ACCEPT_CONFIGURATION) {
            "offered=${offered.revision.number} current=${current.revision.number}"
        }
        return isNewer
    }

    private fun register(
        item: StoreItem,
        published: StoreRecord.Registered,
    ): Boolean {
        val backEnd = published.backEnd
        latestRegistrations.merge(item.key, published) { known, offered -> if (known.isLaterThan(offered)) known else offered }
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
        val until = graceEnd
        val wasRenewed = contactPosition?.let { registration.position > it } ?: false
        val wasDiscarded = change.item.position == registration.position
        if (hold && until != null && !wasRenewed && !wasDiscarded && change.item.value == null) {
            pendingRemovals[id] = PendingRemoval(registration, change.item, until)
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
        val inEffect = items.values.filter { it.item.key !in restored.keptKeys } + restored.kept
        val next = inEffect.mapNotNullTo(mutableSetOf()) { (it.published as? StoreRecord.DomainEvacuation)?.domain }
        if (next == evacuated) return null
        evacuated = next
        return next
    }

    private companion object {
        /** The time in which a daemon that has just seen an era exchanges with all peers that it can reach. */
        val LEARNING_TIME = 3.seconds

        /** A live back end registers within two seconds after the store recovers, and a change that shares a call comes 250 ms later. */
        val REMOVAL_GRACE = 2_300.milliseconds
    }
}
