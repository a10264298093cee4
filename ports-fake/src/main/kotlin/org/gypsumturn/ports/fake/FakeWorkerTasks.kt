// In-memory workers that keep the contract of the workers' task interface and fail on demand. They live in the
// caller's time: a task's end and the lapse of its lease are worked out when a worker is next asked.

package org.gypsumturn.ports.fake

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.StartOutcome
import org.gypsumturn.ports.TaskAction
import org.gypsumturn.ports.TaskKey
import org.gypsumturn.ports.TaskReport
import org.gypsumturn.ports.TaskStart
import org.gypsumturn.ports.TaskState
import org.gypsumturn.ports.WorkerReport
import org.gypsumturn.ports.WorkerTasks

/** What a task does: it runs for [runMillis], uses [usage], and then finishes or fails. */
public data class TaskScript(
    public val runMillis: Long,
    public val usage: Capacity,
    public val fails: Boolean = false,
    public val output: String = "",
)

/** What happens to a call to a worker. */
public enum class WorkerFault {
    /** The call is served. */
    NONE,

    /** The call fails without effect, and the caller knows it. */
    REFUSE,

    /** The call takes effect, and its answer is lost. */
    LOSE_ANSWER,

    /** The call has no effect, and the caller cannot know it. */
    LOSE_REQUEST,

    /** A start takes effect only with [FakeWorkerTasks.deliverDelayed]; other calls are lost. */
    DELAY,
}

/** One run of a task on a worker, for the checks of tests. */
public data class TaskRun(
    public val key: TaskKey,
    public val worker: InstanceId,
    public val startedAtMillis: Long,
    public val resumed: Boolean,
)

/**
 * Workers in memory. Thread-safe.
 *
 * @param nowMillis the present time
 * @param script what a started task does
 * @param fault decides, before each call, what becomes of it
 */
public class FakeWorkerTasks(
    private val nowMillis: () -> Long,
    private val fault: (InstanceId) -> WorkerFault = { WorkerFault.NONE },
    private val script: (InstanceId, TaskStart) -> TaskScript,
) : WorkerTasks {
    private val workers = HashMap<InstanceId, FakeWorker>()
    private val started = mutableListOf<TaskRun>()
    private val delayed = mutableListOf<Pair<InstanceId, TaskStart>>()

    /** All runs so far, in the order of their start. */
    public val runs: List<TaskRun> @Synchronized get() = started.toList()

    /** Calls served so far. */
    public var calls: Long = 0
        private set

    /** Lets starts that were held up on their way take effect. */
    @Synchronized
    public fun deliverDelayed() {
        delayed.toList().forEach { (worker, task) -> begin(worker, task) }
        delayed.clear()
    }

    /** Reboots [worker]: its tasks are gone, and it remembers nothing. */
    @Synchronized
    public fun reboot(worker: InstanceId) {
        workers.remove(worker)
    }

    @Synchronized
    override fun start(worker: InstanceId, task: TaskStart, timeoutMillis: Long): Verdict<StartOutcome> {
        val happens = fault(worker)
        if (happens == WorkerFault.DELAY) delayed += worker to task
        return serve(happens) { begin(worker, task) }
    }

    @Synchronized
    override fun renew(
        worker: InstanceId,
        tasks: List<TaskKey>,
        leaseMillis: Long,
        timeoutMillis: Long,
    ): Verdict<WorkerReport> = serve(fault(worker)) {
        val fake = at(worker)
        tasks.forEach { key -> fake.tasks[key.job]?.takeIf { it.start.key == key }?.renew(nowMillis(), leaseMillis) }
        WorkerReport(worker, fake.tasks.values.map { it.report(nowMillis()) })
    }

    @Synchronized
    override fun act(worker: InstanceId, task: TaskKey, action: TaskAction, timeoutMillis: Long): Verdict<Unit> =
        serve(fault(worker)) { at(worker).tasks[task.job]?.takeIf { it.start.key == task }?.act(action, nowMillis()) }

    @Synchronized
    override fun forget(worker: InstanceId, tasks: List<TaskKey>, timeoutMillis: Long): Verdict<Unit> =
        serve(fault(worker)) {
            val fake = at(worker)
            tasks.forEach { key -> if (fake.tasks[key.job]?.start?.key == key) fake.tasks.remove(key.job) }
        }

    private fun <T> serve(happens: WorkerFault, call: () -> T): Verdict<T> {
        calls++
        return when (happens) {
            WorkerFault.NONE -> Verdict.Ran(call())

            WorkerFault.REFUSE -> Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "the worker refused the connection"))

            WorkerFault.LOSE_REQUEST, WorkerFault.DELAY -> lost()

            WorkerFault.LOSE_ANSWER -> {
                call()
                lost()
            }
        }
    }

    private fun begin(worker: InstanceId, task: TaskStart): StartOutcome {
        val fake = at(worker)
        val seen = fake.seen[task.key.job]
        if (seen == task.key) return StartOutcome.ALREADY_KNOWN
        if (seen != null && (seen.attempt >= task.key.attempt || seen.epoch > task.key.epoch)) {
            return StartOutcome.REFUSED
        }
        fake.seen[task.key.job] = task.key
        fake.tasks[task.key.job] = FakeTask(task, script(worker, task), nowMillis())
        started += TaskRun(task.key, worker, nowMillis(), task.checkpoint != null)
        return StartOutcome.STARTED
    }

    private fun at(worker: InstanceId): FakeWorker = workers.getOrPut(worker) { FakeWorker() }

    private fun lost() = Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "the worker did not answer"))

    private class FakeWorker {
        val tasks = LinkedHashMap<JobId, FakeTask>()
        val seen = HashMap<JobId, TaskKey>()
    }

    private class FakeTask(val start: TaskStart, private val script: TaskScript, private val startedAtMillis: Long) {
        private var leaseUntilMillis = startedAtMillis + start.leaseMillis
        private var ended: TaskState? = null

        fun renew(nowMillis: Long, leaseMillis: Long) {
            settle(nowMillis)
            if (ended == null) leaseUntilMillis = nowMillis + leaseMillis
        }

        fun act(action: TaskAction, nowMillis: Long) {
            settle(nowMillis)
            if (ended != null) return
            if (action == TaskAction.CHECKPOINT) ended = TaskState.CHECKPOINTED
            if (action == TaskAction.STOP) ended = TaskState.STOPPED
        }

        fun report(nowMillis: Long): TaskReport {
            settle(nowMillis)
            val state = ended ?: TaskState.RUNNING
            val ran = (nowMillis - startedAtMillis).coerceAtMost(script.runMillis)
            val output = if (state == TaskState.CHECKPOINTED) "after $ran ms" else script.output
            return TaskReport(start.key, state, script.usage, ran, output)
        }

        private fun settle(nowMillis: Long) {
            if (ended != null) return
            val endsAt = startedAtMillis + script.runMillis
            if (endsAt <= minOf(nowMillis, leaseUntilMillis)) {
                ended = if (script.fails) TaskState.FAILED else TaskState.FINISHED
            } else if (leaseUntilMillis < nowMillis) {
                ended = TaskState.LEASE_LAPSED
            }
        }
    }
}
