// Draws all requests and jobs of a run before it starts, with their kinds, services, payloads and run times.

package org.gypsumturn.bench.load

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.JobClassId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId

/** One request to send. [id] and [payload] are unique, so that an answer can be matched with its request. */
public data class PlannedRequest(
    public val id: String,
    public val kind: CallKind,
    public val service: String,
    public val payload: String,
    public val workMillis: Int,
)

/** All calls of a run. */
public data class LoadPlan(public val requests: List<PlannedRequest>, public val jobs: List<JobSpec>)

private const val MIN_PAYLOAD_NUMBERS = 2
private const val MAX_PAYLOAD_NUMBERS = 64
private const val MIN_JOB_MILLIS = 50
private const val MAX_JOB_MILLIS = 500
private const val MAX_DECLARED_FACTOR = 4.0

/** Draws the calls from the seed in [options]. [run] is part of all ids, so that different runs share none. */
public fun planLoad(options: LoadOptions, run: String): LoadPlan {
    val random = RandomSource.XO_SHI_RO_256_PP.create(options.seed)
    val services =
        options.idempotentServices.map { CallKind.IDEMPOTENT to it } +
            options.keyedServices.map { CallKind.KEYED to it }
    val requests =
        List(options.requests) { index ->
            val (kind, service) = services[random.nextInt(services.size)]
            val id = "r-$run-$index"
            PlannedRequest(id, kind, service, drawPayload(id, random), random.nextInt(options.maxWorkMillis) + 1)
        }
    return LoadPlan(requests, List(options.jobs) { drawJob(options, "j-$run-$it", random) })
}

private fun drawPayload(id: String, random: UniformRandomProvider): String {
    val count = random.nextInt(MIN_PAYLOAD_NUMBERS, MAX_PAYLOAD_NUMBERS)
    return List(count) { random.nextLong().toULong().toString(radix = 16) }.joinToString("", prefix = "$id-")
}

// The declared run time differs from the actual one by up to a factor of four in either direction.
private fun drawJob(options: LoadOptions, id: String, random: UniformRandomProvider): JobSpec {
    val runMillis = random.nextInt(MIN_JOB_MILLIS, MAX_JOB_MILLIS)
    val factor = if (random.nextBoolean()) random.nextDouble(1.0, MAX_DECLARED_FACTOR) else random.nextDouble(0.25, 1.0)
    return JobSpec(
        id = JobId(id),
        pool = PoolId(options.jobPool),
        team = TeamId(options.team),
        jobClass = JobClassId(if (runMillis < MAX_JOB_MILLIS / 2) "short" else "long"),
        priority = if (random.nextBoolean()) Priority.URGENT else Priority.BATCH,
        declared = Capacity(random.nextLong(250, 2_000), random.nextLong(128, 1_024)),
        declaredMillis = (runMillis * factor).toLong() + 1,
        idempotent = random.nextBoolean(),
        payload = "run_millis=$runMillis cpu_milli=${random.nextInt(
            250,
            2_000,
        )} memory_mib=${random.nextInt(128, 1_024)}",
    )
}
