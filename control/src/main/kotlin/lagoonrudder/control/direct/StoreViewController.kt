/**
 * Decides what is in force of what operators and back ends publish in the platform's store.
 *
 * Every item carries the revision of its last change, and an item never gives way to an older one, whoever offers it: the
 * store, a stale read, or a peer. Removed items leave a tombstone, so that a peer can be told of the removal.
 */
package lagoonrudder.control.direct

import lagoonrudder.control.DumpSection
import lagoonrudder.control.dumpSection
import lagoonrudder.control.entry
import lagoonrudder.model.BackEnd
import lagoonrudder.model.DomainId
import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import lagoonrudder.model.ModelId
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.ServingConfiguration
import lagoonrudder.model.Step
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An item as the store holds it; [value] is null once it was removed. */
class StoreItem(
    val key: String,
    val revision: Long,
    val value: ByteArray?,
)

/** An item together with what it says; [published] is null for a removed item. */
class DecodedItem(
    val item: StoreItem,
    val published: StoreRecord?,
)

/** The version of a model that back ends are to hold, and when this process learned of it. */
data class DeclaredWeights(
    val model: ModelId,
    val number: WeightNumber,
    val since: Duration,
)

/** What a batch of items changed. */
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

/** [ageAtStart] is the age given to a version that was declared before this process started, in place of the unknown one. */
class StoreViewController(
    private val invariants: Invariants,
    private val ageAtStart: Duration = 5.seconds,
) {
    /** A back end whose entry was taken away by [change] and may come back [until] then. */
    private class Lapse(
        val change: StoreItem,
        val until: Duration,
    )

    private val items = mutableMapOf<String, DecodedItem>()
    private val lapsing = mutableMapOf<TargetId, Lapse>()
    private val backEndsById = mutableMapOf<TargetId, BackEnd>()
    private val declaredByModel = mutableMapOf<ModelId, List<DeclaredWeights>>()
    private var confirmedAt: Duration? = null
    private var disturbedUntil = Duration.ZERO

    /** The store's revision up to which this process knows every change. */
    var at = 0L
        private set

    var serving: ServingConfiguration? = null
        private set

    var evacuated: Set<DomainId> = emptySet()
        private set

    val backEnds: Collection<BackEnd> get() = backEndsById.values

    fun backEnd(id: TargetId): BackEnd? = backEndsById[id]

    /** The newest version that was declared for [model]. */
    fun declared(model: ModelId): DeclaredWeights? = declaredByModel[model]?.last()

    /** The declaration of [number]; null for a version that was never declared or has long been replaced. */
    fun declaration(
        model: ModelId,
        number: WeightNumber,
    ): DeclaredWeights? = declaredByModel[model]?.firstOrNull { it.number == number }

    /** The newest version of each model. */
    val newest: List<DeclaredWeights> get() = declaredByModel.values.map { it.last() }

    /** The newest version of [model] that was declared at [time] or before; each declaration binds from its own time on. */
    fun declaredAsOf(
        model: ModelId,
        time: Duration,
    ): DeclaredWeights? = declaredByModel[model]?.lastOrNull { it.since <= time }

    /** The oldest declaration of [model] that a back end with [held] doesn't meet. */
    fun oldestUnmet(
        model: ModelId,
        held: WeightNumber?,
    ): DeclaredWeights? = declaredByModel[model]?.firstOrNull { held == null || it.number > held }

    /** Takes changes up to the revision [upTo] from the store. */
    fun applyChanges(
        changes: List<DecodedItem>,
        upTo: Long,
        now: Duration,
    ): StoreViewChange = applyChanges(changes, upTo, now, removalsMayLapse = now < disturbedUntil)

    /** Takes changes that a peer has settled: an entry that it says is gone doesn't come back, however this process's store is. */
    fun applySettledChanges(
        changes: List<DecodedItem>,
        upTo: Long,
        now: Duration,
    ): StoreViewChange = applyChanges(changes, upTo, now, removalsMayLapse = false)

    private fun applyChanges(
        changes: List<DecodedItem>,
        upTo: Long,
        now: Duration,
        removalsMayLapse: Boolean,
    ): StoreViewChange {
        val first = confirmedAt == null
        val applied = changes.filter { replace(it) }
        at = maxOf(at, upTo)
        confirmedAt = now
        return publish(applied, now, first, removalsMayLapse)
    }

    /** Takes all items that the store held at the revision [upTo]; an answer older than what is known is passed over. */
    fun applySnapshot(
        all: List<DecodedItem>,
        upTo: Long,
        now: Duration,
    ): StoreViewChange {
        if (upTo < at) return applyChanges(emptyList(), at, now)
        val present = all.mapTo(mutableSetOf()) { it.item.key }
        val removed =
            items.values
                .filter { it.item.value != null && it.item.key !in present && it.item.revision <= upTo }
                .map { DecodedItem(StoreItem(it.item.key, upTo, null), null) }
        return applyChanges(all + removed, upTo, now)
    }

    /** The revision up to which nothing is in doubt: an entry that may have lapsed with the store is told to peers once it is gone. */
    val settledRevision: Long get() = lapsing.values.minOfOrNull { it.change.revision - 1 } ?: at

    /** What changed after the revision [after] and isn't in doubt, for a peer. */
    fun changesSince(after: Long): List<StoreItem> {
        val inDoubt = lapsing.values.mapTo(mutableSetOf()) { it.change }
        return items.values.map { it.item }.filter { it.revision > after && it !in inDoubt }
    }

    /** The store was away until [now]: entries that lapsed meanwhile may come back. */
    fun onStoreUnavailable(now: Duration) {
        disturbedUntil = now + LAPSE_GRACE
    }

    /** Ends the grace of back ends that did not come back. */
    fun expire(now: Duration): List<TargetId> {
        val over = lapsing.filterValues { it.until <= now }.keys.toList()
        for (id in over) {
            lapsing -= id
            backEndsById -= id
        }
        return over
    }

    /** Beliefs may be old: the process was paused. */
    fun requireConfirmation() {
        confirmedAt = null
    }

    /** Whether the store or a peer has confirmed what is in force since the start and since the last pause. */
    val confirmed: Boolean get() = confirmedAt != null && serving != null

    fun dump(): DumpSection =
        dumpSection("publication") {
            entry("at", at)
            entry("revision", serving?.revision?.number)
            entry("confirmed", confirmed)
            entry("evacuated", evacuated.map { it.text })
            entry("declared", declaredByModel.values.map { "${it.last().model.text}:${it.last().number.number}" })
            entry("back-ends", backEndsById.values.map { "${it.id.text} leaving=${it.leaving} weights=${it.weights?.number?.number}" })
        }

    private fun replace(change: DecodedItem): Boolean {
        val known = items[change.item.key]
        if (known != null && known.item.revision >= change.item.revision) return false
        items[change.item.key] = change
        return true
    }

    private fun publish(
        applied: List<DecodedItem>,
        now: Duration,
        first: Boolean,
        removalsMayLapse: Boolean,
    ): StoreViewChange {
        val added = mutableListOf<BackEnd>()
        val changed = mutableListOf<BackEnd>()
        val declared = mutableListOf<DeclaredWeights>()
        val unusable = mutableListOf<String>()
        var next: ServingConfiguration? = null
        for (change in applied) {
            when (val published = change.published) {
                is StoreRecord.Configuration -> next = newer(published.set, next)
                is StoreRecord.Registered -> if (register(published.backEnd)) added += published.backEnd else changed += published.backEnd
                is StoreRecord.VersionDeclaration -> declare(published, now, first)?.let { declared += it }
                is StoreRecord.Unreadable -> unusable += "${change.item.key}: ${published.detail}"
                is StoreRecord.DomainEvacuation, null -> Unit
            }
        }
        next?.let { serving = it }
        // An entry may be removed and come back within one answer; what counts is its newest change.
        val removed = applied.filter { items[it.item.key] === it }.mapNotNull { removal(it, removalsMayLapse) }
        return StoreViewChange(next, added, changed, removed, declared, changedEvacuation(), unusable)
    }

    private fun newer(
        offered: ServingConfiguration,
        before: ServingConfiguration?,
    ): ServingConfiguration? {
        val current = before ?: serving
        val rises = current == null || offered.revision > current.revision
        invariants.check(rises, Invariant.CONFIGURATION_NEVER_REVERTS, Step.ACCEPT_CONFIGURATION) {
            "offered=${offered.revision.number} current=${current?.revision?.number}"
        }
        return if (rises) offered else before
    }

    private fun register(backEnd: BackEnd): Boolean {
        lapsing -= backEnd.id
        return backEndsById.put(backEnd.id, backEnd) == null
    }

    /** Returns the back end that [change] takes away at once; one that may come back stays until its grace ends. */
    private fun removal(
        change: DecodedItem,
        mayLapse: Boolean,
    ): TargetId? {
        if (change.published is StoreRecord.Registered) return null
        val id = backEndsById.keys.firstOrNull { change.item.key.endsWith("/${it.text}") } ?: return null
        if (mayLapse && change.item.value == null) {
            lapsing[id] = Lapse(change.item, disturbedUntil)
            return null
        }
        lapsing -= id
        backEndsById -= id
        return id
    }

    private fun declare(
        offered: StoreRecord.VersionDeclaration,
        now: Duration,
        first: Boolean,
    ): DeclaredWeights? {
        val known = declaredByModel[offered.model].orEmpty()
        if (known.isNotEmpty() && known.last().number >= offered.number) return null
        val since = if (first) now - ageAtStart else now
        val declared = DeclaredWeights(offered.model, offered.number, since)
        declaredByModel[offered.model] = (known + declared).takeLast(DECLARATIONS_KEPT)
        return declared
    }

    private fun changedEvacuation(): Set<DomainId>? {
        val next = items.values.mapNotNullTo(mutableSetOf()) { (it.published as? StoreRecord.DomainEvacuation)?.domain }
        if (next == evacuated) return null
        evacuated = next
        return next
    }

    private companion object {
        /** A live back end's entry is back two seconds after the store; half a second more covers its way here. */
        val LAPSE_GRACE = 2_500.milliseconds

        /** Older declarations bind nobody any more. */
        const val DECLARATIONS_KEPT = 16
    }
}
