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

/**
 * Parses "host:port", or returns null unless host is an IPv4 or a bracketed IPv6 address and port is from 1 to 65535. Numbers are
 * written in plain decimal digits; opening a connection to anything else would look up a name.
 */
fun addressOrNull(text: String): Address? {
    val host = text.substringBeforeLast(':', "")
    val port = decimalOrNull(text.substringAfterLast(':'), 1..65_535) ?: return null
    val octets = host.split('.')
    val isIpv4 = octets.size == 4 && octets.all { decimalOrNull(it, 0..255) != null }
    val isIpv6 = host.startsWith("[") && host.endsWith("]") && host.drop(1).dropLast(1).matches(Regex("[0-9a-fA-F:.]+"))
    return if (isIpv4 || isIpv6) Address(host, port) else null
}

private fun decimalOrNull(
    text: String,
    range: IntRange,
): Int? = text.toIntOrNull()?.takeIf { it in range && it.toString() == text }

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
