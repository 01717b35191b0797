/**
 * Failures of an operation, with the step at which they occurred and the peer involved.
 */
package lagoonrudder.model

import kotlin.time.Duration

/** The processing step at which a failure occurred. */
enum class Step {
    READ_SETTINGS,
    READ_OBJECTS,
    CHECK_OBJECTS,
    VERIFY_SEAL,
    ACCEPT_CONFIGURATION,
    READ_PLATFORM,
    EXCHANGE_CONFIGURATION,
    IDENTIFY,
    GUARD_REPEATS,
    ADMIT,
    CHOOSE_TARGET,
    CONNECT,
    SEND,
    VERIFY_VERSION,
    RUN,
    RELAY,
    DRAW_CHUNK,
    VERIFY_CHUNK,
    ORDER_ENGINE,
    DUMP,
}

/** The kind of process at the other end of a connection. */
enum class PeerRole { SELF, CALLER, OPERATOR, ENTRY, TARGET, ENGINE, PLATFORM, ORIGIN }

/** The remote party of a step. [address] is a network address, an object name or a file name. */
data class Peer(
    val role: PeerRole,
    val address: String,
) {
    override fun toString(): String = "${role.name.lowercase()}:$address"

    companion object {
        val SELF = Peer(PeerRole.SELF, "local")
    }
}

/** A location in a file of an operator. [key] is empty when the whole section is meant. */
data class Location(
    val file: String,
    val section: String,
    val key: String,
)

sealed class Failure {
    abstract val step: Step
    abstract val peer: Peer
    abstract val detail: String

    /** Invalid operator input: a file or an object. [expected] states the rule that it violates. */
    data class Malformed(
        override val step: Step,
        override val peer: Peer,
        val location: Location,
        val expected: String,
    ) : Failure() {
        override val detail: String
            get() {
                val key = if (location.key.isEmpty()) "" else " key ${location.key}"
                return "file ${location.file} section [${location.section}]$key: $expected"
            }
    }

    /** No bytes of the request were sent. */
    data class Unreachable(
        override val step: Step,
        override val peer: Peer,
        override val detail: String,
    ) : Failure()

    /** The exchange failed after part of the request may have been sent. */
    data class Interrupted(
        override val step: Step,
        override val peer: Peer,
        override val detail: String,
    ) : Failure()

    /** The operation did not complete within [limit]. */
    data class TimedOut(
        override val step: Step,
        override val peer: Peer,
        val limit: Duration,
    ) : Failure() {
        override val detail: String get() = "no progress within $limit"
    }

    /** Corrupt data: bytes that don't match their digest, an unreadable message, or one that contradicts an earlier message. */
    data class Damaged(
        override val step: Step,
        override val peer: Peer,
        override val detail: String,
    ) : Failure()

    /** The peer refused the operation; [detail] gives its reason. */
    data class Declined(
        override val step: Step,
        override val peer: Peer,
        override val detail: String,
    ) : Failure()

    /** The peer does not have what was asked for, and does not fetch it either. */
    data class NotHeld(
        override val step: Step,
        override val peer: Peer,
        override val detail: String,
    ) : Failure()

    /** Formats the failure as one line for logs and error responses. */
    fun describe(): String = "step=${step.name.lowercase()} peer=$peer detail=\"$detail\""
}
