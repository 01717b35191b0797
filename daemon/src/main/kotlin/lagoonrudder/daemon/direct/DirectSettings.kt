/**
 * The settings of a daemon in direct mode, which sends requests straight to back ends and reads routes, customers and
 * back ends from the platform's store.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import lagoonrudder.control.direct.PlacementBounds
import lagoonrudder.control.direct.RetryBudgetBounds
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.Failure
import lagoonrudder.model.Location
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.RegionId
import lagoonrudder.model.ServiceId
import lagoonrudder.model.Step
import lagoonrudder.model.addressOrNull
import lagoonrudder.wire.documents.IniSection
import lagoonrudder.wire.documents.readIni
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Addresses on which an entry daemon listens for callers, for readiness checks of the load balancer, and for its peers. */
data class DirectListenSettings(
    val callers: Address,
    val ready: Address,
    val peers: Address,
)

/** The back end on the same instance as a target daemon. */
data class DirectSlotSettings(
    val service: ServiceId,
    val backEnd: Address,
)

/**
 * Limits from the section `bounds`; [versionLimit] is how long requests may begin on an older version after a newer one was declared, which
 * binds a daemon once it has run for [contact], and [stopGrace] is the time from the stop signal to the exit of the process.
 */
data class DirectBounds(
    val versionLimit: Duration,
    val placement: PlacementBounds,
    val retryBudget: RetryBudgetBounds,
    val stopGrace: Duration,
    val contact: Duration = DEFAULT_CONTACT,
)

private val DEFAULT_CONTACT = 3.seconds

/** [chunks] is where a target daemon serves chunks of weights to its peers; null if it serves none. */
data class DirectSettings(
    val name: DaemonId,
    val role: DaemonRole,
    val domain: DomainId,
    val region: RegionId,
    val regions: Map<DomainId, RegionId>,
    val listen: DirectListenSettings?,
    val operators: Address,
    val seeds: List<Address>,
    val store: Address,
    val slot: DirectSlotSettings?,
    val bounds: DirectBounds,
    val chunks: Address? = null,
)

/** Parses settings from [text]; [file] is the name for error messages. */
fun readDirectSettings(
    text: String,
    file: String,
): Either<Failure.Malformed, DirectSettings> =
    either {
        val sections = readIni(text, file, Step.READ_SETTINGS).bind().associateBy { it.name }
        val daemon = section(sections, file, "daemon")
        val role = with(daemon) { enumValue("role", DaemonRole.entries) }
        DirectSettings(
            name = with(daemon) { DaemonId(text("name")) },
            role = role,
            domain = with(daemon) { DomainId(text("domain")) },
            region = with(daemon) { RegionId(text("region")) },
            regions =
                with(section(sections, file, "domains")) {
                    pairs()
                        .map { (domain, region) ->
                            DomainId(domain) to RegionId(region)
                        }.toMap()
                },
            listen = if (role == DaemonRole.ENTRY) listen(section(sections, file, "listen")) else null,
            operators = with(section(sections, file, "operators")) { address("address") },
            seeds = with(section(sections, file, "peers")) { addresses("seeds") },
            store = with(section(sections, file, "store")) { address("address") },
            slot = sections["slot"]?.let { slot(it) },
            bounds = bounds(section(sections, file, "bounds")),
            chunks = if (role == DaemonRole.TARGET) sections["listen"]?.let { chunks(it) } else null,
        )
    }

private fun Raise<Failure.Malformed>.listen(section: IniSection): DirectListenSettings =
    with(section) { DirectListenSettings(callers = address("callers"), ready = address("ready"), peers = address("peers")) }

private fun Raise<Failure.Malformed>.chunks(section: IniSection): Address? =
    with(section) { optionalText("chunks")?.let { address("chunks") } }

private fun Raise<Failure.Malformed>.slot(section: IniSection): DirectSlotSettings? =
    with(section) {
        val backEnd = optionalText("back-end") ?: return null
        val address = addressOrNull(backEnd) ?: raise(malformed("back-end", "expected an IP address and a port, found \"$backEnd\""))
        DirectSlotSettings(ServiceId(text("service")), address)
    }

private fun Raise<Failure.Malformed>.bounds(section: IniSection): DirectBounds =
    with(section) {
        DirectBounds(
            versionLimit = duration("version"),
            placement = PlacementBounds(double("cold-ratio"), double("cold-allowance")),
            retryBudget = RetryBudgetBounds(double("repeat-ratio"), duration("repeat-window"), double("repeat-allowance")),
            stopGrace = duration("stop-grace"),
            contact = if (optionalText("contact") == null) DEFAULT_CONTACT else duration("contact"),
        )
    }

private fun Raise<Failure.Malformed>.section(
    sections: Map<String, IniSection>,
    file: String,
    name: String,
): IniSection =
    sections[name] ?: raise(
        Failure.Malformed(Step.READ_SETTINGS, Peer(PeerRole.OPERATOR, file), Location(file, name, ""), "expected this section, found none"),
    )
