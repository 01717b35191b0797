/**
 * Decides whether a caller's body may be read, within one budget of bytes for the process.
 */
package lagoonrudder.control

class UploadController(
    private val budget: Long,
) {
    private var held = 0L
    private var refused = 0L

    /** Reserves [bytes]; false when the budget has no room for them. */
    fun open(bytes: Long): Boolean {
        val fits = held + bytes <= budget
        if (fits) held += bytes else refused++
        return fits
    }

    /** Gives back what [open] reserved. */
    fun close(bytes: Long) {
        held -= bytes
    }

    fun dump(): DumpSection =
        dumpSection("uploads") {
            entry("budget-bytes", budget)
            entry("held-bytes", held)
            entry("refused", refused)
        }
}
