// Simulates the job owners of a whole fleet on one table, in virtual time, with a delay for each table call and counts
// of table calls and rows.

package org.gypsumturn.bench.jobs

import org.gypsumturn.jobs.JobAcceptance
import org.gypsumturn.jobs.JobOwner
import org.gypsumturn.jobs.JobOwnerSettings
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobClassId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.CommitOutcome
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.TaskStart
import org.gypsumturn.ports.Transaction
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.ports.fake.FakeWorkerTasks
import org.gypsumturn.ports.fake.PortFault
import org.gypsumturn.ports.fake.TaskScript

/** Numbers of calls that a table has served, and of rows that it has written and read. */
internal data class TableCallCounts(val commits: Long, val reads: Long, val rowsWritten: Long, val rowsRead: Long) {
    operator fun minus(other: TableCallCounts): TableCallCounts = TableCallCounts(
        commits - other.commits,
        reads - other.reads,
        rowsWritten - other.rowsWritten,
        rowsRead - other.rowsRead,
    )
}

/** A table that counts its calls. [onCall] runs before each call and can advance the virtual time. */
internal class CountingTable(private val table: FakeTableStore, private val onCall: () -> Unit) : TableStore {
    private var commits = 0L
    private var reads = 0L

    fun counts(): TableCallCounts = table.usage().let { TableCallCounts(commits, reads, it.writtenRows, it.readRows) }

    override fun read(keys: List<RowKey>, timeoutMillis: Long): Verdict<List<Row>> {
        reads++
        onCall()
        return table.read(keys, timeoutMillis)
    }

    override fun scan(prefix: String, after: RowKey?, limit: Int, timeoutMillis: Long): Verdict<List<Row>> {
        reads++
        onCall()
        return table.scan(prefix, after, limit, timeoutMillis)
    }

    override fun commit(transaction: Transaction, timeoutMillis: Long): Verdict<CommitOutcome> {
        commits++
        onCall()
        return table.commit(transaction, timeoutMillis)
    }
}

/**
 * A fleet with its job owners. All owners take a step every [STEP_MILLIS]; within a step of an owner, each call to the
 * table takes [TABLE_CALL_MILLIS].
 */
internal class JobOwnerSimulation(
    val size: FleetSize,
    nodes: Int,
    private val script: (InstanceId, TaskStart) -> TaskScript,
    settings: JobOwnerSettings = JobOwnerSettings(),
) {
    var nowMillis: Long = 1_000_000_000L
    var isTableDown: Boolean = false
    private var elapsedCallMillis = 0L
    private val fakeTable = FakeTableStore { if (isTableDown) PortFault.REFUSE else PortFault.NONE }
    val table = CountingTable(fakeTable) { elapsedCallMillis += TABLE_CALL_MILLIS }
    val workers = FakeWorkerTasks({ nowMillis + elapsedCallMillis }, script = { worker, task -> script(worker, task) })
    val acceptance = JobAcceptance(table)
    val view: FleetView = viewOf(size)
    val owners: LinkedHashMap<NodeId, JobOwner> = LinkedHashMap()

    init {
        for (number in 0 until nodes) {
            val id = NodeId("node-$number")
            owners[id] = JobOwner(table, workers, id, settings)
        }
    }

    /** Runs the simulation for [millis]. [beforeStep] is called before each step of the owners. */
    fun run(millis: Long, beforeStep: () -> Unit = {}) {
        val end = nowMillis + millis
        while (nowMillis < end) {
            beforeStep()
            owners.values.forEach { owner ->
                elapsedCallMillis = 0
                owner.step(nowMillis, view, owners.keys)
            }
            elapsedCallMillis = 0
            nowMillis += STEP_MILLIS
        }
    }

    fun accept(specs: List<JobSpec>): List<Verdict<*>> = acceptance.acceptAll(nowMillis, specs, TIMEOUT_MILLIS)

    fun jobSpec(
        id: String,
        pool: PoolId,
        priority: Priority = Priority.NORMAL,
        declared: Capacity = Capacity(1_000, 1_024),
    ): JobSpec = JobSpec(
        JobId(id),
        pool,
        TeamId("team-${id.length % size.teams}"),
        JobClassId("class-$priority"),
        priority,
        declared,
        declaredMillis = 30_000,
        idempotent = true,
    )

    companion object {
        const val STEP_MILLIS = 250L
        const val TABLE_CALL_MILLIS = 10L
        const val TIMEOUT_MILLIS = 1_000L
    }
}
