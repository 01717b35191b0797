/**
 * Traces a request: the log lines that mention it, each preceded by the state that its process knew at that time.
 *
 * The known state is the latest earlier line of each kind from the same process: the configuration, the declared version,
 * evacuated failure domains, the store, a pause, and, for each back end that the request was sent to, its registration and the
 * last state received from its target daemon.
 *
 * Of other processes it shows who heard first of the newest version that the line names as declared, and what the target daemon of each
 * such back end did last to bring a version to it.
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
        val elsewhere = ordered.filter { it.process != line.process && it.at <= line.at }
        val known = knownState(line, before).sortedBy { it.at }.map { describeKnown(it, line) }
        known + knownElsewhere(line, before, elsewhere) + line.text
    }
}

private fun knownElsewhere(
    line: LogLine,
    before: List<LogLine>,
    elsewhere: List<LogLine>,
): List<String> {
    val switches = targetsOf(line).mapNotNull { addressOf(it, before) }.flatMap { lastSwitch(it, elsewhere) }.sortedBy { it.at }
    return firstHeard(line, before + elsewhere).map { "  heard first ${age(it, line)} ms before: ${it.text}" } +
        switches.map { "  target daemon ${age(it, line)} ms before: ${it.text}" }
}

/** Returns the first line of any process that tells of the newest version that [line] names as declared. */
private fun firstHeard(
    line: LogLine,
    candidates: List<LogLine>,
): List<LogLine> {
    val attempted = DECLARED.findAll(line["attempts"].orEmpty()).map { it.groupValues[1] }.toList()
    val number = (attempted + listOfNotNull(line["declared"])).maxByOrNull { it.toLongOrNull() ?: 0 } ?: return emptyList()
    return listOfNotNull(candidates.filter { it.event == "version-declared" && it["number"] == number }.minByOrNull { it.at })
}

/** Returns the last line of each step of a switch from the daemon beside the back end at [address]. */
private fun lastSwitch(
    address: String,
    elsewhere: List<LogLine>,
): List<LogLine> {
    val daemons = elsewhere.filter { it.event == "started" && it["back-end"] == address }.map { it.process }.toSet()
    return SWITCH_EVENTS.mapNotNull { event -> elsewhere.lastOrNull { it.process in daemons && it.event == event } }
}

private fun addressOf(
    target: String,
    before: List<LogLine>,
): String? = before.lastOrNull { it.event == "back-end-listed" && it["target"] == target }?.get("address")

private fun targetsOf(line: LogLine): List<String> {
    val attempted = ATTEMPT_TARGET.findAll(line["attempts"].orEmpty()).map { it.groupValues[1] }
    return (attempted + listOfNotNull(line["target"])).distinct().toList()
}

private fun knownState(
    line: LogLine,
    before: List<LogLine>,
): List<LogLine> {
    val general = STATE_EVENTS.mapNotNull { events -> before.lastOrNull { it.event in events } }
    return general + targetsOf(line).flatMap { knownBackEndState(it, before) }
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
): String = "  known for ${age(known, line)} ms: ${known.text}"

private fun age(
    earlier: LogLine,
    line: LogLine,
): Long = Duration.between(earlier.at, line.at).toMillis()

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

/** The steps of a target daemon that bring a version to its back end. */
private val SWITCH_EVENTS =
    listOf("version-declared", "staged", "switch-scheduled", "switch-begun", "drained", "order-begun", "loaded")

/** Matches the newest declared version in the list of attempts, written as "declared=number@age". */
private val DECLARED = Regex(""":declared=(\d+)@""")

/** Matches the target in the comma-separated list of attempts, each written as "target:result". */
private val ATTEMPT_TARGET = Regex("""(?:^|,)([^:,]+):""")
