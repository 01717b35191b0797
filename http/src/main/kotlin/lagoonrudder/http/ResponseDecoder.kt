/**
 * Decodes the responses on a client connection, and tells whether bytes arrived that are not part of a response.
 */
package lagoonrudder.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

internal class ResponseDecoder : HttpResponseDecoder(HttpDecoderConfig().setMaxHeaderSize(MAX_FIELD_BYTES)) {
    /** Whether the response to the request in progress may have a body, which that to a HEAD request has not. */
    var expectsBody = true

    /** Whether bytes were received that are not decoded yet. */
    val holdsBytes: Boolean get() = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = !expectsBody || super.isContentAlwaysEmpty(message)

    private companion object {
        /** Far above the fields of any response, since nothing limits those of a request that has run. */
        const val MAX_FIELD_BYTES = 65_536
    }
}
