package lagoonrudder.wire

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import lagoonrudder.control.direct.admission.LevelDemand
import lagoonrudder.control.direct.admission.UrgencyLevel
import lagoonrudder.model.ServiceId
import lagoonrudder.wire.messages.DemandMessage
import lagoonrudder.wire.messages.GossipMessage
import lagoonrudder.wire.messages.GossipReply
import lagoonrudder.wire.messages.PeerMessage
import lagoonrudder.wire.messages.decodeMessage
import lagoonrudder.wire.messages.encodeMessage
import lagoonrudder.wire.messages.load
import lagoonrudder.wire.messages.toDemandMessages

/** Guards against demand that is lost or mixed up on its way, and against gossip that grows with the number of services. */
class DemandMessagesTest :
    FunSpec({
        val self = PeerMessage("daemon", true, "domain", "region")
        val demand =
            mapOf(
                ServiceId("engines") to listOf(LevelDemand(UrgencyLevel(0), 9, 8, 1, 2), LevelDemand(UrgencyLevel(2), 4, 0, 4, 0)),
                ServiceId("plain") to listOf(LevelDemand(UrgencyLevel(1), 1, 1, 0, 0)),
            )

        test("messages and replies carry the demand") {
            val message = encodeMessage(GossipMessage.serializer(), GossipMessage(self, at = 1, demand = demand.toDemandMessages()))
            decodeMessage(GossipMessage.serializer(), message).load.demand shouldBe demand
            val reply = encodeMessage(GossipReply.serializer(), GossipReply(self, at = 1, demand = demand.toDemandMessages()))
            decodeMessage(GossipReply.serializer(), reply).load.demand shouldBe demand
        }

        test("a message without demand, as an older daemon sends it, has none") {
            GossipMessage(self, at = 1).load.demand shouldBe emptyMap()
        }

        test("a level that this daemon doesn't know is ignored") {
            GossipMessage(
                self,
                at = 1,
                demand = listOf(DemandMessage("engines", 7, 1), DemandMessage("engines", -1, 1)),
            ).load.demand shouldBe
                emptyMap()
        }

        test("no more than eight services are told, those with most arrivals") {
            val many = (1..20).associate { ServiceId("service-$it") to listOf(LevelDemand(UrgencyLevel(0), it, 0, 0, 0)) }
            many.toDemandMessages().map { it.arrivals } shouldBe (20 downTo 13).toList()
        }
    })
