/**
 * Which chunks of one version a daemon holds, as it tells its peers.
 */
package lagoonrudder.control.direct.weights

import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import java.util.BitSet
import kotlin.time.Duration

/** [daemon] serves the [chunks] of a version at [address]; it was known to do so [age] ago. */
data class ChunkHolding(
    val model: ModelId,
    val number: WeightNumber,
    val daemon: DaemonId,
    val address: Address,
    val chunks: BitSet,
    val age: Duration,
)
