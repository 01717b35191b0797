/**
 * Instances as the platform lists them, and the addresses of their daemons.
 */
package lagoonrudder.model

/** An IP number and a port. */
data class Address(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"
}

/** Reads "host:port"; null when it is neither an IPv4 number nor a bracketed IPv6 number with a port from 1 to 65535. */
fun addressOrNull(text: String): Address? {
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':').toIntOrNull() ?: return null
    val octets = host.split('.').map { it.toIntOrNull() }
    val isVersion4 = octets.size == 4 && octets.all { it != null && it in 0..255 }
    val isVersion6 = host.startsWith("[") && host.endsWith("]") && host.drop(1).dropLast(1).matches(Regex("[0-9a-fA-F:.]+"))
    return if ((isVersion4 || isVersion6) && port in 1..65_535) Address(host, port) else null
}

enum class DaemonRole { ENTRY, TARGET }

/** One line of the platform's lagging list. [target] is set for target daemons only. */
data class Instance(
    val daemon: DaemonId,
    val role: DaemonRole,
    val domain: DomainId,
    val target: TargetId?,
    val address: Address,
    val leaving: Boolean,
)
