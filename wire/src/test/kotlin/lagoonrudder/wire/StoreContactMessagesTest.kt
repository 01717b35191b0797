package lagoonrudder.wire

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import lagoonrudder.control.direct.StoreContact
import lagoonrudder.wire.messages.GossipMessage
import lagoonrudder.wire.messages.GossipReply
import lagoonrudder.wire.messages.PeerMessage
import lagoonrudder.wire.messages.storeContact
import lagoonrudder.wire.messages.storeSince
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoreContactMessagesTest :
    FunSpec({
        val self = PeerMessage("daemon", true, "domain", "region")

        test("the time that a reply took makes the store's contact neither begin earlier nor end later") {
            val reply = GossipReply(self, at = 1, storeHeardMilliseconds = 200, storeSinceMilliseconds = 9_000)
            reply.storeContact(sentAt = 20.seconds, receivedAt = 20_300.milliseconds) shouldBe
                StoreContact(11_300.milliseconds, 19_800.milliseconds)
        }

        test("a single answer of the store stays one answer on its way") {
            val reply = GossipReply(self, at = 1, storeHeardMilliseconds = 200, storeSinceMilliseconds = 200)
            reply.storeContact(sentAt = 20.seconds, receivedAt = 20_300.milliseconds) shouldBe
                StoreContact(19_800.milliseconds, 19_800.milliseconds)
        }

        test("a daemon that doesn't read the store tells in a request only since when the store has answered") {
            val message = GossipMessage(self, at = 1, storeSinceMilliseconds = 9_000)
            message.storeContact(20.seconds) shouldBe null
            message.storeSince(20.seconds) shouldBe 11.seconds
            val fromReader = GossipMessage(self, at = 1, storeContactMilliseconds = 500, storeSinceMilliseconds = 9_000)
            fromReader.storeContact(20.seconds) shouldBe StoreContact(11.seconds, 19_500.milliseconds)
        }

        test("a peer that doesn't tell the beginning of the contact tells one answer") {
            GossipReply(self, at = 1, storeHeardMilliseconds = 500).storeContact(20.seconds, 20.seconds) shouldBe
                StoreContact(19_500.milliseconds, 19_500.milliseconds)
            GossipReply(self, at = 1).storeContact(20.seconds, 20.seconds) shouldBe null
        }
    })
