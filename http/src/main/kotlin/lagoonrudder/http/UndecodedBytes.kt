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
import kotlin.time.Duration

/**
 * Stands in front of the decoder. Reserves [memory] for what that holds, and once it holds more than [maxBytes] and one read, calls
 * [onExcess] and discards all further bytes. [onRefused] is called instead, with the time after which the caller may try again, if
 * there is no memory. [onRead] is called before each read is decoded.
 */
internal class UndecodedBytes(
    private val memory: BodyMemory,
    private val maxBytes: () -> Long,
    private val onRead: () -> Unit,
    private val onExcess: (Long) -> Unit,
    private val onRefused: (Duration) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var held = 0L
    private var reserved = 0L
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
        if (!isDiscarding && held > reserved) check()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        onDecoded()
        context.fireChannelInactive()
    }

    /** Called when bytes have completed something. What follows it in the same read is not counted. */
    fun onDecoded() {
        held = 0
        memory.release(reserved)
        reserved = 0
    }

    private fun check() {
        if (held > maxBytes()) {
            isDiscarding = true
            onExcess(held)
            return
        }
        val retryAfter = memory.reserve(held - reserved, reserved)
        if (retryAfter == null) {
            reserved = held
        } else {
            isDiscarding = true
            onRefused(retryAfter)
        }
    }
}
