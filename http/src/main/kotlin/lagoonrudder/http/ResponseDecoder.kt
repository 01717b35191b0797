/**
 * Decodes the responses on a client connection, and tells whether bytes arrived that are not part of a response.
 */
package lagoonrudder.http

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

internal class ResponseDecoder : HttpResponseDecoder() {
    /** Whether the response to the request in progress may have a body, which that to a HEAD request has not. */
    var expectsBody = true

    /** Whether bytes were received that are not decoded yet. */
    val holdsBytes: Boolean get() = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = !expectsBody || super.isContentAlwaysEmpty(message)
}
