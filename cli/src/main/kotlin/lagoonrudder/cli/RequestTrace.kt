/**
 * Traces a request: the log lines that mention it, each preceded by the state that its process knew at that time.
 *
 * The known state is the latest earlier line of each kind from the same process: the configuration, the declared version,
 * evacuated failure domains, the store, a pause, and, for each back end that the request was sent to, its registration and the
 * last state received from its target daemon.
 */
package lagoonrudder.cli

import java.time.Duration

/** Returns the trace of [request] in [lines] of any number of processes, or an empty list if no line mentions it. */
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
    val targets = ATTEMPT_TARGET.findAll(line["attempts"].orEmpty()).map { it.groupValues[1] }.distinct()
    return general + targets.flatMap { knownBackEndState(it, before) }
}

private fun knownBackEndState(
    target: String,
    before: List<LogLine>,
): List<LogLine> {
    val listed = before.lastOrNull { it.event == "back-end-listed" && it["target"] == target }
    val unlisted = before.lastOrNull { it.event == "back-end-gone" && it["target"] == target }
    val reported = before.lastOrNull { it.event == "slot-heard" && listed != null && it["back-end"] == listed["address"] }
    return listOfNotNull(listed, unlisted, reported)
}

private fun describeKnown(
    known: LogLine,
    line: LogLine,
): String = "  known for ${Duration.between(known.at, line.at).toMillis()} ms: ${known.text}"

/** Kinds of events whose latest occurrence gives the known state. */
private val STATE_EVENTS =
    listOf(
        setOf("configuration-in-force"),
        setOf("version-declared"),
        setOf("domains-evacuated"),
        setOf("store-lost", "store-regained"),
        setOf("paused"),
        setOf("leaving"),
    )

/** Matches the target in the comma-separated list of attempts, each written as "target:result". */
private val ATTEMPT_TARGET = Regex("""(?:^|,)([^:,]+):""")
