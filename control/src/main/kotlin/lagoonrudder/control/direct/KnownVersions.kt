/**
 * What a process knew of versions when it chose a back end for a request, to tell afterwards why the request began on an old one.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.WeightNumber
import kotlin.time.Duration

/**
 * The back end held [held] as far as was known [at] the time of the choice. A status of its target daemon told so [statusAge] before;
 * null if only its registration did. [declarations] are those of its model, oldest first.
 */
class KnownVersions(
    val at: Duration,
    val held: WeightNumber,
    val statusAge: Duration?,
    private val declarations: List<DeclaredWeights>,
) {
    /** The newest declaration; null if there was none. */
    val newest: DeclaredWeights? get() = declarations.lastOrNull()

    /** Returns the oldest declaration for which a request that begins on [number] at [time] may come too late; null if there is none. */
    fun violated(
        number: WeightNumber,
        time: Duration,
    ): DeclaredWeights? = declarations.firstOrNull { it.number > number && time > it.limitAt }
}
