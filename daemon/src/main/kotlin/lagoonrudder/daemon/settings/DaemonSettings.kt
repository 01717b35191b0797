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

/** Addresses on which the daemon listens. Port 0 selects any free port, which is logged at start-up. */
data class ListenSettings(
    val rpc: Address,
    val callers: Address?,
    val operators: Address,
)

/** Addresses of the platform's configuration service and of the origin of weights. */
data class PlatformSettings(
    val configuration: Address,
    val origin: Address,
)

/** The slot of a target daemon and the back end in it. */
data class SlotSettings(
    val target: TargetId,
    val backEnd: Address,
)

/** Limits on the requests and bytes that the daemon may hold. */
data class LimitSettings(
    val queue: QueueBounds,
    val responseBuffers: ResponseBufferPolicy,
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
        responseBuffers = ResponseBufferPolicy.Windowed(),
        weights = WeightFetchLimits(),
        uploadBytes = 16_000_000,
    )

/** Parses settings from [text]; [file] is the name for error messages. */
fun readSettings(
    text: String,
    file: String,
): Either<Failure.Malformed, DaemonSettings> =
    either {
        val sections = readIni(text, file, Step.READ_SETTINGS).bind().associateBy { it.name }
        val unknown = sections.keys.firstOrNull { it !in SECTIONS }
        if (unknown != null) raise(malformedSection(file, unknown, "expected one of the sections ${SECTIONS.joinToString(", ")}"))
        val daemon = sections["daemon"] ?: raise(malformedSection(file, "daemon", "expected this section, found none"))
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

private fun malformedSection(
    file: String,
    section: String,
    expected: String,
) = Failure.Malformed(Step.READ_SETTINGS, Peer(PeerRole.OPERATOR, file), Location(file, section, ""), expected)

private fun Raise<Failure.Malformed>.require(
    sections: Map<String, IniSection>,
    file: String,
    name: String,
): IniSection = sections[name] ?: raise(malformedSection(file, name, "expected this section, found none"))

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
        responseBuffers = readResponseBuffers(section),
        weights = WeightFetchLimits(memoryBytes = positive(section, "weight-memory-bytes", DEFAULT_LIMIT_SETTINGS.weights.memoryBytes)),
        uploadBytes = positive(section, "upload-bytes", DEFAULT_LIMIT_SETTINGS.uploadBytes),
    )

private fun Raise<Failure.Malformed>.readQueue(section: IniSection): QueueBounds {
    val default = DEFAULT_LIMIT_SETTINGS.queue
    val requests = positive(section, "queue-requests", default.requests.toLong())
    return QueueBounds(requests.coerceAtMost(Int.MAX_VALUE.toLong()).toInt(), positive(section, "queue-bytes", default.bytes))
}

private fun Raise<Failure.Malformed>.readResponseBuffers(section: IniSection): ResponseBufferPolicy {
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
    if (number !in 1..MAX_LIMIT) raise(section.malformed(key, "expected a number from 1 to $MAX_LIMIT, found $number"))
    return number
}

private const val MAX_LIMIT = 1_000_000_000_000L
