/**
 * Requests and answers as this module reads and writes them: a start line, fields in their order, and bytes.
 */
package lagoonrudder.http

import lagoonrudder.model.HeaderField

/** A request whose body is whole. [target] is the path with its query, as it stands on the wire. */
class HttpRequest(
    val method: String,
    val target: String,
    val fields: List<HeaderField>,
    val body: ByteArray = NO_BYTES,
) {
    fun field(name: String): String? = fields.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}

/** The start of an answer. [length] is null when the answer is sent in chunks or ends with its connection. */
class HttpResponseHead(
    val status: Int,
    val fields: List<HeaderField>,
    val length: Long? = null,
) {
    fun field(name: String): String? = fields.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}

/** A whole answer. */
class HttpResponse(
    val head: HttpResponseHead,
    val body: ByteArray,
)

val NO_BYTES = ByteArray(0)

/** Field names that concern one connection only and are never passed on, in lower case. */
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
