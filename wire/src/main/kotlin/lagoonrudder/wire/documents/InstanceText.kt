/**
 * The platform's list of instances as INI text: one section for each instance.
 */
package lagoonrudder.wire.documents

import arrow.core.Either
import arrow.core.raise.either
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.Failure
import lagoonrudder.model.Instance
import lagoonrudder.model.Peer
import lagoonrudder.model.Step
import lagoonrudder.model.TargetId

private enum class InstanceState { LIVE, LEAVING }

private const val PREFIX = "instance "

/** Reads a whole list. */
fun readInstances(
    text: String,
    peer: Peer,
): Either<Failure, List<Instance>> =
    either {
        readIni(text, peer.toString(), Step.READ_PLATFORM).bind().map { section ->
            if (!section.name.startsWith(PREFIX)) raise(section.malformed("", "expected a header [instance NAME]"))
            with(section) {
                Instance(
                    daemon = DaemonId(section.name.removePrefix(PREFIX)),
                    role = enumValue("role", DaemonRole.entries),
                    domain = DomainId(text("domain")),
                    target = optionalText("target")?.let(::TargetId),
                    address = address("address"),
                    leaving = enumValue("state", InstanceState.entries) == InstanceState.LEAVING,
                )
            }
        }
    }

/** The text that [readInstances] reads back. */
fun writeInstances(instances: Collection<Instance>): String =
    instances.joinToString("\n") { instance ->
        val state = if (instance.leaving) InstanceState.LEAVING else InstanceState.LIVE
        buildString {
            append("[$PREFIX${instance.daemon.text}]\n")
            append("role = ${instance.role.name.lowercase()}\n")
            append("domain = ${instance.domain.text}\n")
            instance.target?.let { append("target = ${it.text}\n") }
            append("address = ${instance.address}\n")
            append("state = ${state.name.lowercase()}\n")
        }
    }
