/**
 * The output of fake engines, a pure function of the version and the prompt.
 */
package lagoonrudder.standins

/** The number of characters in a token. */
const val TOKEN_LENGTH = 4

/**
 * Returns the token at character [offset] of the text that [version] generates for [prompt], or the rest of a token when
 * [offset] lies inside it.
 */
fun tokenAt(
    version: String,
    prompt: String,
    offset: Long,
    partial: Boolean = false,
): String {
    val token = offset / TOKEN_LENGTH
    val hash = "$version|${prompt.hashCode()}|$token".hashCode()
    val text = if (partial) "????" else (hash.toLong() and MASK).toString(RADIX).padStart(TOKEN_LENGTH, 'a').takeLast(TOKEN_LENGTH)
    return text.substring((offset % TOKEN_LENGTH).toInt())
}

/** Returns the complete text that [version] generates for [prompt]. */
fun expectedText(
    version: String,
    prompt: String,
    tokens: Int,
): String = (0 until tokens).joinToString("") { tokenAt(version, prompt, it.toLong() * TOKEN_LENGTH) }

private const val MASK = 0xFFFFFL
private const val RADIX = 36
