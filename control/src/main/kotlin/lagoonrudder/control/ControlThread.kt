/**
 * The thread that runs all controllers of a process.
 *
 * Traffic threads call [decide] and suspend until the result is available. A block passed to [decide] must not block: it
 * reads and changes control state and returns. [lag] measures how long blocks wait for the thread.
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
    private val maxWaitNanoseconds = AtomicLong()
    private val decisions = AtomicLong()
    private val busyNanoseconds = AtomicLong()

    /** Runs [block] on the control thread and returns its result. */
    suspend fun <T> decide(block: () -> T): T {
        val requestedAt = clock.elapsed()
        return withContext(dispatcher) {
            val startedAt = clock.elapsed()
            recordWait(startedAt - requestedAt)
            checkThread()
            val result = block()
            busyNanoseconds.addAndGet((clock.elapsed() - startedAt).inWholeNanoseconds)
            result
        }
    }

    /** Returns the longest wait for the thread since the last call. */
    fun lag(): Duration = maxWaitNanoseconds.getAndSet(0).nanoseconds

    /** Returns the number of decisions since the start and the time spent in them. */
    fun usage(): ControlThreadUsage = ControlThreadUsage(decisions.get(), busyNanoseconds.get().nanoseconds)

    override fun close() {
        if (dispatcher is ExecutorCoroutineDispatcher) dispatcher.close()
    }

    private fun recordWait(wait: Duration) {
        decisions.incrementAndGet()
        maxWaitNanoseconds.accumulateAndGet(wait.inWholeNanoseconds, ::maxOf)
    }

    private fun checkThread() {
        val onControlThread =
            when (owner) {
                ThreadOwner.Virtual -> true
                is ThreadOwner.Named -> Thread.currentThread().name.startsWith(owner.name)
            }
        invariants.check(onControlThread, Invariant.CONTROL_THREAD_ONLY, Step.ADMIT) { "thread=${Thread.currentThread().name}" }
    }

    private sealed class ThreadOwner {
        data object Virtual : ThreadOwner()

        data class Named(
            val name: String,
        ) : ThreadOwner()
    }

    companion object {
        /** Starts a dedicated thread named after [process]. */
        fun start(
            process: String,
            clock: Clock,
            invariants: Invariants,
        ): ControlThread {
            val name = "control-$process"
            val executor = Executors.newSingleThreadExecutor { task -> Thread(task, name).apply { isDaemon = true } }
            return ControlThread(executor.asCoroutineDispatcher(), ThreadOwner.Named(name), clock, invariants)
        }

        /** Runs decisions on [dispatcher], for virtual time; the dispatcher must run one task at a time. */
        fun virtual(
            dispatcher: CoroutineDispatcher,
            clock: Clock,
            invariants: Invariants,
        ): ControlThread = ControlThread(dispatcher, ThreadOwner.Virtual, clock, invariants)
    }
}

/** The number of [decisions] and the [busy] time spent in them since the start of the process. */
data class ControlThreadUsage(
    val decisions: Long,
    val busy: Duration,
)
