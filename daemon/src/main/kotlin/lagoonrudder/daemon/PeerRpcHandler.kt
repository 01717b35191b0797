/**
 * Handles the RPCs of peers: the configuration at every daemon, chunks of weights at those that hold some.
 */
package lagoonrudder.daemon

import lagoonrudder.daemon.configuration.ConfigurationSyncLoop
import lagoonrudder.wire.messages.ChunkMessage
import lagoonrudder.wire.messages.ChunkReply
import lagoonrudder.wire.messages.ChunkState
import lagoonrudder.wire.messages.ExchangeMessage
import lagoonrudder.wire.messages.ExchangeReply
import lagoonrudder.wire.messages.OfferMessage
import lagoonrudder.wire.messages.OfferReply
import lagoonrudder.wire.rpc.PeerService

/** Serves chunks of weights to peers. */
fun interface ChunkService {
    suspend fun chunk(message: ChunkMessage): ChunkReply
}

class PeerRpcHandler(
    private val configuration: ConfigurationSyncLoop,
    private val chunks: ChunkService = ChunkService { ChunkReply(ChunkState.NOT_HERE) },
) : PeerService {
    override suspend fun exchange(message: ExchangeMessage): ExchangeReply = configuration.replyTo(message)

    override suspend fun offer(message: OfferMessage): OfferReply = configuration.applyOffer(message)

    override suspend fun chunk(message: ChunkMessage): ChunkReply = chunks.chunk(message)
}
