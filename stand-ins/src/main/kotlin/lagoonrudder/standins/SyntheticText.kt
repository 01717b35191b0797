/**
 * Answers of stand-in engines that anyone can compute from the version and the prompt.
 */
package lagoonrudder.standins

/** The characters of one token. */
const val TOKEN_LENGTH = 4

/** The token at [offset] of the answer that [version] gives to [prompt]; the rest of a token when the offset is inside it. */
fun tokenAt(
    version: String,
    prompt: String,
    offset: Long,
    partial: Boolean = false,
): String {
    val token = offset / TOKEN_LENGTH
    val hash = "$version|${prompt.hashCode()}|$token".hashCode()
    val word = if (partial) "????" else (hash.toLong() and MASK).toString(RADIX).padStart(TOKEN_LENGTH, 'a').takeLast(TOKEN_LENGTH)
    return word.substring((offset % TOKEN_LENGTH).toInt())
}

/** The whole answer that [version] gives to [prompt]. */
fun expectedText(
    version: String,
    prompt: String,
    tokens: Int,
): String = (0 until tokens).joinToString("") { tokenAt(version, prompt, it.toLong() * TOKEN_LENGTH) }

private const val MASK = 0xFFFFFL
private const val RADIX = 36
