// In-memory workers for tests and simulations. They implement the contract of the workers' task interface and can be
// made to fail on demand. They have no threads or timers: each call works out from the current time which tasks have
// ended and which leases have lapsed.

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

/** Behaviour of a task: it runs for [runMillis], uses [usage], and then finishes, or fails if [fails] is true. */
public data class TaskScript(
    public val runMillis: Long,
    public val usage: Capacity,
    public val fails: Boolean = false,
    public val output: String = "",
)

/** Fault applied to a call to a worker. */
public enum class WorkerFault {
    /** The call succeeds. */
    NONE,

    /** The call has no effect, and the caller is told so. */
    REFUSE,

    /** The call takes effect, but the caller gets no answer. */
    LOSE_ANSWER,

    /** The call has no effect, and the caller gets no answer, so it cannot tell this from [LOSE_ANSWER]. */
    LOSE_REQUEST,

    /**
     * The caller gets no answer. A start takes effect when [FakeWorkerTasks.deliverDelayedStarts] is called; any other
     * call has no effect.
     */
    DELAY,
}

/** A start of a task that took effect on a worker. [resumed] tells whether it was started from a checkpoint. */
public data class TaskRun(
    public val key: TaskKey,
    public val worker: InstanceId,
    public val startedAtMillis: Long,
    public val resumed: Boolean,
)

/**
 * Workers in memory. Thread-safe. Every instance id is accepted as that of a worker.
 *
 * @param nowMillis returns the current time in milliseconds
 * @param fault called once for each call, returns the fault to apply to it
 * @param script called for each task that starts, returns how it behaves
 */
public class FakeWorkerTasks(
    private val nowMillis: () -> Long,
    private val fault: (InstanceId) -> WorkerFault = { WorkerFault.NONE },
    private val script: (InstanceId, TaskStart) -> TaskScript,
) : WorkerTasks {
    private val workers = HashMap<InstanceId, FakeWorker>()
    private val startedRuns = mutableListOf<TaskRun>()
    private val delayedStarts = mutableListOf<Pair<InstanceId, TaskStart>>()

    /** All starts that took effect so far, in their order. */
    public val runs: List<TaskRun> @Synchronized get() = startedRuns.toList()

    /** Number of calls so far, including those that failed. */
    public var calls: Long = 0
        private set

    /** Applies the starts that [WorkerFault.DELAY] has held back, in their order. */
    @Synchronized
    public fun deliverDelayedStarts() {
        delayedStarts.toList().forEach { (worker, task) -> startTask(worker, task) }
        delayedStarts.clear()
    }

    /** Reboots [worker], which loses its tasks and no longer knows which attempts it has seen. */
    @Synchronized
    public fun reboot(worker: InstanceId) {
        workers.remove(worker)
    }

    @Synchronized
    override fun start(worker: InstanceId, task: TaskStart, timeoutMillis: Long): Verdict<StartOutcome> {
        val nextFault = fault(worker)
        if (nextFault == WorkerFault.DELAY) delayedStarts += worker to task
        return serve(nextFault) { startTask(worker, task) }
    }

    @Synchronized
    override fun renew(
        worker: InstanceId,
        tasks: List<TaskKey>,
        leaseMillis: Long,
        timeoutMillis: Long,
    ): Verdict<WorkerReport> = serve(fault(worker)) {
        val state = workerState(worker)
        tasks.forEach { key -> state.tasks[key.job]?.takeIf { it.start.key == key }?.renew(nowMillis(), leaseMillis) }
        WorkerReport(worker, state.tasks.values.map { it.report(nowMillis()) })
    }

    @Synchronized
    override fun act(worker: InstanceId, task: TaskKey, action: TaskAction, timeoutMillis: Long): Verdict<Unit> =
        serve(fault(worker)) {
            workerState(worker).tasks[task.job]?.takeIf { it.start.key == task }?.act(action, nowMillis())
        }

    @Synchronized
    override fun forget(worker: InstanceId, tasks: List<TaskKey>, timeoutMillis: Long): Verdict<Unit> =
        serve(fault(worker)) {
            val state = workerState(worker)
            tasks.forEach { key -> if (state.tasks[key.job]?.start?.key == key) state.tasks.remove(key.job) }
        }

    private fun <T> serve(fault: WorkerFault, call: () -> T): Verdict<T> {
        calls++
        return when (fault) {
            WorkerFault.NONE -> Verdict.Ran(call())

            WorkerFault.REFUSE -> Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "the worker refused the connection"))

            WorkerFault.LOSE_REQUEST, WorkerFault.DELAY -> answerTimeout()

            WorkerFault.LOSE_ANSWER -> {
                call()
                answerTimeout()
            }
        }
    }

    private fun startTask(worker: InstanceId, task: TaskStart): StartOutcome {
        val state = workerState(worker)
        val newest = state.newestKeys[task.key.job]
        if (newest == task.key) return StartOutcome.ALREADY_KNOWN
        if (newest != null && (newest.attempt >= task.key.attempt || newest.epoch > task.key.epoch)) {
            return StartOutcome.REFUSED
        }
        state.newestKeys[task.key.job] = task.key
        state.tasks[task.key.job] = FakeTask(task, script(worker, task), nowMillis())
        startedRuns += TaskRun(task.key, worker, nowMillis(), task.checkpoint != null)
        return StartOutcome.STARTED
    }

    private fun workerState(worker: InstanceId): FakeWorker = workers.getOrPut(worker) { FakeWorker() }

    private fun answerTimeout() = Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "the worker did not answer"))

    private class FakeWorker {
        val tasks = LinkedHashMap<JobId, FakeTask>()
        val newestKeys = HashMap<JobId, TaskKey>()
    }

    private class FakeTask(val start: TaskStart, private val script: TaskScript, private val startedAtMillis: Long) {
        private var leaseUntilMillis = startedAtMillis + start.leaseMillis
        private var endState: TaskState? = null

        fun renew(nowMillis: Long, leaseMillis: Long) {
            updateState(nowMillis)
            if (endState == null) leaseUntilMillis = nowMillis + leaseMillis
        }

        fun act(action: TaskAction, nowMillis: Long) {
            updateState(nowMillis)
            if (endState != null) return
            if (action == TaskAction.CHECKPOINT) endState = TaskState.CHECKPOINTED
            if (action == TaskAction.STOP) endState = TaskState.STOPPED
        }

        fun report(nowMillis: Long): TaskReport {
            updateState(nowMillis)
            val state = endState ?: TaskState.RUNNING
            val ranMillis = (nowMillis - startedAtMillis).coerceAtMost(script.runMillis)
            val output = if (state == TaskState.CHECKPOINTED) "after $ranMillis ms" else script.output
            return TaskReport(start.key, state, script.usage, ranMillis, output)
        }

        private fun updateState(nowMillis: Long) {
            if (endState != null) return
            val finishMillis = startedAtMillis + script.runMillis
            if (finishMillis <= minOf(nowMillis, leaseUntilMillis)) {
                endState = if (script.fails) TaskState.FAILED else TaskState.FINISHED
            } else if (leaseUntilMillis < nowMillis) {
                endState = TaskState.LEASE_LAPSED
            }
        }
    }
}
