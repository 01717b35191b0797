package lagoonrudder.control

import lagoonrudder.model.Invariants
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole

/** Invariants that fail the test at once. */
fun strictInvariants() = Invariants { error("violated: $it") }

val somePeer = Peer(PeerRole.PLATFORM, "127.0.0.1:1")
