/**
 * The one thread on which connections are read and written, and on which request coroutines run.
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

    /** Heap buffers without a pool: a pool of arenas costs more memory than all requests of a daemon. */
    internal val allocator = UnpooledByteBufAllocator(false)

    val dispatcher: CoroutineDispatcher = group.next().asCoroutineDispatcher()

    override fun close() {
        group.shutdownGracefully(0, CLOSE_SECONDS, TimeUnit.SECONDS)
    }

    private companion object {
        const val CLOSE_SECONDS = 1L
    }
}
