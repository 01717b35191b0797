/**
 * A header field of a request or response, forwarded unchanged.
 */
package lagoonrudder.model

data class HeaderField(
    val name: String,
    val value: String,
)
