/**
 * Keeps the versions that operators declared for each model, and since when each one may bind.
 *
 * A version binds from its acknowledgement by the store, of which a daemon only hears: late when its reader stops, or when it was frozen,
 * cut off or suspended itself. So each declaration has the earliest time at which it can have been acknowledged, and limits count from
 * that. Daemons tell each other what they know, which narrows it, also of the newest version whose limit is over: it binds a daemon that has
 * just started as well. What a daemon assumes, because it knows too little, it tells nobody.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.EventTime
import lagoonrudder.model.ModelId
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** When the store acknowledged a version of a model, as far as somebody knows. */
data class VersionAcknowledgement(
    val model: ModelId,
    val number: WeightNumber,
    val time: EventTime,
)

/**
 * A version that back ends must hold. The store [acknowledged] its declaration, its limit [countsFrom] the earliest time for that, and from
 * [limitAt] on no request may begin on an older version.
 */
data class DeclaredWeights(
    val model: ModelId,
    val number: WeightNumber,
    val acknowledged: EventTime,
    val countsFrom: Duration,
    val limitAt: Duration,
)

/**
 * [versionLimit] is how long requests may begin on an older version after the acknowledgement of a newer one. The limits bind this daemon
 * [bindingFrom] some time after its start. [storeReturnedAt] is the end of the store's last outage; null if none is known.
 */
class DeclaredVersions(
    val versionLimit: Duration,
    val bindingFrom: Duration = Duration.INFINITE,
    private val storeReturnedAt: () -> Duration? = { null },
) {
    /** While nothing contradicts it, the limit of this version is taken to be over at [assumedLimitAt]. */
    private class Declaration(
        val number: WeightNumber,
        val acknowledged: EventTime,
        val assumedLimitAt: Duration,
    )

    private val declaredByModel = mutableMapOf<ModelId, List<Declaration>>()

    /** The last moment until which all that the store had acknowledged has been heard; null while there is none. */
    private var upToDateAt: Duration? = null

    /** What was asked before this time was answered by a clock that may have missed a pause since. */
    private var trustedFrom = Duration.ZERO

    /** The newest declared version of each model. */
    val newest: Map<ModelId, WeightNumber> get() = declaredByModel.mapValues { it.value.last().number }

    /** Returns the declarations of [model] that are kept, oldest first. */
    fun declarations(model: ModelId): List<DeclaredWeights> = declaredByModel[model].orEmpty().map { it.of(model) }

    /** Returns the declaration of [number]; null for a version that was never declared or is no longer kept. */
    fun declaration(
        model: ModelId,
        number: WeightNumber,
    ): DeclaredWeights? = declarations(model).firstOrNull { it.number == number }

    /** Returns the newest version of [model] whose limit is over at [time]; each one binds from its own time. */
    fun bindingAt(
        model: ModelId,
        time: Duration,
    ): DeclaredWeights? = declaredByModel[model]?.lastOrNull { countsFrom(it) + versionLimit <= time }?.of(model)

    /** Returns the oldest declaration of [model] that a back end with version [held] does not meet. */
    fun oldestUnmet(
        model: ModelId,
        held: WeightNumber?,
    ): DeclaredWeights? = declaredByModel[model]?.firstOrNull { held == null || it.number > held }?.of(model)

    /** Records a declaration heard at [now]; returns null unless it is newer than those known. */
    fun onHeard(
        offered: StoreRecord.VersionDeclaration,
        now: Duration,
    ): DeclaredWeights? {
        val known = declaredByModel[offered.model].orEmpty()
        if (known.isNotEmpty() && known.last().number >= offered.number) return null
        val earliest = (upToDateAt ?: -Duration.INFINITE).coerceAtMost(now)
        // A daemon that was cut off is bound again only after a time of contact, which is longer than this.
        val assumedLimitAt = (now + UNKNOWN_AGE_ROLLOUT_TIME).coerceAtMost(if (upToDateAt == null) bindingFrom else Duration.INFINITE)
        val declared = Declaration(offered.number, EventTime(earliest, now), assumedLimitAt)
        declaredByModel[offered.model] = (known + declared).takeLast(MAX_DECLARATIONS)
        return declared.of(offered.model)
    }

    /** Records that everything which the store had acknowledged until [time] has been heard, by an answer that was asked for at [askedAt]. */
    fun onUpToDate(
        time: Duration,
        askedAt: Duration = time,
    ) {
        if (askedAt < trustedFrom) return
        upToDateAt = maxOf(upToDateAt ?: time, time)
    }

    /** Whether everything that the store had acknowledged at [time] has been heard here. */
    fun isUpToDateSince(time: Duration): Boolean = upToDateAt.let { it != null && it >= time }

    /** Returns how long ago everything that the store had acknowledged had been heard here; null if that is unknown. */
    fun upToDateAge(now: Duration): Duration? = upToDateAt?.let { now - it }

    /**
     * Records what a peer told in answer to a question that was sent at [askedAt], or of its own accord in a message that arrived then. A
     * newer version than those known here comes with its item; an older one was replaced in the store before this process could hear of it,
     * and binds nevertheless.
     */
    fun onTold(
        told: List<VersionAcknowledgement>,
        askedAt: Duration,
    ) {
        if (askedAt < trustedFrom) return
        for (each in told) declaredByModel.computeIfPresent(each.model) { _, known -> known.with(each, askedAt) }
    }

    private fun List<Declaration>.with(
        told: VersionAcknowledgement,
        askedAt: Duration,
    ): List<Declaration> =
        when {
            any { it.number == told.number } -> map { if (it.number == told.number) it.narrowedBy(told.time) else it }
            told.number < last().number ->
                (this + Declaration(told.number, told.time, last().assumedLimitAt.coerceAtMost(askedAt + UNKNOWN_AGE_ROLLOUT_TIME)))
                    .sortedBy { it.number }
                    .takeLast(MAX_DECLARATIONS)
            else -> this
        }

    private fun Declaration.narrowedBy(time: EventTime) = Declaration(number, acknowledged.narrowedBy(time), assumedLimitAt)

    /**
     * Returns what to tell peers of versions: those whose limits still run, and the newest one whose limit is over, since a peer that has
     * just started does not know that it binds.
     */
    fun toTell(now: Duration): List<VersionAcknowledgement> =
        declaredByModel.flatMap { (model, all) ->
            val newestOver = all.indexOfLast { now - countsFrom(it) >= versionLimit }
            all.drop(newestOver.coerceAtLeast(0)).map { VersionAcknowledgement(model, it.number, it.acknowledged) }
        }

    /** Records a pause that was noticed at [now], of which the clock has not counted up to [uncounted]. */
    fun onPaused(
        uncounted: Duration,
        now: Duration,
    ) {
        trustedFrom = now
        upToDateAt = upToDateAt?.let { it - uncounted }
        declaredByModel.replaceAll { _, all ->
            all.map { Declaration(it.number, it.acknowledged.afterUncounted(uncounted), it.assumedLimitAt - uncounted) }
        }
    }

    private fun Declaration.of(model: ModelId): DeclaredWeights {
        val countsFrom = countsFrom(this)
        return DeclaredWeights(model, number, acknowledged, countsFrom, limitAt = countsFrom + versionLimit)
    }

    /**
     * Returns the time from which the limit of [declared] counts: the earliest at which it can have been acknowledged, but not before the
     * store was back from an outage, and, while nothing contradicts that, not so long before hearing that no part of the limit was left.
     */
    private fun countsFrom(declared: Declaration): Duration {
        val (earliest, latest) = declared.acknowledged
        val assumed = declared.assumedLimitAt - versionLimit
        val bounds = listOfNotNull(assumed, storeReturnedAt()).filter { it <= latest }
        return maxOf(earliest, bounds.maxOrNull() ?: earliest)
    }

    private companion object {
        /**
         * The part of the limit that is left to a version of which nothing is known about its age, since requests could go nowhere
         * otherwise when all daemons start at once. The limit doesn't bind a daemon for longer than this after its start.
         */
        val UNKNOWN_AGE_ROLLOUT_TIME = 2.seconds

        /** Older declarations no longer apply to any back end. */
        const val MAX_DECLARATIONS = 16
    }
}
