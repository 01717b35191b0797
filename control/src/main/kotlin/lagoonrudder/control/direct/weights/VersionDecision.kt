/**
 * Which of the declared versions of a model a daemon fetches while the links to their sources are scarce.
 */
package lagoonrudder.control.direct.weights

import lagoonrudder.model.WeightNumber

sealed class VersionDecision {
    /** Fetch the newest version, and give up the fetches of any other one. */
    data class Fetch(
        val number: WeightNumber,
    ) : VersionDecision()

    /** Complete an older version first, since it serves before the newest one can. */
    data class FinishFirst(
        val number: WeightNumber,
    ) : VersionDecision()

    /** Every version that counts is complete. */
    data object Nothing : VersionDecision()
}
