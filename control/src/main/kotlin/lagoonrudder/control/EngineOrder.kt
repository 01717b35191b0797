/**
 * The orders that a target daemon gives to its engine, and how each ends.
 */
package lagoonrudder.control

import lagoonrudder.model.FencingNumber
import lagoonrudder.model.IncarnationId
import lagoonrudder.model.VersionId

enum class EngineRole { SERVE, IDLE }

sealed class EngineOrder {
    abstract val fencing: FencingNumber

    data class LoadModel(
        override val fencing: FencingNumber,
        val version: VersionId,
        val chunks: Int,
    ) : EngineOrder()

    data class LoadAdapter(
        override val fencing: FencingNumber,
        val version: VersionId,
        val base: VersionId,
        val chunks: Int,
    ) : EngineOrder()

    data class ChangeRole(
        override val fencing: FencingNumber,
        val role: EngineRole,
    ) : EngineOrder()
}

sealed class OrderResult {
    data object Done : OrderResult()

    /** The engine has seen a fencing number at or above that of the order. */
    data object Fenced : OrderResult()

    /** The engine declined for a reason that a repeat won't change. */
    data class Declined(
        val detail: String,
    ) : OrderResult()

    /** The order may take effect later or not at all. */
    data class Unknown(
        val detail: String,
    ) : OrderResult()
}

/** What an engine says of itself. [fencing] is null when it keeps no fencing number. */
data class EngineState(
    val incarnation: IncarnationId,
    val version: VersionId?,
    val role: EngineRole,
    val fencing: FencingNumber?,
    val loading: Boolean,
    val chunksHeld: Int,
)
