/**
 * Keeps to what back ends say of themselves in their answers, before anyone else knows it.
 *
 * A back end that is leaving gets no further request from this daemon. One that wants nothing for some time gets nothing until then,
 * even if no other back end is left. A notice holds for the run of the back end that gave it.
 */
package lagoonrudder.control.direct

import lagoonrudder.control.DumpSection
import lagoonrudder.control.dumpSection
import lagoonrudder.control.entry
import lagoonrudder.model.BackEnd
import lagoonrudder.model.BackEndNotice
import lagoonrudder.model.BackEndRun
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** [onNotice] runs when a notice changes what this daemon does, on the thread of the caller. */
class BackEndNoticeController(
    private val onNotice: (BackEndRun, BackEndNotice) -> Unit = { _, _ -> },
) {
    private class State(
        var heardAt: Duration,
        var leaving: Boolean = false,
        var closedUntil: Duration = Duration.ZERO,
    )

    private val states = mutableMapOf<BackEndRun, State>()

    /** Records a notice that arrived with an answer of [run]. */
    fun onNoticeReceived(
        run: BackEndRun,
        notice: BackEndNotice,
        now: Duration,
    ) {
        removeOld(now)
        val state = states.getOrPut(run) { State(now) }
        state.heardAt = now
        when (notice) {
            BackEndNotice.Leaving -> {
                if (!state.leaving) onNotice(run, notice)
                state.leaving = true
            }
            is BackEndNotice.ClosedFor -> {
                val until = now + notice.duration.coerceAtMost(MAX_CLOSED_TIME)
                if (until > state.closedUntil) {
                    state.closedUntil = until
                    onNotice(run, notice)
                }
            }
        }
    }

    fun isLeaving(backEnd: BackEnd): Boolean = states[backEnd.run]?.leaving ?: false

    /** Returns how long [backEnd] wants no request; zero if it takes some now. */
    fun closedFor(
        backEnd: BackEnd,
        now: Duration,
    ): Duration = states[backEnd.run]?.let { it.closedUntil - now }?.coerceAtLeast(Duration.ZERO) ?: Duration.ZERO

    private fun removeOld(now: Duration) = states.values.removeIf { now - it.heardAt > LIFETIME && it.closedUntil <= now }

    fun dump(now: Duration): DumpSection =
        dumpSection("notices") {
            for ((run, state) in states) {
                entry(run.target.text, "born=${run.born} leaving=${state.leaving} closed=${state.closedUntil - now}")
            }
        }

    private companion object {
        /** Far above the time that a back end needs to recover from overload. */
        val MAX_CLOSED_TIME = 10.minutes

        /** A back end that leaves is gone long before. Its entry may come and go with the store, so that is no sign of the end. */
        val LIFETIME = 10.minutes
    }
}
