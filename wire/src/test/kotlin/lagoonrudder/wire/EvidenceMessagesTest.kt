package lagoonrudder.wire

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import lagoonrudder.control.direct.suspicion.EvidenceReport
import lagoonrudder.control.direct.suspicion.PartReport
import lagoonrudder.model.BackEndRun
import lagoonrudder.model.PromptPartId
import lagoonrudder.model.TargetId
import lagoonrudder.wire.messages.BackEndRunMessage
import lagoonrudder.wire.messages.EvidenceMessage
import lagoonrudder.wire.messages.GossipMessage
import lagoonrudder.wire.messages.PartMessage
import lagoonrudder.wire.messages.PeerMessage
import lagoonrudder.wire.messages.decodeMessage
import lagoonrudder.wire.messages.encodeMessage
import lagoonrudder.wire.messages.toMessage
import lagoonrudder.wire.messages.toReport
import kotlin.time.Duration.Companion.milliseconds

private val first = BackEndRun(TargetId("i-1"), 1_700_000_000_000)
private val second = BackEndRun(TargetId("i-2"), 7)

class EvidenceMessagesTest :
    FunSpec({
        test("evidence survives an exchange unchanged") {
            val report =
                EvidenceReport(
                    mapOf(first to 20.milliseconds, second to 1_500.milliseconds),
                    listOf(
                        PartReport(PromptPartId("a"), setOf(first, second), setOf(second), probeAge = 5.milliseconds, wasAnswered = true),
                        PartReport(PromptPartId("b"), setOf(second), emptySet(), probeAge = null, wasAnswered = false),
                    ),
                )
            val self = PeerMessage("daemon", true, "domain", "region")
            val message = GossipMessage(self, at = 1, evidenceDigest = -3, evidence = report.toMessage())
            val decoded = decodeMessage(GossipMessage.serializer(), encodeMessage(GossipMessage.serializer(), message))
            decoded.evidenceDigest shouldBe -3
            decoded.evidence?.toReport() shouldBe report
        }

        test("a message of a daemon that knows no evidence has none") {
            val message = GossipMessage(PeerMessage("daemon", true, "domain", "region"), at = 1)
            val decoded = decodeMessage(GossipMessage.serializer(), encodeMessage(GossipMessage.serializer(), message))
            decoded.evidence shouldBe null
            decoded.evidenceDigest shouldBe 0
        }

        test("positions that name no run are left out") {
            val part = PartMessage("a", crashes = listOf(0, 1, -1, Int.MAX_VALUE), contradicted = listOf(5))
            val report = EvidenceMessage(listOf(BackEndRunMessage("i-1", first.born, 3)), listOf(part)).toReport()
            report.parts shouldBe listOf(PartReport(PromptPartId("a"), setOf(first), emptySet(), probeAge = null, wasAnswered = false))
        }
    })
