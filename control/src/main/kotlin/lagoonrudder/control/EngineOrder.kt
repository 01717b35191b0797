/**
 * The orders that a target daemon sends to its engine, and their results.
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
    /** The engine carried out the order. */
    data object Done : OrderResult()

    /** The engine rejected the order because it has seen the same or a higher fencing number. */
    data object Fenced : OrderResult()

    /** The engine rejected the order for a reason that a retry won't change. */
    data class Declined(
        val detail: String,
    ) : OrderResult()

    /** The result is unknown: the order may still take effect, or not at all. */
    data class Unknown(
        val detail: String,
    ) : OrderResult()
}

/** The state that an engine reports. [fencing] is null if the engine stores no fencing number. */
data class EngineState(
    val incarnation: IncarnationId,
    val version: VersionId?,
    val role: EngineRole,
    val fencing: FencingNumber?,
    val loading: Boolean,
    val chunksHeld: Int,
)
