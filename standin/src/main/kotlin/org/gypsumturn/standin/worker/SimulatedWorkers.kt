// Workers that run tasks under leases. A task whose lease is not renewed stops by itself; an attempt or epoch that is
// older than one seen before is refused. A worker that has rebooted remembers nothing.

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
 * The workers' task interface. Thread-safe.
 *
 * @param usageLagMillis time until the usage of a task is reported
 * @param faultOf the fault in force at a worker
 * @param isAway whether a worker is away for a reboot
 */
internal class SimulatedWorkers(
    workers: List<InstanceId>,
    private val usageLagMillis: Long,
    private val executions: ExecutionLog,
    private val faultOf: (InstanceId) -> InstanceFault,
    private val isAway: (InstanceId) -> Boolean,
    private val nowMillis: () -> Long,
) : WorkerTasks {
    private class Worker {
        val tasks = LinkedHashMap<TaskKey, SimulatedTask>()
        val newest = HashMap<JobId, TaskKey>()
    }

    private val byId = workers.associateWith { Worker() }

    fun isWorker(instance: InstanceId): Boolean = instance in byId

    /** Ends everything on [worker], which forgets all that it has seen. What ran is logged as cut. */
    @Synchronized
    fun reboot(worker: InstanceId) {
        val rebooted = byId[worker] ?: return
        val tasks = rebooted.tasks
        val now = nowMillis()
        tasks.values.forEach { it.advance(now) }
        tasks.values.filter { it.state == TaskState.RUNNING }.forEach { executions.interrupted("job:${it.key.job}") }
        tasks.clear()
        rebooted.newest.clear()
    }

    override fun start(worker: InstanceId, task: TaskStart, timeoutMillis: Long): Verdict<StartOutcome> =
        on(worker) { found, fault ->
            val newest = found.newest[task.key.job]
            when {
                task.key == newest -> StartOutcome.ALREADY_KNOWN
                newest != null && isOutdated(task.key, newest) -> StartOutcome.REFUSED
                fault == InstanceFault.ERROR -> StartOutcome.REFUSED
                else -> begin(found, task, fault)
            }
        }

    private fun begin(worker: Worker, task: TaskStart, fault: InstanceFault): StartOutcome {
        val now = nowMillis()
        worker.tasks.values.filter { it.key.job == task.key.job }.forEach { it.act(TaskAction.STOP, now) }
        worker.newest[task.key.job] = task.key
        worker.tasks[task.key] = SimulatedTask(task, fault, now)
        executions.job(task.key.job.value)
        return StartOutcome.STARTED
    }

    override fun renew(
        worker: InstanceId,
        tasks: List<TaskKey>,
        leaseMillis: Long,
        timeoutMillis: Long,
    ): Verdict<WorkerReport> = on(worker) { found, _ ->
        val now = nowMillis()
        tasks.forEach { found.tasks[it]?.renew(leaseMillis, now) }
        WorkerReport(worker, found.tasks.values.map { it.report(now, usageLagMillis) })
    }

    override fun act(worker: InstanceId, task: TaskKey, action: TaskAction, timeoutMillis: Long): Verdict<Unit> =
        on(worker) { found, _ -> found.tasks[task]?.act(action, nowMillis()) ?: Unit }

    override fun forget(worker: InstanceId, tasks: List<TaskKey>, timeoutMillis: Long): Verdict<Unit> =
        on(worker) { found, _ ->
            val now = nowMillis()
            tasks.forEach { key ->
                found.tasks[key]?.advance(now)
                if (found.tasks[key]?.state != TaskState.RUNNING) found.tasks.remove(key)
            }
        }

    @Synchronized
    private fun <T> on(worker: InstanceId, apply: (Worker, InstanceFault) -> T): Verdict<T> {
        val found = byId[worker] ?: return Verdict.NotRun(Failure(FailureKind.INVALID, "no worker $worker"))
        val fault = faultOf(worker)
        return when {
            isAway(worker) || fault == InstanceFault.REFUSE ->
                Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "worker $worker is away"))

            fault == InstanceFault.SILENT -> unanswered(worker)

            else -> {
                val value = apply(found, fault)
                if (fault == InstanceFault.CUT) unanswered(worker) else Verdict.Ran(value)
            }
        }
    }

    private fun unanswered(worker: InstanceId) =
        Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "worker $worker did not answer"))

    private fun isOutdated(key: TaskKey, newest: TaskKey): Boolean =
        key.epoch < newest.epoch || key.attempt <= newest.attempt
}
