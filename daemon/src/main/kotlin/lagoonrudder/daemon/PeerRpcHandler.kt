/**
 * What every daemon answers to its peers: configuration always, weights where it holds some.
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

/** Answers requests for chunks of weights. */
fun interface ChunkService {
    suspend fun chunk(message: ChunkMessage): ChunkReply
}

class PeerRpcHandler(
    private val configuration: ConfigurationSyncLoop,
    private val chunks: ChunkService = ChunkService { ChunkReply(ChunkState.NOT_HERE) },
) : PeerService {
    override suspend fun exchange(message: ExchangeMessage): ExchangeReply = configuration.answer(message)

    override suspend fun offer(message: OfferMessage): OfferReply = configuration.take(message)

    override suspend fun chunk(message: ChunkMessage): ChunkReply = chunks.chunk(message)
}
