// Simulated workers, which run tasks under leases. A task whose lease is not renewed stops. A worker refuses an attempt
// that is not newer than the newest one it has seen for the job, or that has an older epoch. It loses this knowledge
// when it reboots.

package org.gypsumturn.standin.worker

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.StartOutcome
import org.gypsumturn.ports.TaskAction
import org.gypsumturn.ports.TaskKey
import org.gypsumturn.ports.TaskStart
import org.gypsumturn.ports.TaskState
import org.gypsumturn.ports.WorkerReport
import org.gypsumturn.ports.WorkerTasks
import org.gypsumturn.standin.ExecutionLog
import org.gypsumturn.standin.fault.InstanceFault

/**
 * Implements the workers' task interface. Thread-safe.
 *
 * @param usageLagMillis time from the start of a task until its usage is reported
 * @param faultOf returns the active fault of a worker
 * @param isRebooting whether a worker is rebooting now
 * @param nowMillis returns the current time in milliseconds
 */
internal class SimulatedWorkers(
    workers: List<InstanceId>,
    private val usageLagMillis: Long,
    private val executions: ExecutionLog,
    private val faultOf: (InstanceId) -> InstanceFault,
    private val isRebooting: (InstanceId) -> Boolean,
    private val nowMillis: () -> Long,
) : WorkerTasks {
    private class Worker {
        val tasks = LinkedHashMap<TaskKey, SimulatedTask>()
        val newestKeys = HashMap<JobId, TaskKey>()
    }

    private val workersById = workers.associateWith { Worker() }

    fun isWorker(instance: InstanceId): Boolean = instance in workersById

    /** Removes all tasks of [worker] and its knowledge of attempts. Running tasks are recorded as interrupted. */
    @Synchronized
    fun reboot(worker: InstanceId) {
        val rebootingWorker = workersById[worker] ?: return
        val tasks = rebootingWorker.tasks
        val currentMillis = nowMillis()
        tasks.values.forEach { it.advance(currentMillis) }
        tasks.values
            .filter { it.state == TaskState.RUNNING }
            .forEach { executions.recordInterruption("job:${it.key.job}") }
        tasks.clear()
        rebootingWorker.newestKeys.clear()
    }

    override fun start(worker: InstanceId, task: TaskStart, timeoutMillis: Long): Verdict<StartOutcome> =
        callWorker(worker) { state, fault ->
            val newest = state.newestKeys[task.key.job]
            when {
                task.key == newest -> StartOutcome.ALREADY_KNOWN
                newest != null && isOutdated(task.key, newest) -> StartOutcome.REFUSED
                fault == InstanceFault.ERROR -> StartOutcome.REFUSED
                else -> startTask(state, task, fault)
            }
        }

    private fun startTask(worker: Worker, task: TaskStart, fault: InstanceFault): StartOutcome {
        val currentMillis = nowMillis()
        worker.tasks.values.filter { it.key.job == task.key.job }.forEach { it.act(TaskAction.STOP, currentMillis) }
        worker.newestKeys[task.key.job] = task.key
        worker.tasks[task.key] = SimulatedTask(task, fault, currentMillis)
        executions.countJobStart(task.key.job.value)
        return StartOutcome.STARTED
    }

    override fun renew(
        worker: InstanceId,
        tasks: List<TaskKey>,
        leaseMillis: Long,
        timeoutMillis: Long,
    ): Verdict<WorkerReport> = callWorker(worker) { state, _ ->
        val currentMillis = nowMillis()
        tasks.forEach { state.tasks[it]?.renew(leaseMillis, currentMillis) }
        WorkerReport(worker, state.tasks.values.map { it.report(currentMillis, usageLagMillis) })
    }

    override fun act(worker: InstanceId, task: TaskKey, action: TaskAction, timeoutMillis: Long): Verdict<Unit> =
        callWorker(worker) { state, _ -> state.tasks[task]?.act(action, nowMillis()) ?: Unit }

    override fun forget(worker: InstanceId, tasks: List<TaskKey>, timeoutMillis: Long): Verdict<Unit> =
        callWorker(worker) { state, _ ->
            val currentMillis = nowMillis()
            tasks.forEach { key ->
                state.tasks[key]?.advance(currentMillis)
                if (state.tasks[key]?.state != TaskState.RUNNING) state.tasks.remove(key)
            }
        }

    @Synchronized
    private fun <T> callWorker(worker: InstanceId, apply: (Worker, InstanceFault) -> T): Verdict<T> {
        val state =
            workersById[worker] ?: return Verdict.NotRun(Failure(FailureKind.INVALID, "no worker $worker"))
        val fault = faultOf(worker)
        return when {
            isRebooting(worker) || fault == InstanceFault.REFUSE ->
                Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "worker $worker is away"))

            fault == InstanceFault.SILENT -> answerTimeout(worker)

            else -> {
                val value = apply(state, fault)
                if (fault == InstanceFault.CUT) answerTimeout(worker) else Verdict.Ran(value)
            }
        }
    }

    private fun answerTimeout(worker: InstanceId) =
        Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "worker $worker did not answer"))

    private fun isOutdated(key: TaskKey, newest: TaskKey): Boolean =
        key.epoch < newest.epoch || key.attempt <= newest.attempt
}
