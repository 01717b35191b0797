/**
 * Errors of the system: what went wrong, at which step, and with which peer.
 */
package lagoonrudder.model

import kotlin.time.Duration

/** The step of the work at which an error arose. */
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

/** What kind of process stands at the other end. */
enum class PeerRole { SELF, CALLER, OPERATOR, ENTRY, TARGET, ENGINE, PLATFORM, ORIGIN }

/** The other end of a step: its role and, where it has one, its address or file name. */
data class Peer(
    val role: PeerRole,
    val address: String,
) {
    override fun toString(): String = "${role.name.lowercase()}:$address"

    companion object {
        val SELF = Peer(PeerRole.SELF, "local")
    }
}

/** A place in an operator's input; [key] is empty where the whole section is meant. */
data class Location(
    val file: String,
    val section: String,
    val key: String,
)

sealed class Failure {
    abstract val step: Step
    abstract val peer: Peer
    abstract val detail: String

    /** Input that can't be used: a file, an object, a message. */
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

    /** Nothing of the request left this process. */
    data class Unreachable(
        override val step: Step,
        override val peer: Peer,
        override val detail: String,
    ) : Failure()

    /** The exchange broke after something had left this process. */
    data class Interrupted(
        override val step: Step,
        override val peer: Peer,
        override val detail: String,
    ) : Failure()

    /** No progress within [limit]. */
    data class TimedOut(
        override val step: Step,
        override val peer: Peer,
        val limit: Duration,
    ) : Failure() {
        override val detail: String get() = "no progress within $limit"
    }

    /** Bytes or a document that don't match their digest, or a message that contradicts an earlier one. */
    data class Damaged(
        override val step: Step,
        override val peer: Peer,
        override val detail: String,
    ) : Failure()

    /** The peer declined, and its answer says why. */
    data class Declined(
        override val step: Step,
        override val peer: Peer,
        override val detail: String,
    ) : Failure()

    /** One line for logs and answers. */
    fun describe(): String = "step=${step.name.lowercase()} peer=$peer detail=\"$detail\""
}
