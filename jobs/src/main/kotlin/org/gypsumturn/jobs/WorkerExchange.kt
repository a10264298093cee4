// One exchange with a worker: renews its leases, applies actions to its tasks, and tells it which ended tasks it may
// forget. The owner's thread plans the exchange and handles the answer; only the calls may run on another thread.

package org.gypsumturn.jobs

import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Verdict
import org.gypsumturn.placement.JobAction
import org.gypsumturn.ports.TaskAction
import org.gypsumturn.ports.TaskKey
import org.gypsumturn.ports.WorkerReport
import org.gypsumturn.ports.WorkerTasks

/** An action to apply to a task. */
internal data class TaskActionRequest(val task: TaskKey, val action: TaskAction)

/**
 * The calls to make to a worker.
 *
 * @property renewals tasks whose leases are renewed; empty if the worker has not answered for the length of a lease
 * @property schedulerActions actions of the scheduler, which are returned to it if the worker does not answer
 * @property tasksToForget ended tasks whose ends are recorded in the table
 */
internal class ExchangePlan(
    val trackedWorker: TrackedWorker,
    val renewals: List<TaskKey>,
    val actions: List<TaskActionRequest>,
    val schedulerActions: List<JobAction>,
    val tasksToForget: List<TaskKey>,
)

/** Answer of a worker: its report, and the ended tasks that it has forgotten. */
internal class ExchangeAnswer(val report: Verdict<WorkerReport>, val forgottenTasks: List<TaskKey>)

/** Makes the calls of exchanges. It keeps no state, so several exchanges can run at the same time. */
internal class WorkerExchange(private val workers: WorkerTasks, private val settings: JobOwnerSettings) {
    fun run(plan: ExchangePlan): ExchangeAnswer {
        val worker: InstanceId = plan.trackedWorker.id
        val timeout = settings.workerTimeoutMillis
        val report = workers.renew(worker, plan.renewals, settings.leaseMillis, timeout)
        if (report !is Verdict.Ran) return ExchangeAnswer(report, emptyList())
        plan.actions.forEach { workers.act(worker, it.task, it.action, timeout) }
        if (plan.tasksToForget.isEmpty()) return ExchangeAnswer(report, emptyList())
        val answer = workers.forget(worker, plan.tasksToForget, timeout)
        return ExchangeAnswer(report, if (answer is Verdict.Ran) plan.tasksToForget else emptyList())
    }
}

/** Runs [call] for each of [items] through [parallelCalls] and returns the answers in the order of [items]. */
internal fun <T, R> callAll(items: List<T>, parallelCalls: ParallelCalls, call: (T) -> R): List<R> {
    val answers = arrayOfNulls<Any?>(items.size)
    val calls = items.mapIndexed { index, item -> { answers[index] = call(item) } }
    if (calls.isNotEmpty()) parallelCalls(calls)
    @Suppress("UNCHECKED_CAST")
    return answers.toList() as List<R>
}
