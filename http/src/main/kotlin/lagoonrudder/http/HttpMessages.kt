/**
 * HTTP requests and responses: a start line, header fields in their order, and a body.
 */
package lagoonrudder.http

import lagoonrudder.model.HeaderField

/** A request with its complete body. [target] is the path with the query, as sent on the wire. */
class HttpRequest(
    val method: String,
    val target: String,
    val fields: List<HeaderField>,
    val body: ByteArray = NO_BYTES,
) {
    fun field(name: String): String? = fields.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}

/**
 * The head of a response. [length] is null when the response is chunked or delimited by the end of its connection; in the latter
 * case [endsWithConnection] is set, and nothing tells a complete body from one that was cut.
 */
class HttpResponseHead(
    val status: Int,
    val fields: List<HeaderField>,
    val length: Long? = null,
    val endsWithConnection: Boolean = false,
) {
    fun field(name: String): String? = fields.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}

/** A complete response. */
class HttpResponse(
    val head: HttpResponseHead,
    val body: ByteArray,
)

val NO_BYTES = ByteArray(0)

/** Names of header fields that apply to one connection only and are never forwarded, in lower case. */
val HOP_BY_HOP_FIELDS =
    setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
