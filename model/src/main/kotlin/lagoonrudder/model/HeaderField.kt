/**
 * A named value that travels with a request or an answer and is passed on as it is.
 */
package lagoonrudder.model

data class HeaderField(
    val name: String,
    val value: String,
)
