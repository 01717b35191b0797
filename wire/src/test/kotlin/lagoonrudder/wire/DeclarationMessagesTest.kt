/**
 * Guards against a version that a peer takes for younger or older than its sender knows it to be, because of the way of the message.
 */
package lagoonrudder.wire

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import lagoonrudder.control.direct.VersionAcknowledgement
import lagoonrudder.model.EventTime
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import lagoonrudder.wire.messages.GossipMessage
import lagoonrudder.wire.messages.GossipReply
import lagoonrudder.wire.messages.PeerMessage
import lagoonrudder.wire.messages.declared
import lagoonrudder.wire.messages.decodeMessage
import lagoonrudder.wire.messages.encodeMessage
import lagoonrudder.wire.messages.toMessage
import lagoonrudder.wire.messages.upToDateAt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DeclarationMessagesTest :
    FunSpec({
        val self = PeerMessage("daemon", true, "domain", "region")

        fun told(time: EventTime): EventTime {
            val message = VersionAcknowledgement(ModelId("model"), WeightNumber(2), time).toMessage(now = 50.seconds)
            val reply = GossipReply(self, at = 1, declarations = listOf(message))
            return reply.declared(sentAt = 20.seconds, receivedAt = 20_300.milliseconds).single().time
        }

        test("the time that a reply took widens what is known of a version on both sides") {
            told(EventTime(47.seconds, 48.seconds)) shouldBe EventTime(16_999.milliseconds, 18_300.milliseconds)
        }

        test("a part of a millisecond makes the bounds wider, not narrower") {
            val told = told(EventTime(47.seconds - 400.microseconds, 48.seconds + 400.microseconds))
            told shouldBe EventTime(16_999.milliseconds, 18_301.milliseconds)
        }

        test("a version of which no earliest time is known stays without one") {
            told(EventTime(-Duration.INFINITE, 48.seconds)) shouldBe EventTime(-Duration.INFINITE, 18_300.milliseconds)
        }

        // The message may have waited at the connection of a receiver that was frozen, and the version would seem younger than it is.
        test("a message, which may have been under way for any time, bounds only the latest time of an acknowledgement") {
            val versions = listOf(VersionAcknowledgement(ModelId("model"), WeightNumber(2), EventTime(47.seconds, 48.seconds)))
            val message = GossipMessage(self, at = 1, declarations = versions.map { it.toMessage(now = 50.seconds) })
            val received = decodeMessage(GossipMessage.serializer(), encodeMessage(GossipMessage.serializer(), message))
            received.declared(receivedAt = 24.seconds).single().time shouldBe EventTime(-Duration.INFINITE, 22.seconds)
        }

        test("a peer is up to date as of the request, however long its reply took") {
            GossipReply(self, at = 1, upToDateMilliseconds = 700).upToDateAt(sentAt = 20.seconds) shouldBe 19_299.milliseconds
            GossipReply(self, at = 1).upToDateAt(sentAt = 20.seconds) shouldBe null
        }
    })
