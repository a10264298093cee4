// A small world for checks of safety: owners that race on one table and a few workers, in virtual time. Every call of
// an owner passes a hook, in which a check may pause the owner and let the others go on.

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

/** Kinds of calls at which an owner may be paused. */
internal enum class CallKind { READ, COMMIT, START, OTHER }

/** What a check sets: faults, pauses, and what tasks do. */
internal class WorldHooks(
    val tableFault: (isCommit: Boolean) -> PortFault = { PortFault.NONE },
    val workerFault: (InstanceId) -> WorkerFault = { WorkerFault.NONE },
    val script: (
        InstanceId,
        TaskStart,
    ) -> TaskScript = { _, _ -> TaskScript(2_000, Capacity(500, 256), output = "ok") },
    val beforeCall: (owner: Int, kind: CallKind) -> Unit = { _, _ -> },
)

/** One control process of the world. */
internal class WorldNode(val id: NodeId, val owner: JobOwner)

/** The world: a table, workers, and control processes that can be replaced. */
internal class JobWorld(nodes: Int, workers: Int, private val hooks: WorldHooks) {
    var nowMillis: Long = START_MILLIS
    val table = FakeTableStore(hooks.tableFault)
    val workers = FakeWorkerTasks({ nowMillis }, hooks.workerFault, hooks.script)
    val acceptance = JobAcceptance(table)
    val view = viewOf(FleetSize("small", workers, 1, 2, 2, Capacity(4_000, 8_192)))
    private var started = 0
    val nodes: MutableList<WorldNode> = MutableList(nodes) { newNode(it) }

    /** Accepted with a verdict that says so, and refused with one that says not run. */
    val accepted = LinkedHashMap<JobId, JobSpec>()
    val refused = LinkedHashSet<JobId>()

    fun liveNodes(): Set<NodeId> = nodes.mapTo(HashSet()) { it.id }

    /** Replaces a process: what it had in memory is gone. */
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

    /** Lets the world run without pauses until all accepted jobs have ended or [limitMillis] have passed. */
    fun settle(limitMillis: Long) {
        val end = nowMillis + limitMillis
        while (nowMillis < end) {
            nodes.indices.forEach { step(it) }
            nowMillis += SETTLE_STEP_MILLIS
            if (nodes.all { it.owner.counts().let { c -> c.openJobs == 0 && c.isTableUp } } && openRows() == 0) return
        }
    }

    /** What is wrong with the outcome; empty if nothing. */
    fun faults(): List<String> {
        val runs = workers.runs.groupBy { it.key.job }
        val lost = accepted.values.filter { recordOf(it.id)?.state?.isFinal != true }
        val doubled = runs.filter { (id, of) -> accepted[id]?.idempotent == false && of.count { !it.resumed } > 1 }
        val ranThoughRefused = refused.filter { it in runs && it !in accepted }
        val unstarted =
            accepted.keys.filter { id ->
                recordOf(id)?.let { it.state == JobState.CANCELLED && it.attempt == 0 } == true && id in runs
            }
        val invented = accepted.keys.filter { recordOf(it)?.state == JobState.FINISHED && it !in runs }
        val owners = nodes.map { it.owner.counts() }
        return lost.map { "lost ${it.id}: ${recordOf(it.id)} with $owners" } +
            doubled.map { "doubled ${it.key}: ${it.value}" } +
            ranThoughRefused.map { "ran though refused: $it" } +
            unstarted.map { "ran though cancelled before any attempt: $it" } +
            invented.map { "finished without a run: $it" }
    }

    fun recordOf(id: JobId): JobRecord? = acceptance.get(poolOf(0), id, TIMEOUT_MILLIS).valueOrNull()

    private fun openRows(): Int = table.scan("job/", null, 1, TIMEOUT_MILLIS).valueOrNull()?.size ?: 1

    private fun newNode(index: Int): WorldNode {
        val id = NodeId("node-$index-${started++}")
        val table = HookedTable(table) { hooks.beforeCall(index, it) }
        val workers = HookedWorkers(workers) { hooks.beforeCall(index, it) }
        return WorldNode(id, JobOwner(table, workers, id, SETTINGS))
    }

    companion object {
        const val START_MILLIS = 1_000_000L
        const val TIMEOUT_MILLIS = 100L
        const val LEASE_MILLIS = 5_000L
        const val MARGIN_MILLIS = 1_000L
        private const val SETTLE_STEP_MILLIS = 500L
        private val SETTINGS =
            JobOwnerSettings(
                leaseMillis = LEASE_MILLIS,
                leaseMarginMillis = MARGIN_MILLIS,
                renewEveryMillis = 1_000,
                renewEveryWhileBusyMillis = 500,
                maxReclaimDelayMillis = 2_000,
                tableRetryMillis = 500,
                maxTableRetryMillis = 2_000,
                recordRunningAfterMillis = 1_500,
            )

        fun spec(id: String, idempotent: Boolean, priority: Priority = Priority.NORMAL): JobSpec = JobSpec(
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

private class HookedTable(private val table: TableStore, private val before: (CallKind) -> Unit) : TableStore {
    override fun read(keys: List<RowKey>, timeoutMillis: Long): Verdict<List<Row>> {
        before(CallKind.READ)
        return table.read(keys, timeoutMillis)
    }

    override fun scan(prefix: String, after: RowKey?, limit: Int, timeoutMillis: Long): Verdict<List<Row>> {
        before(CallKind.READ)
        return table.scan(prefix, after, limit, timeoutMillis)
    }

    override fun commit(transaction: Transaction, timeoutMillis: Long) =
        before(CallKind.COMMIT).let { table.commit(transaction, timeoutMillis) }
}

private class HookedWorkers(private val workers: WorkerTasks, private val before: (CallKind) -> Unit) : WorkerTasks {
    override fun start(worker: InstanceId, task: TaskStart, timeoutMillis: Long) =
        before(CallKind.START).let { workers.start(worker, task, timeoutMillis) }

    override fun renew(worker: InstanceId, tasks: List<TaskKey>, leaseMillis: Long, timeoutMillis: Long) =
        before(CallKind.OTHER).let { workers.renew(worker, tasks, leaseMillis, timeoutMillis) }

    override fun act(worker: InstanceId, task: TaskKey, action: TaskAction, timeoutMillis: Long) =
        before(CallKind.OTHER).let { workers.act(worker, task, action, timeoutMillis) }

    override fun forget(worker: InstanceId, tasks: List<TaskKey>, timeoutMillis: Long) =
        before(CallKind.OTHER).let { workers.forget(worker, tasks, timeoutMillis) }
}
