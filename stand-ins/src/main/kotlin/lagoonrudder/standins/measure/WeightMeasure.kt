/**
 * Time until a version is ready on many replicas and bytes drawn from the origin, beside two baselines and a lower bound.
 */
package lagoonrudder.standins.measure

import lagoonrudder.control.SourcePolicy

private data class Size(
    val replicas: Int,
    val regions: Int,
    val domains: Int,
)

private val sizes =
    listOf(
        Size(8, 3, 3),
        Size(64, 3, 3),
        Size(64, 9, 34),
        Size(256, 9, 34),
        Size(890, 9, 34),
    )
private val faultCases =
    mapOf(
        "dying-2%" to DistributionFaults(dying = 0.02),
        "dying-10%" to DistributionFaults(dying = 0.10),
        "corrupted-1%" to DistributionFaults(corrupted = 0.01),
        "region-cut" to DistributionFaults(cutRegion = true),
        "all" to DistributionFaults(dying = 0.02, corrupted = 0.01, cutRegion = true),
    )
private const val MOST_ORIGIN_COPIES = 1.1
private const val MOST_ORIGIN_COPIES_WITH_FAULTS = 1.5
private const val MOST_GROWTH = 1.5
private const val MOST_OVER_BOUND = 1.3
private const val MOST_OF_WHOLE_COPIES = 0.6

fun measureWeights(options: MeasureOptions): Verdict {
    val seed = options.int("seed", 1)
    val rates = LinkRates()
    val plain = sizes.associateWith { run("striped", SourcePolicy.Striped, it, DistributionFaults(), "none", rates, seed) }
    val baselines = sizes.take(3)
    baselines.forEach { run("region-lead", SourcePolicy.RegionLead, it, DistributionFaults(), "none", rates, seed) }
    baselines.forEach { run("origin-only", SourcePolicy.OriginOnly, it, DistributionFaults(), "none", rates, seed) }
    val largest = sizes.last()
    val large = plain.getValue(largest)
    val faulty = faultCases.map { (name, faults) -> run("striped", SourcePolicy.Striped, sizes[3], faults, name, rates, seed) }
    val small = plain.getValue(sizes.first())
    val thin = plain.getValue(sizes[1])
    val bound = lowerBound(rates, largest.regions)
    val growth = large.readySeconds / small.readySeconds
    val overBound = large.readySeconds / bound
    val ofWhole = thin.readySeconds / (rates.copyBytes / rates.region)
    val worstOrigin = faulty.maxOf { it.originCopies }
    val whole = faulty.all { it.ready == it.alive && it.corruptChunksKept == 0 }
    val passed =
        plain.values.all { it.originCopies <= MOST_ORIGIN_COPIES } &&
            worstOrigin <= MOST_ORIGIN_COPIES_WITH_FAULTS &&
            whole &&
            growth <= MOST_GROWTH &&
            overBound <= MOST_OVER_BOUND &&
            ofWhole <= MOST_OF_WHOLE_COPIES
    val line =
        figures {
            add("seed", seed)
            add("ready-890-seconds", large.readySeconds)
            add("origin-copies-890", large.originCopies)
            add("origin-copies-with-faults", worstOrigin)
            add("growth-8-to-890", growth)
            add("over-bound", overBound)
            add("of-whole-copies-3-regions", ofWhole)
            add("all-ready-with-faults", whole)
        }
    return Verdict(line, passed)
}

/** The time that no plan can beat: the slowest of the origin, one instance's link, and the links out of the origin's region. */
private fun lowerBound(
    rates: LinkRates,
    regions: Int,
): Double {
    val origin = rates.copyBytes / rates.origin
    val instance = rates.copyBytes / rates.instance
    val links = rates.copyBytes / (rates.region * (regions - 1))
    println(
        figures {
            add("bound", "max(origin,instance,links-out-of-home)")
            add("origin-seconds", origin)
            add("instance-seconds", instance)
            add("links-seconds", links)
        },
    )
    return maxOf(origin, instance, links)
}

private fun run(
    name: String,
    policy: SourcePolicy,
    size: Size,
    faults: DistributionFaults,
    faultName: String,
    rates: LinkRates,
    seed: Int,
): DistributionResult {
    val result = WeightSimulation(policy, rates, faults, size.regions, size.domains, size.replicas, seed).run()
    println(
        figures {
            add("policy", name)
            add("replicas", size.replicas)
            add("regions", size.regions)
            add("domains", size.domains)
            add("faults", faultName)
            add("ready-seconds", result.readySeconds)
            add("ready", "${result.ready}/${result.alive}")
            add("origin-copies", result.originCopies)
            add("busiest-region-link-copies", result.maxRegionLinkCopies)
            add("busiest-instance-link-copies", result.maxInstanceLinkCopies)
            add("damaged-kept", result.corruptChunksKept)
        },
    )
    return result
}
