/**
 * A position in the history of the platform's store.
 *
 * A store that was restored from a copy gives revisions out again, so a revision alone says nothing about which state is the later one.
 */
package lagoonrudder.control.direct

/** Counts how often the store was restored. */
@JvmInline
value class StoreEra(
    val number: Long,
) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = number.compareTo(other.number)

    companion object {
        /** The era of a store that states none. */
        val UNSTATED = StoreEra(0)
    }
}

@JvmInline
value class StoreRevision(
    val number: Long,
) : Comparable<StoreRevision> {
    override fun compareTo(other: StoreRevision): Int = number.compareTo(other.number)
}

data class StorePosition(
    val era: StoreEra,
    val revision: StoreRevision,
) : Comparable<StorePosition> {
    override fun compareTo(other: StorePosition): Int = compareValuesBy(this, other, { it.era }, { it.revision })

    /** Returns the position just before this one in the same era. */
    fun previous(): StorePosition = copy(revision = StoreRevision(revision.number - 1))

    override fun toString(): String = if (era == StoreEra.UNSTATED) "${revision.number}" else "${era.number}:${revision.number}"

    companion object {
        /** Before everything that a store holds. */
        val NONE = unstated(0)

        /** Returns the position of [revision] in a store that states no era. */
        fun unstated(revision: Long) = StorePosition(StoreEra.UNSTATED, StoreRevision(revision))
    }
}
