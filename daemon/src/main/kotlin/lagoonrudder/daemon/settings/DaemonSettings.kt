/**
 * The settings of a daemon, read from an INI file.
 *
 * The operators' page describes each section and key. A key that is missing, unknown or wrong is an error that names the
 * file, the section and the key.
 */
package lagoonrudder.daemon.settings

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import lagoonrudder.control.QueueBounds
import lagoonrudder.control.ResponseBufferPolicy
import lagoonrudder.control.WeightFetchLimits
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.Failure
import lagoonrudder.model.Location
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Step
import lagoonrudder.model.TargetId
import lagoonrudder.wire.documents.IniSection
import lagoonrudder.wire.documents.readIni

/** Where the daemon listens. A port of 0 means any free one, which the log names. */
data class ListenSettings(
    val rpc: Address,
    val callers: Address?,
    val operators: Address,
)

/** Where the platform is. */
data class PlatformSettings(
    val configuration: Address,
    val origin: Address,
)

/** The slot of a target daemon and the back end in it. */
data class SlotSettings(
    val target: TargetId,
    val backEnd: Address,
)

/** What the daemon may hold, in bytes and requests. */
data class LimitSettings(
    val queue: QueueBounds,
    val readers: ResponseBufferPolicy,
    val weights: WeightFetchLimits,
    val uploadBytes: Long,
)

data class DaemonSettings(
    val name: DaemonId,
    val role: DaemonRole,
    val domain: DomainId,
    val listen: ListenSettings,
    val platform: PlatformSettings,
    val seeds: List<Address>,
    val slot: SlotSettings?,
    val limits: LimitSettings,
)

val DEFAULT_LIMIT_SETTINGS =
    LimitSettings(
        queue = QueueBounds(),
        readers = ResponseBufferPolicy.Windowed(),
        weights = WeightFetchLimits(),
        uploadBytes = 16_000_000,
    )

/** Reads settings from [text]; [file] is named in errors. */
fun readSettings(
    text: String,
    file: String,
): Either<Failure.Malformed, DaemonSettings> =
    either {
        val sections = readIni(text, file, Step.READ_SETTINGS).bind().associateBy { it.name }
        val unknown = sections.keys.firstOrNull { it !in SECTIONS }
        if (unknown != null) raise(missing(file, unknown, "expected one of the sections ${SECTIONS.joinToString(", ")}"))
        val daemon = sections["daemon"] ?: raise(missing(file, "daemon", "expected this section, found none"))
        val role = with(daemon) { enumValue("role", DaemonRole.entries) }
        val settings =
            DaemonSettings(
                name = with(daemon) { DaemonId(text("name")) },
                role = role,
                domain = with(daemon) { DomainId(text("domain")) },
                listen = readListen(require(sections, file, "listen"), role),
                platform = readPlatform(require(sections, file, "platform")),
                seeds = sections["peers"]?.let { with(it) { addresses("seeds") } }.orEmpty(),
                slot = if (role == DaemonRole.TARGET) readSlot(require(sections, file, "slot")) else null,
                limits = sections["limits"]?.let { readLimits(it) } ?: DEFAULT_LIMIT_SETTINGS,
            )
        sections.values.forEach { with(it) { rejectUnknownKeys() } }
        settings
    }

private val SECTIONS = listOf("daemon", "listen", "platform", "peers", "slot", "limits")
private const val ANY_PORT = ":0"

private fun missing(
    file: String,
    section: String,
    expected: String,
) = Failure.Malformed(Step.READ_SETTINGS, Peer(PeerRole.OPERATOR, file), Location(file, section, ""), expected)

private fun Raise<Failure.Malformed>.require(
    sections: Map<String, IniSection>,
    file: String,
    name: String,
): IniSection = sections[name] ?: raise(missing(file, name, "expected this section, found none"))

private fun Raise<Failure.Malformed>.readListen(
    section: IniSection,
    role: DaemonRole,
): ListenSettings =
    ListenSettings(
        rpc = listenAddress(section, "rpc"),
        callers = if (role == DaemonRole.ENTRY) listenAddress(section, "callers") else null,
        operators = listenAddress(section, "operators"),
    )

private fun Raise<Failure.Malformed>.listenAddress(
    section: IniSection,
    key: String,
): Address {
    val text = section.optionalText(key).orEmpty()
    if (!text.endsWith(ANY_PORT)) return with(section) { address(key) }
    return Address(text.removeSuffix(ANY_PORT), 0)
}

private fun Raise<Failure.Malformed>.readPlatform(section: IniSection): PlatformSettings =
    with(section) { PlatformSettings(address("configuration"), address("origin")) }

private fun Raise<Failure.Malformed>.readSlot(section: IniSection): SlotSettings =
    with(section) { SlotSettings(TargetId(text("target")), address("back-end")) }

private fun Raise<Failure.Malformed>.readLimits(section: IniSection): LimitSettings =
    LimitSettings(
        queue = readQueue(section),
        readers = readReaders(section),
        weights = WeightFetchLimits(memoryBytes = positive(section, "weight-memory-bytes", DEFAULT_LIMIT_SETTINGS.weights.memoryBytes)),
        uploadBytes = positive(section, "upload-bytes", DEFAULT_LIMIT_SETTINGS.uploadBytes),
    )

private fun Raise<Failure.Malformed>.readQueue(section: IniSection): QueueBounds {
    val default = DEFAULT_LIMIT_SETTINGS.queue
    val requests = positive(section, "queue-requests", default.requests.toLong())
    return QueueBounds(requests.coerceAtMost(Int.MAX_VALUE.toLong()).toInt(), positive(section, "queue-bytes", default.bytes))
}

private fun Raise<Failure.Malformed>.readReaders(section: IniSection): ResponseBufferPolicy {
    val default = ResponseBufferPolicy.Windowed()
    val window = positive(section, "reader-window-bytes", default.window)
    return default.copy(window = window, budget = positive(section, "reader-budget-bytes", default.budget))
}

private fun Raise<Failure.Malformed>.positive(
    section: IniSection,
    key: String,
    default: Long,
): Long {
    val number = with(section) { longOr(key, default) }
    if (number !in 1..LARGEST_LIMIT) raise(section.malformed(key, "expected a number from 1 to $LARGEST_LIMIT, found $number"))
    return number
}

private const val LARGEST_LIMIT = 1_000_000_000_000L
