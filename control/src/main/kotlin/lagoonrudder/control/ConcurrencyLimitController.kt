/**
 * Decides at a target daemon how much work its instance gets.
 *
 * Only the target daemon sees all the work of its instance, so any number of entry daemons can't add up to overload. The
 * limit has two parts: requests at once, which start small after each start of the engine and rise with what the
 * instance proved, and tokens of memory, which are reserved for the prompt and the longest possible answer. A few
 * requests may wait here for a free place, first come first served, so that an entry daemon without work at the instance
 * gets its turn although others fill every place that falls free.
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

/** How the request limit behaves. */
sealed class LimitPolicy {
    /** The published number of requests from the first moment: the baseline. */
    data object Fixed : LimitPolicy()

    /**
     * Starts at [start] requests, rises with each answer that came in time while the limit was in use, and falls to
     * [backOff] of itself on trouble, at most once in [calm].
     */
    data class Adaptive(
        val start: Double = 2.0,
        val backOff: Double = 0.7,
        val calm: Duration = 250.milliseconds,
        val firstTokenLimit: Duration = 680.milliseconds,
    ) : LimitPolicy()
}

/** What an instance bears when warm, from the operators' objects. */
data class TargetCapacity(
    val requests: Int,
    val memoryTokens: Long,
)

sealed class LimitDecision {
    data object Admitted : LimitDecision()

    /** The request waits for its turn; see [ConcurrencyLimitController.admitNext]. */
    data object Queued : LimitDecision()

    data class Refused(
        val refusal: Refusal,
    ) : LimitDecision()
}

/** How a request that had been admitted ended at the engine. */
sealed class EngineResult {
    data class Answered(
        val firstToken: Duration,
    ) : EngineResult()

    /** The engine refused, failed or fell over. */
    data object Failed : EngineResult()

    /** The caller went away; this says nothing about the engine. */
    data object Cancelled : EngineResult()
}

/** The room of a target at one moment, as entry daemons are told; [inFlight] counts what waits at the target too. */
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
    private var lastTrouble = -Duration.INFINITE
    private val held = mutableMapOf<RequestId, Long>()
    private var heldTokens = 0L
    private val waiting = LinkedHashMap<RequestId, Long>()
    private var coldStarts = 0

    /** Takes over the published capacity. */
    fun configure(published: TargetCapacity) {
        val first = capacity.requests == 0
        capacity = published
        if (first) reset() else limit = min(limit, published.requests.toDouble())
    }

    /** Notes which life of the engine answers; a new one starts small again. */
    fun onEngineIncarnation(engine: IncarnationId) {
        if (engine == incarnation) return
        if (incarnation != null) coldStarts++
        incarnation = engine
        reset()
    }

    /** Decides whether a request that may need up to [tokens] of memory runs now. */
    fun admit(
        request: RequestId,
        tokens: Long,
    ): LimitDecision {
        if (waiting.isEmpty() && fits(tokens)) return hold(request, tokens)
        val mayWait = policy is LimitPolicy.Adaptive && waiting.size < limit.toInt() && tokens <= tokenBudget()
        if (!mayWait) return LimitDecision.Refused(refusalFor(tokens))
        waiting[request] = tokens
        return LimitDecision.Queued
    }

    /** The waiting request that has its turn now and is admitted with this call, or null when none has. */
    fun admitNext(): RequestId? {
        val (request, tokens) = waiting.entries.firstOrNull() ?: return null
        if (!fits(tokens)) return null
        waiting.remove(request)
        hold(request, tokens)
        return request
    }

    /** The request does not wait any longer. */
    fun withdraw(request: RequestId) {
        waiting.remove(request)
    }

    /** Releases what [request] held and learns from its end. */
    fun onRequestFinished(
        request: RequestId,
        result: EngineResult,
        now: Duration,
    ) {
        val used = held.size
        val tokens = held.remove(request) ?: return
        heldTokens -= tokens
        when (policy) {
            LimitPolicy.Fixed -> Unit
            is LimitPolicy.Adaptive -> learn(policy, result, used, now)
        }
    }

    fun load(): TargetLoad = TargetLoad(limit.toInt(), held.size + waiting.size, (tokenBudget() - heldTokens).coerceAtLeast(0))

    fun inFlight(): Int = held.size

    fun dump(): DumpSection =
        dumpSection("limit") {
            entry("policy", policy)
            entry("limit", limit.toInt())
            entry("published-requests", capacity.requests)
            entry("in-flight", held.size)
            entry("waiting", waiting.size)
            entry("held-tokens", heldTokens)
            entry("token-budget", tokenBudget())
            entry("ramping", ramping)
            entry("engine-incarnation", incarnation?.text)
            entry("cold-starts", coldStarts)
        }

    private fun fits(tokens: Long): Boolean = held.size < limit.toInt() && heldTokens + tokens <= tokenBudget()

    private fun hold(
        request: RequestId,
        tokens: Long,
    ): LimitDecision {
        held[request] = tokens
        heldTokens += tokens
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

    private fun learn(
        policy: LimitPolicy.Adaptive,
        result: EngineResult,
        used: Int,
        now: Duration,
    ) {
        when (result) {
            EngineResult.Cancelled -> Unit
            EngineResult.Failed -> backOff(policy, now)
            is EngineResult.Answered ->
                if (result.firstToken > policy.firstTokenLimit) backOff(policy, now) else rise(used)
        }
    }

    private fun rise(used: Int) {
        if (used < limit.toInt()) return
        val step = if (ramping) 1.0 else 1.0 / limit
        limit = min(limit + step, capacity.requests.toDouble())
    }

    private fun backOff(
        policy: LimitPolicy.Adaptive,
        now: Duration,
    ) {
        if (now - lastTrouble < policy.calm) return
        lastTrouble = now
        ramping = false
        limit = (limit * policy.backOff).coerceAtLeast(1.0)
    }

    private fun refusalFor(tokens: Long): Refusal =
        if (tokens > tokenBudget()) {
            Refusal.Invalid("a request of at most ${tokenBudget()} tokens, prompt and answer together")
        } else {
            Refusal.Overloaded(RETRY_AFTER)
        }

    private fun tokenBudget(): Long = capacity.memoryTokens * USABLE_TOKENS_PERCENT / 100

    private fun checkWithinLimit() {
        val withinTokens = heldTokens <= tokenBudget()
        invariants.check(held.size <= capacity.requests && withinTokens, Invariant.TARGET_WITHIN_LIMIT, Step.ADMIT) {
            "requests=${held.size} limit=${limit.toInt()} tokens=$heldTokens budget=${tokenBudget()}"
        }
    }

    private companion object {
        const val USABLE_TOKENS_PERCENT = 90
        val RETRY_AFTER = 500.milliseconds
    }
}
