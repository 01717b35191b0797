/**
 * Sealed sets as they are published and passed on.
 *
 * The head names the revision, the digest of the whole set and the parts that hold it, and carries the changes from the
 * revision before. Parts are named by the digest of their bytes, so that a reader can't mix the parts of two revisions.
 * A daemon at the revision before needs the head only.
 */
package lagoonrudder.wire.documents

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import lagoonrudder.model.Digest
import lagoonrudder.model.Failure
import lagoonrudder.model.MAXIMUM_PART_BYTES
import lagoonrudder.model.ObjectChanges
import lagoonrudder.model.ObjectKey
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.Peer
import lagoonrudder.model.Revision
import lagoonrudder.model.SnapshotDelta
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.model.Step
import lagoonrudder.model.canonicalText
import lagoonrudder.model.changesBetween
import lagoonrudder.model.digestOf

/** The key of the head at the configuration service. */
const val HEAD_KEY = "head"

/** The key of a part at the configuration service. */
fun partKey(digest: Digest): String = "part-${digest.hexadecimal}"

/** A part of a sealed set: canonical text under a megabyte. */
data class SealedPart(
    val digest: Digest,
    val text: String,
)

/** What a head says. [changes] is null when the revision before is unknown or the changes are too many. */
data class SealedHead(
    val revision: Revision,
    val digest: Digest,
    val parts: List<Digest>,
    val changes: SnapshotDelta?,
)

/** What the tool publishes: write the parts first, the head last. */
data class SealedDocument(
    val head: String,
    val parts: List<SealedPart>,
)

/** Seals [set] as the successor of [before]. Fails when the revision doesn't rise or an object exceeds a part. */
fun seal(
    set: ObjectSnapshot,
    before: ObjectSnapshot,
    file: String,
): Either<Failure.Malformed, SealedDocument> =
    either {
        val section = IniSection(file, SEALED, emptyMap(), Step.VERIFY_SEAL)
        ensure(set.revision > before.revision) {
            section.malformed("revision", "expected a number above ${before.revision.number}, found ${set.revision.number}")
        }
        val parts = partsOf(set.objects, section)
        SealedDocument(writeHead(set, parts.map { it.digest }, before), parts)
    }

/** The text that carries [changes] alone, for peers. */
fun writeChanges(changes: SnapshotDelta): String =
    headText(changes.revision, changes.digest, emptyList(), changes) + writeObjects(changes.changes.changed)

/** The text that carries the whole of [set], for peers. */
fun writeSet(set: ObjectSnapshot): String =
    headText(set.revision, set.digest, listOf(set.digest), null) + writeObjects(set.objects.byKey.values)

/** Reads a head from the platform or changes from a peer; objects in it belong to its changes. */
fun readHead(
    text: String,
    peer: Peer,
): Either<Failure, SealedHead> =
    either {
        val sections = readIni(text, peer.toString(), Step.VERIFY_SEAL).bind()
        val sealed = sections.firstOrNull { it.name == SEALED } ?: raise(damaged(peer, "no section [$SEALED]"))
        val objects = readSections(sections - sealed).mapLeft { it.first() }.bind()
        readSealed(sealed, objects)
    }

/** Puts a whole set together from its parts and verifies each part and the whole. */
fun readParts(
    head: SealedHead,
    parts: Map<Digest, String>,
    peer: Peer,
): Either<Failure, ObjectSnapshot> =
    either {
        val texts = head.parts.map { parts[it] ?: raise(damaged(peer, "part ${it.hexadecimal} is missing")) }
        for ((digest, text) in head.parts.zip(texts)) {
            ensure(digestOf(text.encodeToByteArray()) == digest) { damaged(peer, "part ${digest.hexadecimal} doesn't match its digest") }
        }
        val objects = readObjects(texts.joinToString("\n"), peer.toString()).mapLeft { it.first() }.bind()
        verifyDigest(ObjectSnapshot(head.revision, objects), head.digest, peer).bind()
    }

/** Reads a whole set that a peer sent as one text. */
fun readSet(
    text: String,
    peer: Peer,
): Either<Failure, ObjectSnapshot> =
    either {
        val sections = readIni(text, peer.toString(), Step.VERIFY_SEAL).bind()
        val sealed = sections.firstOrNull { it.name == SEALED } ?: raise(damaged(peer, "no section [$SEALED]"))
        val objects = readSections(sections - sealed).mapLeft { it.first() }.bind()
        val head = readSealed(sealed, emptyList())
        verifyDigest(ObjectSnapshot(head.revision, ObjectSet(objects)), head.digest, peer).bind()
    }

private const val SEALED = "sealed"

/** Room that a part leaves for the keys of the configuration service. */
private const val MAX_PART_TEXT_BYTES = MAXIMUM_PART_BYTES - 10_000
private const val MAX_CHANGES_BYTES = 400_000

private fun verifyDigest(
    set: ObjectSnapshot,
    digest: Digest,
    peer: Peer,
): Either<Failure, ObjectSnapshot> = if (set.digest == digest) set.right() else damaged(peer, "the set doesn't match its digest").left()

private fun damaged(
    peer: Peer,
    detail: String,
): Failure = Failure.Damaged(Step.VERIFY_SEAL, peer, detail)

private fun Raise<Failure.Malformed>.partsOf(
    objects: ObjectSet,
    section: IniSection,
): List<SealedPart> {
    val parts = mutableListOf<SealedPart>()
    val text = StringBuilder()

    fun close() {
        if (text.isEmpty()) return
        parts += SealedPart(digestOf(text.toString().encodeToByteArray()), text.toString())
        text.clear()
    }
    for (value in objects.byKey.values) {
        val canonical = canonicalText(value) + "\n"
        ensure(
            canonical.length <= MAX_PART_TEXT_BYTES,
        ) { section.malformed(value.key.toString(), "expected an object of at most $MAX_PART_TEXT_BYTES bytes") }
        if (text.length + canonical.length > MAX_PART_TEXT_BYTES) close()
        text.append(canonical)
    }
    close()
    return parts
}

private fun writeHead(
    set: ObjectSnapshot,
    parts: List<Digest>,
    before: ObjectSnapshot,
): String {
    val changes = SnapshotDelta(before.revision, before.digest, set.revision, set.digest, changesBetween(before.objects, set.objects))
    val objects = writeObjects(changes.changes.changed)
    val small = before.revision > Revision.NONE && objects.length <= MAX_CHANGES_BYTES
    val head = headText(set.revision, set.digest, parts, changes.takeIf { small })
    return if (small) head + objects else head
}

private fun headText(
    revision: Revision,
    digest: Digest,
    parts: List<Digest>,
    changes: SnapshotDelta?,
): String =
    buildString {
        append("[$SEALED]\n")
        append("revision = ${revision.number}\n")
        append("digest = ${digest.hexadecimal}\n")
        append("parts = ${parts.joinToString(" ") { it.hexadecimal }}\n")
        if (changes != null) {
            append("base = ${changes.base.number}\n")
            append("base-digest = ${changes.baseDigest.hexadecimal}\n")
            append("removed = ${changes.changes.removed.joinToString(", ")}\n")
        }
        append("\n")
    }

private fun Raise<Failure.Malformed>.readSealed(
    section: IniSection,
    objects: List<OperatorObject>,
): SealedHead =
    with(section) {
        val revision = Revision(long("revision"))
        val digest = Digest(text("digest"))
        val parts =
            optionalText("parts")
                .orEmpty()
                .split(' ')
                .filter { it.isNotBlank() }
                .map(::Digest)
        val base = optionalText("base")?.let { Revision(long("base")) }
        val baseDigest = optionalText("base-digest")?.let(::Digest)
        val removed = readRemoved(section)
        rejectUnknownKeys()
        val changes =
            if (base != null && baseDigest != null) {
                SnapshotDelta(base, baseDigest, revision, digest, ObjectChanges(objects, removed))
            } else {
                null
            }
        SealedHead(revision, digest, parts, changes)
    }

private fun Raise<Failure.Malformed>.readRemoved(section: IniSection): List<ObjectKey> =
    section
        .optionalText("removed")
        .orEmpty()
        .split(',')
        .filter { it.isNotBlank() }
        .map { objectKeyOrNull(it) ?: raise(section.malformed("removed", "expected object keys, found \"$it\"")) }
