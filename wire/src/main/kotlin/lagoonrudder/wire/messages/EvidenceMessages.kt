/**
 * Protocol buffer messages with the evidence about prompt parts that crash back ends.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package lagoonrudder.wire.messages

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import lagoonrudder.control.direct.suspicion.EvidenceReport
import lagoonrudder.control.direct.suspicion.PartReport
import lagoonrudder.model.BackEndRun
import lagoonrudder.model.PromptPartId
import lagoonrudder.model.TargetId
import kotlin.time.Duration.Companion.milliseconds

/** A run of a back end that ended [ageMilliseconds] ago. */
@Serializable
data class BackEndRunMessage(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val born: Long,
    @ProtoNumber(3) val ageMilliseconds: Long,
)

/** [crashes] and [contradicted] are positions in the list of runs. [probeMilliseconds] is the age of a probe in progress. */
@Serializable
data class PartMessage(
    @ProtoNumber(1) val part: String,
    @ProtoNumber(2) val crashes: List<Int> = emptyList(),
    @ProtoNumber(3) val contradicted: List<Int> = emptyList(),
    @ProtoNumber(4) val probeMilliseconds: Long = NO_PROBE,
    @ProtoNumber(5) val wasAnswered: Boolean = false,
)

@Serializable
data class EvidenceMessage(
    @ProtoNumber(1) val runs: List<BackEndRunMessage> = emptyList(),
    @ProtoNumber(2) val parts: List<PartMessage> = emptyList(),
)

private const val NO_PROBE = -1L

fun EvidenceReport.toMessage(): EvidenceMessage {
    val positions = runs.keys.withIndex().associate { it.value to it.index }
    return EvidenceMessage(
        runs.map { (run, age) -> BackEndRunMessage(run.target.text, run.born, age.inWholeMilliseconds) },
        parts.map { part ->
            PartMessage(
                part.part.text,
                part.crashes.mapNotNull { positions[it] },
                part.contradicted.mapNotNull { positions[it] },
                part.probeAge?.inWholeMilliseconds ?: NO_PROBE,
                part.wasAnswered,
            )
        },
    )
}

/** Positions that name no run are left out. */
fun EvidenceMessage.toReport(): EvidenceReport {
    val known = runs.map { BackEndRun(TargetId(it.target), it.born) }
    return EvidenceReport(
        known.zip(runs) { run, message -> run to message.ageMilliseconds.milliseconds }.toMap(),
        parts.map { part ->
            PartReport(
                PromptPartId(part.part),
                part.crashes.mapNotNullTo(mutableSetOf()) { known.getOrNull(it) },
                part.contradicted.mapNotNullTo(mutableSetOf()) { known.getOrNull(it) },
                part.probeMilliseconds.takeIf { it >= 0 }?.milliseconds,
                part.wasAnswered,
            )
        },
    )
}
