package lagoonrudder.wire

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import lagoonrudder.control.direct.weights.ChunkHolding
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import lagoonrudder.wire.messages.GossipMessage
import lagoonrudder.wire.messages.GossipReply
import lagoonrudder.wire.messages.HoldingMessage
import lagoonrudder.wire.messages.PeerMessage
import lagoonrudder.wire.messages.decodeMessage
import lagoonrudder.wire.messages.encodeMessage
import lagoonrudder.wire.messages.toHolding
import lagoonrudder.wire.messages.toMessage
import java.util.BitSet
import kotlin.time.Duration.Companion.milliseconds

class HoldingMessagesTest :
    FunSpec({
        val self = PeerMessage("a", true, "domain", "region")
        val chunks = BitSet().apply { listOf(0, 9, 63).forEach { set(it) } }
        val holding = ChunkHolding(ModelId("model"), WeightNumber(3), DaemonId("b"), Address("10.0.0.1", 71), chunks, 40.milliseconds)

        // Guards against bits in another order than peers of other versions expect.
        test("holdings survive both directions of gossip, with chunk 0 in the lowest bit of the first byte") {
            val message = GossipMessage(self, 1, holdings = listOf(holding.toMessage()))
            val decoded = decodeMessage(GossipMessage.serializer(), encodeMessage(GossipMessage.serializer(), message))
            decoded.holdings.map { it.toHolding() } shouldBe listOf(holding)
            decoded.holdings
                .single()
                .chunks
                .take(2) shouldBe listOf<Byte>(1, 2)
            val reply = encodeMessage(GossipReply.serializer(), GossipReply(self, 1, holdings = listOf(holding.toMessage())))
            decodeMessage(GossipReply.serializer(), reply).holdings.map { it.toHolding() } shouldBe listOf(holding)
        }

        test("a message of a daemon that knows no holdings has none, and a holding without a usable address is dropped") {
            val old = encodeMessage(GossipMessage.serializer(), GossipMessage(self, 1))
            decodeMessage(GossipMessage.serializer(), old).holdings.shouldBeEmpty()
            HoldingMessage("model", 3, ByteArray(1), "b", "nowhere").toHolding().shouldBeNull()
        }
    })
