/**
 * Answers of stand-in engines that anyone can compute from the version and the prompt.
 */
package lagoonrudder.standins

/** The characters of one token. */
const val TOKEN_CHARACTERS = 4

/** The token at [offset] of the answer that [version] gives to [prompt]; the rest of a token when the offset is inside it. */
fun textOf(
    version: String,
    prompt: String,
    offset: Long,
    partial: Boolean = false,
): String {
    val token = offset / TOKEN_CHARACTERS
    val hash = "$version|${prompt.hashCode()}|$token".hashCode()
    val word = if (partial) "????" else (hash.toLong() and MASK).toString(RADIX).padStart(TOKEN_CHARACTERS, 'a').takeLast(TOKEN_CHARACTERS)
    return word.substring((offset % TOKEN_CHARACTERS).toInt())
}

/** The whole answer that [version] gives to [prompt]. */
fun wholeAnswer(
    version: String,
    prompt: String,
    tokens: Int,
): String = (0 until tokens).joinToString("") { textOf(version, prompt, it.toLong() * TOKEN_CHARACTERS) }

private const val MASK = 0xFFFFFL
private const val RADIX = 36
