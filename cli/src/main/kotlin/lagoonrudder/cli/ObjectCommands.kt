/**
 * The commands on files of objects.
 */
@file:OptIn(ExperimentalCli::class)

package lagoonrudder.cli

import arrow.core.getOrElse
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import lagoonrudder.model.Digest
import lagoonrudder.model.ObjectKey
import lagoonrudder.model.ObjectKind
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Revision
import lagoonrudder.model.RouteId
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.model.AdminState
import lagoonrudder.model.changesBetween
import lagoonrudder.model.checkObjects
import lagoonrudder.model.digestOf
import lagoonrudder.wire.documents.HEAD_KEY
import lagoonrudder.wire.documents.partKey
import lagoonrudder.wire.documents.readHead
import lagoonrudder.wire.documents.readObjects
import lagoonrudder.wire.documents.readParts
import lagoonrudder.wire.documents.seal
import lagoonrudder.wire.documents.writeObjects
import java.io.File
import java.io.IOException

internal fun objectCommands(console: Console): List<Subcommand> =
    listOf(
        CheckCommand(console),
        SealCommand(console),
        DiffCommand(console),
        ExplainCommand(console),
        ServiceCommand(console, "out", "Take a failure domain or a target out of service in a file of objects", AdminState.OUT),
        ServiceCommand(console, "in", "Bring a failure domain or a target back into service in a file of objects", AdminState.IN),
        ManifestCommand(console),
    )

/** A file could not be read. */
internal class UnreadableFile(
    val line: String,
) : Exception(line)

internal abstract class ObjectCommand(
    protected val console: Console,
    name: String,
    description: String,
) : Subcommand(name, description) {
    override fun execute() {
        try {
            run()
        } catch (unreadable: UnreadableFile) {
            console.fail(unreadable.line, EXIT_INVALID_INPUT)
        } catch (unreadable: IOException) {
            console.fail("cannot read or write: ${unreadable.message}", EXIT_INVALID_INPUT)
        }
    }

    protected abstract fun run()

    /** Reads a file of objects; its findings are printed and null is returned when it has any. */
    protected fun readOrReport(file: String): ObjectSet? {
        val read = readObjects(textOf(file), file)
        val checked = read.fold({ findings -> return report(findings.map { it.detail }, EXIT_INVALID_INPUT) }, { checkObjects(it, file) })
        return checked.getOrElse { findings -> report(findings.map { it.detail }, EXIT_FINDINGS) }
    }

    protected fun textOf(file: String): String =
        try {
            File(file).readText()
        } catch (missing: IOException) {
            throw UnreadableFile("file $file: ${missing.message}")
        }

    private fun report(
        findings: List<String>,
        code: Int,
    ): ObjectSet? {
        findings.forEach { console.fail(it, code) }
        return null
    }
}

internal class CheckCommand(
    console: Console,
) : ObjectCommand(console, "check", "Check a file of objects as a whole") {
    private val file by argument(ArgType.String, description = "file of objects")

    override fun run() {
        val objects = readOrReport(file) ?: return
        console.print("file=$file objects=${objects.byKey.size} digest=${objects.digest.hexadecimal} verdict=good")
    }
}

internal class SealCommand(
    console: Console,
) : ObjectCommand(console, "seal", "Check a file of objects and write the sealed documents to publish") {
    private val file by argument(ArgType.String, description = "file of objects")
    private val revision by option(ArgType.Int, "revision", description = "revision number, above the one before").required()
    private val before by option(ArgType.String, "before", description = "folder with the sealed documents published last")
    private val out by option(ArgType.String, "out", description = "folder to write to").required()

    override fun run() {
        val objects = readOrReport(file) ?: return
        val last = before?.let { readSealed(it) } ?: ObjectSnapshot.EMPTY
        val sealed = seal(ObjectSnapshot(Revision(revision.toLong()), objects), last, file)
        val document = sealed.getOrElse { return console.fail(it.detail, EXIT_FINDINGS) }
        val folder = File(out).apply { mkdirs() }
        document.parts.forEach { File(folder, partKey(it.digest)).writeText(it.text) }
        File(folder, HEAD_KEY).writeText(document.head)
        console.print("folder=$out revision=$revision digest=${objects.digest.hexadecimal} parts=${document.parts.size}")
        console.print("publish the files part-* first and the file $HEAD_KEY last")
    }

    private fun readSealed(folder: String): ObjectSnapshot {
        val peer = Peer(PeerRole.OPERATOR, folder)
        val head = readHead(textOf("$folder/$HEAD_KEY"), peer).getOrElse { throw UnreadableFile(it.detail) }
        val parts = head.parts.associateWith { digest: Digest -> textOf("$folder/${partKey(digest)}") }
        return readParts(head, parts, peer).getOrElse { throw UnreadableFile(it.detail) }
    }
}

internal class DiffCommand(
    console: Console,
) : ObjectCommand(console, "diff", "Show what changes from one file of objects to another") {
    private val from by argument(ArgType.String, description = "file of objects before")
    private val to by argument(ArgType.String, description = "file of objects after")

    override fun run() {
        val before = readOrReport(from) ?: return
        val after = readOrReport(to) ?: return
        val changes = changesBetween(before, after)
        changes.removed.forEach { console.print("removed [$it]") }
        changes.changed.forEach { value -> printChange(before.byKey[value.key], value) }
        console.print("removed=${changes.removed.size} changed=${changes.changed.size}")
    }

    private fun printChange(
        old: OperatorObject?,
        new: OperatorObject,
    ) {
        if (old == null) return console.print("added [${new.key}]")
        val before = old.fields().associate { it.name to it.value }
        val after = new.fields().associate { it.name to it.value }
        for (name in before.keys + after.keys) {
            if (before[name] !=
                after[name]
            ) {
                console.print("changed [${new.key}] $name: ${before[name] ?: "none"} -> ${after[name] ?: "none"}")
            }
        }
    }
}

internal class ExplainCommand(
    console: Console,
) : ObjectCommand(console, "explain", "Show where requests of a route go") {
    private val route by argument(ArgType.String, description = "name of the route")
    private val file by argument(ArgType.String, description = "file of objects")

    override fun run() {
        val objects = readOrReport(file) ?: return
        val found =
            objects.routes[RouteId(route)]
                ?: return console.fail("file $file: expected a section [route $route], found none", EXIT_INVALID_INPUT)
        val fleet = objects.fleets.getValue(found.fleet)
        val repeats = if (found.idempotent) "may be repeated" else "at most once, by the caller's Idempotency-Key"
        console.print(
            "route=${found.id.text} path=${found.path} deadline=${found.deadline} priority=${found.priority} repeats=\"$repeats\"",
        )
        console.print(
            "fleet=${fleet.id.text} kind=${fleet.kind.name.lowercase()} version=${fleet.version?.text} also-accepted=${fleet.replaces?.text}",
        )
        for (target in objects.targetsOf[fleet.id].orEmpty()) {
            val service = if (objects.inService(target)) "in" else "out"
            console.print("target=${target.id.text} domain=${target.domain.text} service=$service requests=${target.requests}")
        }
    }
}

internal class ServiceCommand(
    console: Console,
    name: String,
    description: String,
    private val service: AdminState,
) : ObjectCommand(console, name, description) {
    private val kind by argument(ArgType.String, description = "domain or target")
    private val id by argument(ArgType.String, description = "name of the failure domain or target")
    private val file by argument(ArgType.String, description = "file of objects, which is rewritten")

    override fun run() {
        val objects = readOrReport(file) ?: return
        val wanted = ObjectKind.entries.firstOrNull { it.text == kind }
        val changed =
            when (val value = wanted?.let { objects.byKey[ObjectKey(it, id)] }) {
                is OperatorObject.Domain -> value.copy(service = service)
                is OperatorObject.Target -> value.copy(service = service)
                else -> return console.fail("file $file: expected a section [domain $id] or [target $id], found none", EXIT_INVALID_INPUT)
            }
        val next = objects.byKey.values.map { if (it.key == changed.key) changed else it }
        File(file).writeText(writeObjects(next))
        console.print("file=$file object=\"${changed.key}\" service=${service.name.lowercase()}; seal and publish it to put it in force")
    }
}

internal class ManifestCommand(
    console: Console,
) : ObjectCommand(console, "manifest", "Write the manifest of a file of weights and print its digest") {
    private val weights by argument(ArgType.String, description = "file of weights")
    private val chunkBytes by option(ArgType.Int, "chunk-bytes", description = "bytes of a chunk").required()
    private val out by option(ArgType.String, "out", description = "file to write the manifest to").required()

    override fun run() {
        if (chunkBytes <= 0) return console.fail("option chunk-bytes: expected a number above 0", EXIT_INVALID_INPUT)
        val digests = mutableListOf<String>()
        File(weights).inputStream().use { input ->
            while (true) {
                val chunk = input.readNBytes(chunkBytes)
                if (chunk.isEmpty()) break
                digests += digestOf(chunk).hexadecimal
            }
        }
        val manifest = digests.joinToString("\n").encodeToByteArray()
        File(out).writeBytes(manifest)
        console.print(
            "manifest=${digestOf(manifest).hexadecimal} bytes=${File(weights).length()} chunk-bytes=$chunkBytes chunks=${digests.size}",
        )
    }
}
