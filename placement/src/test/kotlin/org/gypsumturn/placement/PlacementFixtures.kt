// Builders for test data of the placement tests.

package org.gypsumturn.placement

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobClassId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Priority
import org.gypsumturn.model.RackId
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.TeamId

internal fun jobSpec(
    id: String,
    jobClass: String = "nesting",
    priority: Priority = Priority.NORMAL,
    declared: Capacity = Capacity(1_000, 1_024),
    team: String = "plans",
    idempotent: Boolean = true,
): JobSpec = JobSpec(
    JobId(id),
    PoolId("cutting"),
    TeamId(team),
    JobClassId(jobClass),
    priority,
    declared,
    declaredMillis = 10_000,
    idempotent = idempotent,
)

internal fun worker(number: Int, capacity: Capacity = Capacity(4_000, 8_192)): WorkerCapacity {
    val domain = FailureDomain(RegionId("r"), DataCentreId("dc${number % 3}"), RackId("rack${number / 4}"))
    return WorkerCapacity(InstanceId("worker-$number"), domain, capacity, accepting = true)
}

internal fun PoolScheduler.submit(spec: JobSpec, sinceMillis: Long = 0) = enqueue(WaitingJob(spec, sinceMillis))

internal fun failedOnce(spec: JobSpec, vararg workers: String): JobRecord =
    JobRecord(spec, failures = workers.size, failedOn = workers.map(::InstanceId))
