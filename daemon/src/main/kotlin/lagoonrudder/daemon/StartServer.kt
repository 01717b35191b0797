/**
 * Starts an HTTP server on an address whose port may be 0, which selects any free port.
 */
package lagoonrudder.daemon

import io.ktor.server.engine.EmbeddedServer
import lagoonrudder.model.Address

/** Starts the server and returns the address to which it is bound. */
internal suspend fun EmbeddedServer<*, *>.startOn(address: Address): Address {
    startSuspend(wait = false)
    val connector = engine.resolvedConnectors().first()
    return Address(address.host, connector.port)
}
