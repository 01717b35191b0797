/**
 * Guards against an era that is lost on its way to a peer: after a restore the peer would take an earlier state for the later one.
 */
package lagoonrudder.wire

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import lagoonrudder.control.direct.StoreEra
import lagoonrudder.control.direct.StoreItem
import lagoonrudder.control.direct.StorePosition
import lagoonrudder.control.direct.StoreRevision
import lagoonrudder.model.Revision
import lagoonrudder.wire.messages.GossipMessage
import lagoonrudder.wire.messages.GossipReply
import lagoonrudder.wire.messages.PeerMessage
import lagoonrudder.wire.messages.configurationInForce
import lagoonrudder.wire.messages.position
import lagoonrudder.wire.messages.toItem
import lagoonrudder.wire.messages.toMessage

class PositionMessagesTest :
    FunSpec({
        val self = PeerMessage("daemon", true, "domain", "region")
        val position = StorePosition(StoreEra(2), StoreRevision(5))

        test("gossip carries the era of its position and of its items") {
            GossipMessage(self, at = 5, era = 2).position shouldBe position
            GossipReply(self, at = 5, era = 2).position shouldBe position
            StoreItem("op/config", position, null).toMessage().toItem().position shouldBe position
        }

        test("a message of a daemon that knows no eras has the position of a store without them") {
            GossipMessage(self, at = 5).position shouldBe StorePosition.unstated(5)
            GossipReply(self, at = 5).position shouldBe StorePosition.unstated(5)
            StoreItem("op/config", 5, null).toMessage().era shouldBe 0
        }

        test("gossip carries the revision of the configuration in force, and none if there is none") {
            GossipMessage(self, at = 5, configuration = 9).configurationInForce shouldBe Revision(9)
            GossipReply(self, at = 5, configuration = 9).configurationInForce shouldBe Revision(9)
            GossipMessage(self, at = 5).configurationInForce shouldBe null
            GossipReply(self, at = 5).configurationInForce shouldBe null
        }
    })
