/**
 * The one thread that runs every controller of a process.
 *
 * Traffic threads call [decide] and suspend until the decision is there. A block given to [decide] must not block: it
 * reads and changes control state and returns. How long blocks wait for the thread is measured by [lag].
 */
package lagoonrudder.control

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.withContext
import lagoonrudder.model.Clock
import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import lagoonrudder.model.Step
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

class ControlThread private constructor(
    private val dispatcher: CoroutineDispatcher,
    private val owner: ThreadOwner,
    private val clock: Clock,
    private val invariants: Invariants,
) : AutoCloseable {
    private val longestWaitNanoseconds = AtomicLong()
    private val decisions = AtomicLong()
    private val busyNanoseconds = AtomicLong()

    /** Runs [block] on the control thread and returns its result. */
    suspend fun <T> decide(block: () -> T): T {
        val asked = clock.elapsed()
        return withContext(dispatcher) {
            val started = clock.elapsed()
            note(started - asked)
            checkThread()
            val result = block()
            busyNanoseconds.addAndGet((clock.elapsed() - started).inWholeNanoseconds)
            result
        }
    }

    /** The longest wait for the thread since the last call. */
    fun lag(): Duration = longestWaitNanoseconds.getAndSet(0).nanoseconds

    /** The number of decisions and the time spent in them since the start. */
    fun usage(): ControlThreadUsage = ControlThreadUsage(decisions.get(), busyNanoseconds.get().nanoseconds)

    override fun close() {
        if (dispatcher is ExecutorCoroutineDispatcher) dispatcher.close()
    }

    private fun note(wait: Duration) {
        decisions.incrementAndGet()
        longestWaitNanoseconds.accumulateAndGet(wait.inWholeNanoseconds, ::maxOf)
    }

    private fun checkThread() {
        val holds =
            when (owner) {
                ThreadOwner.Virtual -> true
                is ThreadOwner.Named -> Thread.currentThread().name.startsWith(owner.name)
            }
        invariants.check(holds, Invariant.CONTROL_THREAD_ONLY, Step.ADMIT) { "thread=${Thread.currentThread().name}" }
    }

    private sealed class ThreadOwner {
        data object Virtual : ThreadOwner()

        data class Named(
            val name: String,
        ) : ThreadOwner()
    }

    companion object {
        /** A control thread of its own, named after [process]. */
        fun start(
            process: String,
            clock: Clock,
            invariants: Invariants,
        ): ControlThread {
            val name = "control-$process"
            val executor = Executors.newSingleThreadExecutor { task -> Thread(task, name).apply { isDaemon = true } }
            return ControlThread(executor.asCoroutineDispatcher(), ThreadOwner.Named(name), clock, invariants)
        }

        /** Decisions on [dispatcher], for virtual time; the dispatcher must run one task at a time. */
        fun virtual(
            dispatcher: CoroutineDispatcher,
            clock: Clock,
            invariants: Invariants,
        ): ControlThread = ControlThread(dispatcher, ThreadOwner.Virtual, clock, invariants)
    }
}

data class ControlThreadUsage(
    val decisions: Long,
    val busy: Duration,
)
