/**
 * Measures the time until a version is ready on many replicas and the bytes fetched from the origin, compared with two baseline
 * policies and a lower bound.
 */
package lagoonrudder.standins.measure

import lagoonrudder.control.SourcePolicy

private data class DeploymentSize(
    val replicas: Int,
    val regions: Int,
    val domains: Int,
)

private val deployments =
    listOf(
        DeploymentSize(8, 3, 3),
        DeploymentSize(64, 3, 3),
        DeploymentSize(64, 9, 34),
        DeploymentSize(256, 9, 34),
        DeploymentSize(890, 9, 34),
    )
private val faultCases =
    mapOf(
        "dying-2%" to DistributionFaults(crashRate = 0.02),
        "dying-10%" to DistributionFaults(crashRate = 0.10),
        "corrupted-1%" to DistributionFaults(corruptionRate = 0.01),
        "region-cut" to DistributionFaults(isolateRegion = true),
        "all" to DistributionFaults(crashRate = 0.02, corruptionRate = 0.01, isolateRegion = true),
    )
private const val MAX_ORIGIN_COPIES = 1.1
private const val MAX_ORIGIN_COPIES_WITH_FAULTS = 1.5
private const val MAX_GROWTH = 1.5
private const val MAX_RATIO_TO_LOWER_BOUND = 1.3
private const val MAX_RATIO_TO_FULL_COPY = 0.6

fun measureWeights(options: MeasureOptions): Verdict {
    val seed = options.int("seed", 1)
    val rates = LinkRates()
    val faultFree = deployments.associateWith { run("striped", SourcePolicy.Striped, it, DistributionFaults(), "none", rates, seed) }
    val baselines = deployments.take(3)
    baselines.forEach { run("region-lead", SourcePolicy.RegionLead, it, DistributionFaults(), "none", rates, seed) }
    baselines.forEach { run("origin-only", SourcePolicy.OriginOnly, it, DistributionFaults(), "none", rates, seed) }
    val largest = deployments.last()
    val largestResult = faultFree.getValue(largest)
    val withFaults = faultCases.map { (name, faults) -> run("striped", SourcePolicy.Striped, deployments[3], faults, name, rates, seed) }
    val smallest = faultFree.getValue(deployments.first())
    val threeRegions = faultFree.getValue(deployments[1])
    val bound = lowerBound(rates, largest.regions)
    val growth = largestResult.readySeconds / smallest.readySeconds
    val ratioToBound = largestResult.readySeconds / bound
    val ratioToFullCopy = threeRegions.readySeconds / (rates.copyBytes / rates.region)
    val maxOriginCopies = withFaults.maxOf { it.originCopies }
    val allReady = withFaults.all { it.ready == it.alive && it.corruptChunksKept == 0 }
    val passed =
        faultFree.values.all { it.originCopies <= MAX_ORIGIN_COPIES } &&
            maxOriginCopies <= MAX_ORIGIN_COPIES_WITH_FAULTS &&
            allReady &&
            growth <= MAX_GROWTH &&
            ratioToBound <= MAX_RATIO_TO_LOWER_BOUND &&
            ratioToFullCopy <= MAX_RATIO_TO_FULL_COPY
    val line =
        figures {
            add("seed", seed)
            add("ready-890-seconds", largestResult.readySeconds)
            add("origin-copies-890", largestResult.originCopies)
            add("origin-copies-with-faults", maxOriginCopies)
            add("growth-8-to-890", growth)
            add("over-bound", ratioToBound)
            add("of-whole-copies-3-regions", ratioToFullCopy)
            add("all-ready-with-faults", allReady)
        }
    return Verdict(line, passed)
}

/**
 * The least time in seconds that any plan takes, which is the longest of three: the origin sends one copy, the link of one instance
 * carries one copy, and the links out of the origin's region together carry one copy.
 */
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
    size: DeploymentSize,
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
