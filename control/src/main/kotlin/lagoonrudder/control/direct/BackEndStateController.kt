/**
 * Decides what a back end holds and whether it takes work, from the word of the target daemon beside it.
 *
 * A registration in the store lags by a beat or more; the target daemon's word comes when something changes. It counts for
 * the incarnation of the back end that it names, and for a limited time.
 */
package lagoonrudder.control.direct

import lagoonrudder.control.DumpSection
import lagoonrudder.control.dumpSection
import lagoonrudder.control.entry
import lagoonrudder.model.Address
import lagoonrudder.model.BackEnd
import lagoonrudder.model.HeldWeights
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What a target daemon says of the back end at [backEnd]. [closed] while it loads and takes nothing new. */
data class SlotWord(
    val backEnd: Address,
    val born: Long,
    val held: HeldWeights?,
    val closed: Boolean,
)

class BackEndStateController {
    private class Heard(
        val word: SlotWord,
        val at: Duration,
    )

    private val onGossipReceived = mutableMapOf<Address, Heard>()

    /** Takes a word; returns whether it says something new. */
    fun onGossipReceived(
        word: SlotWord,
        now: Duration,
    ): Boolean {
        val before = onGossipReceived.put(word.backEnd, Heard(word, now))
        return before?.word != word
    }

    /** What [backEnd] holds, by the later of its daemon's word and its registration. */
    fun held(
        backEnd: BackEnd,
        now: Duration,
    ): HeldWeights? {
        val word = wordOf(backEnd, now) ?: return backEnd.weights
        return word.held
    }

    /** Whether [backEnd] takes nothing new: it loads, or a later incarnation has taken its place and it is not delisted yet. */
    fun closed(
        backEnd: BackEnd,
        now: Duration,
    ): Boolean {
        val word = freshWord(backEnd, now) ?: return false
        return word.born > backEnd.born || (word.born == backEnd.born && word.closed)
    }

    fun dump(now: Duration): DumpSection =
        dumpSection("slots") { for (each in onGossipReceived.values) entry(each.word.backEnd.toString(), "${each.word} age=${now - each.at}") }

    private fun wordOf(
        backEnd: BackEnd,
        now: Duration,
    ): SlotWord? = freshWord(backEnd, now)?.takeIf { it.born == backEnd.born }

    private fun freshWord(
        backEnd: BackEnd,
        now: Duration,
    ): SlotWord? = onGossipReceived[backEnd.address]?.takeIf { now - it.at < WORD_LIFE }?.word

    private companion object {
        /** By then the registration has caught up: two beats and the store's lag. */
        val WORD_LIFE = 5.seconds
    }
}
