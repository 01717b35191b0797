/**
 * Limits the concurrency of the instance behind a target daemon.
 *
 * Only the target daemon sees all requests of its instance, so the limit holds for any number of entry daemons. It has two
 * parts. The number of concurrent requests starts small after each start of the engine and rises while the instance
 * responds in time. Memory, counted in tokens, is reserved for the prompt and the longest possible response. A few requests
 * may wait here, first in, first out, so that an entry daemon without requests at the instance gets its turn although
 * others fill every slot that becomes free.
 */
package lagoonrudder.control

import lagoonrudder.model.IncarnationId
import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestId
import lagoonrudder.model.Step
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How the limit of concurrent requests is set. */
sealed class LimitPolicy {
    /** Applies the published number of requests from the start; a baseline for comparison. */
    data object Fixed : LimitPolicy()

    /**
     * Starts at [start] requests and rises with each timely response that arrives while the limit is in use. A failure or a
     * first token later than [firstTokenLimit] multiplies the limit by [backOff], at most once per [calm].
     */
    data class Adaptive(
        val start: Double = 2.0,
        val backOff: Double = 0.7,
        val calm: Duration = 250.milliseconds,
        val firstTokenLimit: Duration = 680.milliseconds,
    ) : LimitPolicy()
}

/** The capacity of a warmed-up instance, as operators publish it. [memoryTokens] is its memory in tokens. */
data class TargetCapacity(
    val requests: Int,
    val memoryTokens: Long,
)

sealed class LimitDecision {
    data object Admitted : LimitDecision()

    /** The request waits until [ConcurrencyLimitController.admitNext] returns it. */
    data object Queued : LimitDecision()

    data class Refused(
        val refusal: Refusal,
    ) : LimitDecision()
}

/** How an admitted request ended at the engine. */
sealed class EngineResult {
    /** The engine responded; [firstToken] is the time to its first token. */
    data class Answered(
        val firstToken: Duration,
    ) : EngineResult()

    /** The engine rejected the request, failed or became unreachable. */
    data object Failed : EngineResult()

    /** The caller disconnected, which says nothing about the engine. */
    data object Cancelled : EngineResult()
}

/**
 * The load of a target at one moment, as entry daemons receive it. [limit] bounds the concurrent requests, [inFlight] counts
 * the admitted and the waiting requests, and [freeTokens] is the unreserved memory.
 */
data class TargetLoad(
    val limit: Int,
    val inFlight: Int,
    val freeTokens: Long,
)

class ConcurrencyLimitController(
    private val policy: LimitPolicy,
    private val invariants: Invariants,
) {
    private var capacity = TargetCapacity(0, 0)
    private var limit = 0.0
    private var ramping = true
    private var incarnation: IncarnationId? = null
    private var lastBackOff = -Duration.INFINITE
    private val reservedTokensByRequest = mutableMapOf<RequestId, Long>()
    private var reservedTokens = 0L
    private val waiting = LinkedHashMap<RequestId, Long>()
    private var coldStarts = 0

    /** Applies the published capacity. */
    fun configure(published: TargetCapacity) {
        val isFirst = capacity.requests == 0
        capacity = published
        if (isFirst) reset() else limit = min(limit, published.requests.toDouble())
    }

    /** Records which incarnation of the engine responds; a new one starts at a small limit again. */
    fun onEngineIncarnation(engine: IncarnationId) {
        if (engine == incarnation) return
        if (incarnation != null) coldStarts++
        incarnation = engine
        reset()
    }

    /** Admits, queues or rejects a request that may need up to [tokens] of memory. */
    fun admit(
        request: RequestId,
        tokens: Long,
    ): LimitDecision {
        if (waiting.isEmpty() && fits(tokens)) return reserve(request, tokens)
        val mayQueue = policy is LimitPolicy.Adaptive && waiting.size < limit.toInt() && tokens <= tokenBudget()
        if (!mayQueue) return LimitDecision.Refused(refusalFor(tokens))
        waiting[request] = tokens
        return LimitDecision.Queued
    }

    /** Admits the first waiting request and returns it, or returns null if none fits. */
    fun admitNext(): RequestId? {
        val (request, tokens) = waiting.entries.firstOrNull() ?: return null
        if (!fits(tokens)) return null
        waiting.remove(request)
        reserve(request, tokens)
        return request
    }

    /** Removes a waiting request. */
    fun withdraw(request: RequestId) {
        waiting.remove(request)
    }

    /** Releases the reservation of [request] and adapts the limit to [result]. */
    fun onRequestFinished(
        request: RequestId,
        result: EngineResult,
        now: Duration,
    ) {
        val concurrency = reservedTokensByRequest.size
        val tokens = reservedTokensByRequest.remove(request) ?: return
        reservedTokens -= tokens
        when (policy) {
            LimitPolicy.Fixed -> Unit
            is LimitPolicy.Adaptive -> adapt(policy, result, concurrency, now)
        }
    }

    fun load(): TargetLoad =
        TargetLoad(limit.toInt(), reservedTokensByRequest.size + waiting.size, (tokenBudget() - reservedTokens).coerceAtLeast(0))

    fun inFlight(): Int = reservedTokensByRequest.size

    fun dump(): DumpSection =
        dumpSection("limit") {
            entry("policy", policy)
            entry("limit", limit.toInt())
            entry("published-requests", capacity.requests)
            entry("in-flight", reservedTokensByRequest.size)
            entry("waiting", waiting.size)
            entry("held-tokens", reservedTokens)
            entry("token-budget", tokenBudget())
            entry("ramping", ramping)
            entry("engine-incarnation", incarnation?.text)
            entry("cold-starts", coldStarts)
        }

    private fun fits(tokens: Long): Boolean = reservedTokensByRequest.size < limit.toInt() && reservedTokens + tokens <= tokenBudget()

    private fun reserve(
        request: RequestId,
        tokens: Long,
    ): LimitDecision {
        reservedTokensByRequest[request] = tokens
        reservedTokens += tokens
        checkWithinLimit()
        return LimitDecision.Admitted
    }

    private fun reset() {
        ramping = true
        limit =
            when (policy) {
                LimitPolicy.Fixed -> capacity.requests.toDouble()
                is LimitPolicy.Adaptive -> min(policy.start, capacity.requests.toDouble())
            }
    }

    private fun adapt(
        policy: LimitPolicy.Adaptive,
        result: EngineResult,
        concurrency: Int,
        now: Duration,
    ) {
        when (result) {
            EngineResult.Cancelled -> Unit
            EngineResult.Failed -> backOff(policy, now)
            is EngineResult.Answered ->
                if (result.firstToken > policy.firstTokenLimit) backOff(policy, now) else increase(concurrency)
        }
    }

    private fun increase(concurrency: Int) {
        if (concurrency < limit.toInt()) return
        val step = if (ramping) 1.0 else 1.0 / limit
        limit = min(limit + step, capacity.requests.toDouble())
    }

    private fun backOff(
        policy: LimitPolicy.Adaptive,
        now: Duration,
    ) {
        if (now - lastBackOff < policy.calm) return
        lastBackOff = now
        ramping = false
        limit = (limit * policy.backOff).coerceAtLeast(1.0)
    }

    private fun refusalFor(tokens: Long): Refusal =
        if (tokens > tokenBudget()) {
            Refusal.Invalid("a request of at most ${tokenBudget()} tokens for prompt and response together")
        } else {
            Refusal.Overloaded(RETRY_AFTER)
        }

    private fun tokenBudget(): Long = capacity.memoryTokens * USABLE_TOKENS_PERCENT / 100

    private fun checkWithinLimit() {
        val withinTokens = reservedTokens <= tokenBudget()
        invariants.check(reservedTokensByRequest.size <= capacity.requests && withinTokens, Invariant.TARGET_WITHIN_LIMIT, Step.ADMIT) {
            "requests=${reservedTokensByRequest.size} limit=${limit.toInt()} tokens=$reservedTokens budget=${tokenBudget()}"
        }
    }

    private companion object {
        const val USABLE_TOKENS_PERCENT = 90
        val RETRY_AFTER = 500.milliseconds
    }
}
