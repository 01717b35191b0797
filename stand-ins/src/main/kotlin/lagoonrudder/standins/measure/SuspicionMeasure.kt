/**
 * Measures what the evidence about crashes costs the control thread: each request, each crash and each exchange with a peer, without
 * evidence and with a full table of parts that crashed back ends one after the other.
 */
package lagoonrudder.standins.measure

import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.direct.PeerDaemon
import lagoonrudder.control.direct.suspicion.SuspicionController
import lagoonrudder.model.Address
import lagoonrudder.model.BackEnd
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.PromptPartId
import lagoonrudder.model.RegionId
import lagoonrudder.model.ServiceId
import lagoonrudder.model.TargetId
import lagoonrudder.wire.messages.EvidenceMessage
import lagoonrudder.wire.messages.encodeMessage
import lagoonrudder.wire.messages.toMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.measureTime

private const val WARM_UP = 20_000
private const val REQUESTS = 100_000
private const val CRASHES = 300
private const val PARTS_OF_REQUEST = 4

/** One request every millisecond, each with parts of its own: 4,000 new parts a second at each daemon, and 2.1% of a core for control. */
private const val MAX_MICROSECONDS = 21.0

fun measureSuspicion(
    @Suppress("UNUSED_PARAMETER") options: MeasureOptions,
): Verdict {
    val calm = SuspicionController(peers())
    val calmCost = requestCost(calm)
    val busy = SuspicionController(peers())
    val crashTime = measureTime { repeat(CRASHES) { crash(busy, it) } }
    val now = 200.milliseconds * CRASHES
    val busyCost = requestCost(busy, now)
    val message = encodeMessage(EvidenceMessage.serializer(), busy.report(now).toMessage())
    val line =
        figures {
            add("request-microseconds", calmCost)
            add("request-with-evidence-microseconds", busyCost)
            add("crash-microseconds", crashTime.toDouble(DurationUnit.MICROSECONDS) / CRASHES)
            add("evidence-bytes", message.size)
        }
    return Verdict(line, maxOf(calmCost, busyCost) < MAX_MICROSECONDS)
}

private fun peers() = PeerController(PeerDaemon(DaemonId("self"), DaemonRole.ENTRY, DomainId("d"), RegionId("r"), null), emptyList())

private fun requestCost(
    controller: SuspicionController,
    start: Duration = Duration.ZERO,
): Double {
    repeat(WARM_UP) { processRequest(controller, it, start) }
    val elapsed = measureTime { repeat(REQUESTS) { processRequest(controller, WARM_UP + it, start) } }
    return elapsed.toDouble(DurationUnit.MICROSECONDS) / REQUESTS
}

private fun processRequest(
    controller: SuspicionController,
    number: Int,
    start: Duration,
) {
    val now = start + 1.milliseconds * (number % 1_000)
    val parts = (0 until PARTS_OF_REQUEST).mapTo(mutableSetOf()) { PromptPartId("part-$number-$it") }
    controller.verdict(parts, mayHaveRun = false, now)
    controller.onAnswered(parts, now)
}

/** Lets a back end crash under requests with parts that crashed others before. */
private fun crash(
    controller: SuspicionController,
    number: Int,
) {
    val backEnd =
        BackEnd(TargetId("i-$number"), ServiceId("s"), Address("10.0.0.1", 1), DomainId("d"), 16, false, Duration.ZERO, 1, null)
    val parts = (0 until CRASHES).filter { (it + number) % 7 == 0 }.map { PromptPartId("suspect-$it") }
    controller.onCrash(backEnd, parts, 200.milliseconds * number)
}
