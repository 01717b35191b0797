/**
 * Writes what the log tells of the attempts of a request and of the versions that they met; durations are in milliseconds.
 */
package lagoonrudder.daemon.direct

import lagoonrudder.control.direct.DeclaredWeights
import lagoonrudder.control.direct.KnownVersions
import lagoonrudder.traffic.direct.AttemptRecord
import lagoonrudder.traffic.direct.AttemptVersions
import lagoonrudder.traffic.direct.LateVersion
import kotlin.time.Duration

/** Returns the attempt as `target:result:events=N`, followed by its versions if the back end holds weights. */
internal fun AttemptRecord.describe(): String = "${target.text}:$result:events=$events" + versions?.describe().orEmpty()

private fun AttemptVersions.describe(): String =
    buildString {
        if (number != null) append(":number=${number?.number}")
        append(":held=${known.held.number}@${known.heard()}")
        required?.let { append(":required=${it.number}") }
        known.newest?.let { append(":declared=${it.number.number}@${known.ageOf(it)}") }
        headAfter?.let { append(":head=${it.inWholeMilliseconds}") }
        firstEventAfter?.let { append(":first=${it.inWholeMilliseconds}") }
    }

/** The fields of the line that tells of [LateVersion]. */
internal fun LateVersion.fields(): Array<Pair<String, Any?>> =
    arrayOf(
        "target" to target.text,
        "number" to versions.number?.number,
        "declared" to declared.number.number,
        "age-ms" to age.inWholeMilliseconds,
        "waited-ms" to versions.firstEventAfter?.inWholeMilliseconds,
        "head-ms" to versions.headAfter?.inWholeMilliseconds,
        "held" to versions.known.held.number,
        "heard-ms" to versions.known.heard(),
        "required" to versions.required?.number,
        "resumed" to isResumed,
    )

private fun KnownVersions.heard(): String = statusAge?.let { milliseconds(it) } ?: "listed"

/** Returns the lowest possible age of a declaration at the choice of the back end, and the one that decisions count from. */
private fun KnownVersions.ageOf(declared: DeclaredWeights): String =
    "${milliseconds(at - declared.acknowledged.latest)}-${milliseconds(at - declared.countsFrom)}"

private fun milliseconds(duration: Duration): String = duration.inWholeMilliseconds.toString()
