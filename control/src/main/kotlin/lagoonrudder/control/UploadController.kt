/**
 * Limits the memory for request bodies to one budget for the process.
 */
package lagoonrudder.control

class UploadController(
    private val budget: Long,
) {
    private var held = 0L
    private var refused = 0L

    /** Reserves [bytes]; returns false if they exceed the budget. */
    fun open(bytes: Long): Boolean {
        val fits = held + bytes <= budget
        if (fits) held += bytes else refused++
        return fits
    }

    /** Releases bytes that [open] reserved. */
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
