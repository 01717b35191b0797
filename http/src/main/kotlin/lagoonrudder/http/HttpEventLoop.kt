/**
 * The single event loop thread, which performs all connection I/O and runs the coroutines of requests.
 */
package lagoonrudder.http

import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.TimeUnit

class HttpEventLoop(
    name: String,
) : AutoCloseable {
    internal val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, DefaultThreadFactory(name, true), NioIoHandler.newFactory())

    /** Unpooled heap buffers, because the arenas of a pool would use more memory than all requests of a daemon. */
    internal val allocator = UnpooledByteBufAllocator(false)

    val dispatcher: CoroutineDispatcher = group.next().asCoroutineDispatcher()

    override fun close() {
        group.shutdownGracefully(QUIET_MILLISECONDS, CLOSE_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Closes connections that were accepted while the loop closed the others; without it they would stay open. */
        const val QUIET_MILLISECONDS = 50L
        const val CLOSE_MILLISECONDS = 1_000L
    }
}
