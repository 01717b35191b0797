/**
 * What a batch of items changes in the view of the store.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.BackEnd
import lagoonrudder.model.DomainId
import lagoonrudder.model.Revision
import lagoonrudder.model.ServingConfiguration
import lagoonrudder.model.TargetId
import kotlin.time.Duration

/** The changes that a batch of items caused; [evacuated] is null if the set of evacuated failure domains did not change. */
data class StoreViewChange(
    val serving: ServingConfiguration?,
    val added: List<BackEnd>,
    val changed: List<BackEnd>,
    val removed: List<TargetId>,
    val declared: List<DeclaredWeights>,
    val evacuated: Set<DomainId>?,
    val unusable: List<String>,
    val era: EraChange? = null,
) {
    val isEmpty: Boolean
        get() =
            serving == null &&
                added.isEmpty() &&
                changed.isEmpty() &&
                removed.isEmpty() &&
                declared.isEmpty() &&
                evacuated == null &&
                unusable.isEmpty() &&
                era == null

    companion object {
        val NONE = StoreViewChange(null, emptyList(), emptyList(), emptyList(), emptyList(), null, emptyList())
    }
}

/** A change from the position [before] to a later era; what was known of the [kept] keys stays in effect. */
data class EraChange(
    val before: StorePosition,
    val after: StorePosition,
    val kept: List<String>,
    val discarded: List<String>,
)

/** A configuration that is in force [since] a restore, although the store [holds] an older one or none. */
data class KeptConfiguration(
    val revision: Revision,
    val holds: Revision?,
    val since: Duration,
)
