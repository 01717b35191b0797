/**
 * Instances listed by the platform, and the network addresses of their daemons.
 */
package lagoonrudder.model

/** An IP address and a port. */
data class Address(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"
}

/** Parses "host:port", or returns null unless host is an IPv4 or a bracketed IPv6 address and port is from 1 to 65535. */
fun addressOrNull(text: String): Address? {
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':').toIntOrNull() ?: return null
    val octets = host.split('.').map { it.toIntOrNull() }
    val isIpv4 = octets.size == 4 && octets.all { it != null && it in 0..255 }
    val isIpv6 = host.startsWith("[") && host.endsWith("]") && host.drop(1).dropLast(1).matches(Regex("[0-9a-fA-F:.]+"))
    return if ((isIpv4 || isIpv6) && port in 1..65_535) Address(host, port) else null
}

enum class DaemonRole { ENTRY, TARGET }

/** An entry of the platform's instance list, which lags behind the actual state. [target] is set for target daemons only. */
data class Instance(
    val daemon: DaemonId,
    val role: DaemonRole,
    val domain: DomainId,
    val target: TargetId?,
    val address: Address,
    val leaving: Boolean,
)
