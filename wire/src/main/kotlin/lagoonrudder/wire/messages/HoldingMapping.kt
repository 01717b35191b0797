/**
 * Converts what daemons hold of weights to and from its message.
 */
package lagoonrudder.wire.messages

import lagoonrudder.control.direct.weights.ChunkHolding
import lagoonrudder.model.DaemonId
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import lagoonrudder.model.addressOrNull
import java.util.BitSet
import kotlin.time.Duration.Companion.milliseconds

fun ChunkHolding.toMessage() =
    HoldingMessage(model.text, number.number, chunks.toByteArray(), daemon.text, address.toString(), age.inWholeMilliseconds)

/** Returns null if the address is invalid. */
fun HoldingMessage.toHolding(): ChunkHolding? =
    addressOrNull(address)?.let {
        ChunkHolding(ModelId(model), WeightNumber(number), DaemonId(daemon), it, BitSet.valueOf(chunks), ageMilliseconds.milliseconds)
    }
