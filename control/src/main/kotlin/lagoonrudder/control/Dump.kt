/**
 * The state of the controllers as text, for operators.
 */
package lagoonrudder.control

/** The state of one controller. */
data class DumpSection(
    val controller: String,
    val entries: List<DumpEntry>,
)

data class DumpEntry(
    val key: String,
    val value: String,
)

/** Builds the section of [controller] from key and value pairs. */
fun dumpSection(
    controller: String,
    build: MutableList<DumpEntry>.() -> Unit,
): DumpSection = DumpSection(controller, buildList(build))

fun MutableList<DumpEntry>.entry(
    key: String,
    value: Any?,
) {
    add(DumpEntry(key, value.toString()))
}

/** Renders the sections as text: a header for each controller, followed by a line for each entry. */
fun renderDump(sections: List<DumpSection>): String =
    sections.joinToString("\n") { section ->
        section.entries.joinToString("", prefix = "[${section.controller}]\n") { "${it.key} = ${it.value}\n" }
    }
