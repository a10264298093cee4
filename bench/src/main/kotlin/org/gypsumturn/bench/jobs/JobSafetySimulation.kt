// Simulates job owners that compete for one table and a few workers, in virtual time, to check that no job is lost and
// no non-idempotent job runs twice. A hook runs before every call of an owner to the table or a worker; a check can use
// it to pause this owner while the others go on.

package org.gypsumturn.bench.jobs

import org.gypsumturn.jobs.CancelSelection
import org.gypsumturn.jobs.JobAcceptance
import org.gypsumturn.jobs.JobOwner
import org.gypsumturn.jobs.JobOwnerSettings
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobClassId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.JobState
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.isFinal
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.TaskAction
import org.gypsumturn.ports.TaskKey
import org.gypsumturn.ports.TaskStart
import org.gypsumturn.ports.Transaction
import org.gypsumturn.ports.WorkerTasks
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.ports.fake.FakeWorkerTasks
import org.gypsumturn.ports.fake.PortFault
import org.gypsumturn.ports.fake.TaskScript
import org.gypsumturn.ports.fake.WorkerFault

/** Kinds of calls before which an owner can be paused. */
internal enum class CallKind { READ, COMMIT, START, OTHER }

/** The hooks through which a check injects faults, pauses owners and decides what tasks do. */
internal class SimulationHooks(
    val tableFault: (isCommit: Boolean) -> PortFault = { PortFault.NONE },
    val workerFault: (InstanceId) -> WorkerFault = { WorkerFault.NONE },
    val script: (InstanceId, TaskStart) -> TaskScript =
        { _, _ -> TaskScript(2_000, Capacity(500, 256), output = "ok") },
    val beforeCall: (owner: Int, kind: CallKind) -> Unit = { _, _ -> },
)

/** A simulated control process. */
internal class ControlNode(val id: NodeId, val owner: JobOwner)

/** The simulation: a table, workers, and control processes that can be restarted. */
internal class JobSafetySimulation(nodes: Int, workers: Int, private val hooks: SimulationHooks) {
    var nowMillis: Long = START_MILLIS
    val table = FakeTableStore(hooks.tableFault)
    val workers = FakeWorkerTasks({ nowMillis }, hooks.workerFault, hooks.script)
    val acceptance = JobAcceptance(table)
    val view = viewOf(FleetSize("small", workers, 1, 2, 2, Capacity(4_000, 8_192)))
    private var startedNodes = 0
    val nodes: MutableList<ControlNode> = MutableList(nodes) { newNode(it) }

    /** Jobs whose acceptance returned [Verdict.Ran]. */
    val accepted = LinkedHashMap<JobId, JobSpec>()

    /** Jobs whose acceptance returned [Verdict.NotRun]. */
    val refused = LinkedHashSet<JobId>()

    fun liveNodes(): Set<NodeId> = nodes.mapTo(HashSet()) { it.id }

    /** Replaces a control process with a new one that knows nothing of what the old one had in memory. */
    fun restart(index: Int) {
        nodes[index] = newNode(index)
    }

    fun step(index: Int, live: Set<NodeId> = liveNodes()) {
        nodes[index].owner.step(nowMillis, view, live)
    }

    fun accept(spec: JobSpec) {
        when (acceptance.accept(nowMillis, spec, TIMEOUT_MILLIS)) {
            is Verdict.Ran -> accepted[spec.id] = spec
            is Verdict.NotRun -> refused += spec.id
            is Verdict.MayHaveRun -> Unit
        }
    }

    fun cancel(ids: List<JobId>) {
        acceptance.cancel(nowMillis, CancelSelection.Ids(poolOf(0), ids), TIMEOUT_MILLIS)
    }

    /** Runs all owners until all open jobs have ended or [limitMillis] have passed. */
    fun runUntilAllEnded(limitMillis: Long) {
        val end = nowMillis + limitMillis
        while (nowMillis < end) {
            nodes.indices.forEach { step(it) }
            nowMillis += SETTLE_STEP_MILLIS
            if (nodes.all { it.owner.counts().let { c -> c.openJobs == 0 && c.isTableUp } } && openRows() == 0) return
        }
    }

    /** Describes each violation of the guarantees for jobs; empty if there is none. */
    fun findViolations(): List<String> {
        val runs = workers.runs.groupBy { it.key.job }
        val unendedJobs = accepted.values.filter { recordOf(it.id)?.state?.isFinal != true }
        val startedTwice = runs.filter { (id, of) -> accepted[id]?.idempotent == false && of.count { !it.resumed } > 1 }
        val ranThoughRefused = refused.filter { it in runs && it !in accepted }
        val ranAfterCancel =
            accepted.keys.filter { id ->
                recordOf(id)?.let { it.state == JobState.CANCELLED && it.attempt == 0 } == true && id in runs
            }
        val finishedWithoutRun = accepted.keys.filter { recordOf(it)?.state == JobState.FINISHED && it !in runs }
        val ownerCounts = nodes.map { it.owner.counts() }
        return unendedJobs.map { "accepted job ${it.id} did not end: ${recordOf(it.id)}, owners $ownerCounts" } +
            startedTwice.map { "non-idempotent job ${it.key} was started more than once: ${it.value}" } +
            ranThoughRefused.map { "job $it ran although it was refused" } +
            ranAfterCancel.map { "job $it ran although it was cancelled before any attempt" } +
            finishedWithoutRun.map { "job $it is recorded as finished but never ran" }
    }

    fun recordOf(id: JobId): JobRecord? = acceptance.get(poolOf(0), id, TIMEOUT_MILLIS).valueOrNull()

    /** 0 if no job row exists, otherwise 1; also 1 if the table cannot be read. */
    private fun openRows(): Int = table.scan("job/", null, 1, TIMEOUT_MILLIS).valueOrNull()?.size ?: 1

    private fun newNode(index: Int): ControlNode {
        val id = NodeId("node-$index-${startedNodes++}")
        val table = HookedTable(table) { hooks.beforeCall(index, it) }
        val workers = HookedWorkerTasks(workers) { hooks.beforeCall(index, it) }
        return ControlNode(id, JobOwner(table, workers, id, SETTINGS))
    }

    companion object {
        const val START_MILLIS = 1_000_000L
        const val TIMEOUT_MILLIS = 100L
        const val LEASE_MILLIS = 5_000L
        const val LEASE_MARGIN_MILLIS = 1_000L
        private const val SETTLE_STEP_MILLIS = 500L
        private val SETTINGS =
            JobOwnerSettings(
                leaseMillis = LEASE_MILLIS,
                leaseMarginMillis = LEASE_MARGIN_MILLIS,
                renewEveryMillis = 1_000,
                renewEveryWhileBusyMillis = 500,
                maxReclaimDelayMillis = 2_000,
                tableRetryMillis = 500,
                maxTableRetryMillis = 2_000,
                recordRunningAfterMillis = 1_500,
            )

        fun jobSpec(id: String, idempotent: Boolean, priority: Priority = Priority.NORMAL): JobSpec = JobSpec(
            JobId(id),
            poolOf(0),
            TeamId("team"),
            JobClassId("class"),
            priority,
            Capacity(1_000, 512),
            declaredMillis = 2_000,
            idempotent = idempotent,
        )
    }
}

private class HookedTable(private val table: TableStore, private val beforeCall: (CallKind) -> Unit) : TableStore {
    override fun read(keys: List<RowKey>, timeoutMillis: Long): Verdict<List<Row>> {
        beforeCall(CallKind.READ)
        return table.read(keys, timeoutMillis)
    }

    override fun scan(prefix: String, after: RowKey?, limit: Int, timeoutMillis: Long): Verdict<List<Row>> {
        beforeCall(CallKind.READ)
        return table.scan(prefix, after, limit, timeoutMillis)
    }

    override fun commit(transaction: Transaction, timeoutMillis: Long) =
        beforeCall(CallKind.COMMIT).let { table.commit(transaction, timeoutMillis) }
}

private class HookedWorkerTasks(private val workers: WorkerTasks, private val beforeCall: (CallKind) -> Unit) :
    WorkerTasks {
    override fun start(worker: InstanceId, task: TaskStart, timeoutMillis: Long) =
        beforeCall(CallKind.START).let { workers.start(worker, task, timeoutMillis) }

    override fun renew(worker: InstanceId, tasks: List<TaskKey>, leaseMillis: Long, timeoutMillis: Long) =
        beforeCall(CallKind.OTHER).let { workers.renew(worker, tasks, leaseMillis, timeoutMillis) }

    override fun act(worker: InstanceId, task: TaskKey, action: TaskAction, timeoutMillis: Long) =
        beforeCall(CallKind.OTHER).let { workers.act(worker, task, action, timeoutMillis) }

    override fun forget(worker: InstanceId, tasks: List<TaskKey>, timeoutMillis: Long) =
        beforeCall(CallKind.OTHER).let { workers.forget(worker, tasks, timeoutMillis) }
}
