/**
 * Reports the size of every read of a connection before its bytes are decoded.
 */
package lagoonrudder.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Calls [onBytesReceived] with the number of bytes of each read. */
internal class ReadNotifier(
    private val onBytesReceived: (Int) -> Unit,
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is ByteBuf) onBytesReceived(message.readableBytes())
        context.fireChannelRead(message)
    }
}
