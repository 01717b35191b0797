/**
 * Bounds the bytes of a connection that its decoder holds because they complete nothing yet: a part of a head, of the size of a chunk
 * or of trailers, which a caller may send without end.
 *
 * The decoder has no bound of its own, since it can't follow limits that change while the connection is open.
 */
package lagoonrudder.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/**
 * Stands in front of the decoder. Once that holds more than [maxBytes] and one read, calls [onExcess] and discards all further bytes.
 * [onRead] is called before each read is decoded.
 */
internal class UndecodedBytes(
    private val maxBytes: () -> Long,
    private val onRead: () -> Unit,
    private val onExcess: (Long) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var held = 0L
    private var isDiscarding = false

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (isDiscarding) {
            ReferenceCountUtil.release(message)
            return
        }
        onRead()
        if (message is ByteBuf) held += message.readableBytes()
        context.fireChannelRead(message)
        if (held > maxBytes()) {
            isDiscarding = true
            onExcess(held)
        }
    }

    /** Called when bytes have completed something. What follows it in the same read is not counted. */
    fun onDecoded() {
        held = 0
    }
}
