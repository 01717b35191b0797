package lagoonrudder.control

import lagoonrudder.model.Invariants
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole

/** Invariants whose violation fails the test immediately. */
fun strictInvariants() = Invariants { error("violated: $it") }

val somePeer = Peer(PeerRole.PLATFORM, "127.0.0.1:1")
