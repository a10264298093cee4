// Jobs and fleets for the tests of this module.

package org.gypsumturn.jobs

import kotlinx.collections.immutable.persistentMapOf
import org.gypsumturn.model.Address
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobClassId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.Priority
import org.gypsumturn.model.RackId
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.TeamId
import org.gypsumturn.model.ViewVersion

internal const val TIMEOUT_MILLIS = 1_000L
internal val POOL = PoolId("cutting")
internal val SELF = NodeId("control-1")

internal fun spec(
    id: String,
    idempotent: Boolean = true,
    priority: Priority = Priority.NORMAL,
    payload: String = "",
    team: String = "plans",
    jobClass: String = "nesting",
): JobSpec = JobSpec(
    JobId(id),
    POOL,
    TeamId(team),
    JobClassId(jobClass),
    priority,
    Capacity(1_000, 512),
    declaredMillis = 10_000,
    idempotent = idempotent,
    payload = payload,
)

internal fun fleet(workers: Int = 4): FleetView {
    val instances =
        (1..workers).map { number ->
            val domain = FailureDomain(RegionId("r"), DataCentreId("dc${number % 3}"), RackId("rack${number / 4}"))
            val id = InstanceId("worker-$number")
            Instance(id, POOL, domain, Address("127.0.0.1", number), Capacity(8_000, 16_384), 8, 64)
        }
    return FleetView(
        ViewVersion(1),
        pools = persistentMapOf(POOL to Pool(POOL, PoolRole.WORKING, AvailabilityBudget(1))),
        instances = persistentMapOf<InstanceId, Instance>().putAll(instances.associateBy { it.id }),
    )
}
