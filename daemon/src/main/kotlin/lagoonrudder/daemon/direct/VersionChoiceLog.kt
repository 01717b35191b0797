/**
 * Logs which version of a model this daemon fetches whenever that changes, with the inputs of the decision.
 */
package lagoonrudder.daemon.direct

import lagoonrudder.control.direct.weights.VersionChoice
import lagoonrudder.control.direct.weights.VersionDecision
import lagoonrudder.control.direct.weights.VersionSupply
import lagoonrudder.model.ModelId
import kotlin.time.Duration

internal class VersionChoiceLog(
    private val core: DirectCore,
) {
    private val decisions = mutableMapOf<ModelId, VersionDecision>()

    /** Logs [choice], which was made from [supply], if its decision differs from the previous one for [model]. */
    fun onChoice(
        model: ModelId,
        supply: VersionSupply,
        choice: VersionChoice,
    ) {
        if (decisions.put(model, choice.decision) == choice.decision) return
        val now = core.clock.elapsed()
        core.versionChoiceChanges.incrementAndGet()
        core.log.info(
            "version-choice",
            "model" to model.text,
            "decision" to describe(choice.decision),
            "newest" to
                choice.outlooks
                    .lastOrNull()
                    ?.number
                    ?.number,
            "held" to supply.held?.number,
            "staged" to supply.missing.keys.map { it.number },
            "missing" to choice.outlooks.map { "${it.number.number}:${it.missing}" },
            "rate" to supply.rate?.toLong(),
            "serves-in-ms" to choice.outlooks.map { "${it.number.number}:${millisecondsUntil(it.servesAt, now)}" },
            "stops-in-ms" to choice.outlooks.map { "${it.number.number}:${millisecondsUntil(it.stopsAt, now)}" },
        )
    }

    private fun millisecondsUntil(
        time: Duration?,
        now: Duration,
    ): Long? = time?.let { (it - now).inWholeMilliseconds }

    private fun describe(decision: VersionDecision): String =
        when (decision) {
            is VersionDecision.Fetch -> "fetch ${decision.number.number}"
            is VersionDecision.FinishFirst -> "finish-first ${decision.number.number}"
            VersionDecision.Nothing -> "nothing"
        }
}
