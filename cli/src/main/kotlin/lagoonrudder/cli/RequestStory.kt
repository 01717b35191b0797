/**
 * A request's story: the lines that name it, each after what its process believed when it decided.
 *
 * A belief is the last line of a kind that the same process wrote before: the configuration, the declared version, evacuated
 * failure domains, the store, a pause, and for each back end that the request was sent to how it was listed and what its
 * target daemon said.
 */
package lagoonrudder.cli

import java.time.Duration

/** The story of [request] over [lines] of any number of processes; empty when no line names it. */
internal fun traceRequest(
    request: String,
    lines: List<LogLine>,
): List<String> {
    val ordered = lines.sortedBy { it.at }
    return ordered.filter { it["request"] == request }.flatMap { line ->
        val before = ordered.filter { it.process == line.process && it.at <= line.at && it !== line }
        knownState(line, before).sortedBy { it.at }.map { describeKnown(it, line) } + line.text
    }
}

private fun knownState(
    line: LogLine,
    before: List<LogLine>,
): List<LogLine> {
    val general = STATE_EVENTS.mapNotNull { events -> before.lastOrNull { it.event in events } }
    val targets = TARGET.findAll(line["attempts"].orEmpty()).map { it.groupValues[1] }.distinct()
    return general + targets.flatMap { knownBackEndState(it, before) }
}

private fun knownBackEndState(
    target: String,
    before: List<LogLine>,
): List<LogLine> {
    val listed = before.lastOrNull { it.event == "back-end-listed" && it["target"] == target }
    val gone = before.lastOrNull { it.event == "back-end-gone" && it["target"] == target }
    val heard = before.lastOrNull { it.event == "slot-heard" && listed != null && it["back-end"] == listed["address"] }
    return listOfNotNull(listed, gone, heard)
}

private fun describeKnown(
    known: LogLine,
    line: LogLine,
): String = "  believed for ${Duration.between(known.at, line.at).toMillis()} ms: ${known.text}"

/** Events of which the last one before a decision tells what was believed. */
private val STATE_EVENTS =
    listOf(
        setOf("configuration-in-force"),
        setOf("version-declared"),
        setOf("domains-evacuated"),
        setOf("store-lost", "store-regained"),
        setOf("paused"),
        setOf("leaving"),
    )

/** The attempts of a request are listed as "target:result", with commas between them. */
private val TARGET = Regex("""(?:^|,)([^:,]+):""")
