// Watches the use of workspaces in a simulated fleet and reports starts beyond their caps.

package org.gypsumturn.batch

import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.model.WorkspaceId

/** Watches the runs that [running] returns with their jobs. */
internal class CapMonitor(private val running: () -> List<Pair<BatchJob?, VirtualExecutor.VirtualRun>>) {
    /** The most that each workspace with a cap had in use right after a start, in thousandths of a core. */
    val highestUseCpuMillis = HashMap<WorkspaceId, Long>()

    /** Processors that the tasks of [workspace] use on all executors, in thousandths of a core. */
    fun usedBy(workspace: WorkspaceId): Long =
        running().filter { (job, _) -> job?.workspace == workspace }.sumOf { (_, run) -> run.size.cpuMillis }

    /**
     * What the start of [run], which takes up [size], breaches; null if its workspace exceeds its cap by one task
     * at most.
     */
    fun findBreach(configuration: FleetConfiguration, run: RunId, size: ResourceAmounts): String? {
        val workspace = running().first { (_, other) -> other.id == run }.first?.workspace ?: return null
        val capCpuMillis = configuration.workspaces?.get(workspace)?.cap?.cpuMillis?.takeIf { it > 0 } ?: return null
        val usedCpuMillis = usedBy(workspace)
        highestUseCpuMillis.merge(workspace, usedCpuMillis, ::maxOf)
        if (usedCpuMillis <= capCpuMillis + size.cpuMillis) return null
        return "$run brings $workspace to $usedCpuMillis, above its cap of $capCpuMillis and one task"
    }
}
