// One exchange with a worker: renew its leases, apply actions, and tell it which ends are recorded. An exchange is put
// together and taken in by the owner's thread; only its calls may run on another one.

package org.gypsumturn.jobs

import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Verdict
import org.gypsumturn.placement.JobAction
import org.gypsumturn.ports.TaskAction
import org.gypsumturn.ports.TaskKey
import org.gypsumturn.ports.WorkerReport
import org.gypsumturn.ports.WorkerTasks

/** An action on a task. */
internal data class TaskOrder(val task: TaskKey, val action: TaskAction)

/**
 * What is to be said to a worker.
 *
 * @property renewals tasks whose leases are renewed; empty for a worker that was silent for a lease
 * @property scheduled the scheduler's actions, to be given back if the worker does not answer
 */
internal class ExchangePlan(
    val link: WorkerLink,
    val renewals: List<TaskKey>,
    val orders: List<TaskOrder>,
    val scheduled: List<JobAction>,
    val forgettable: List<TaskKey>,
)

/** How a worker answered. */
internal class ExchangeAnswer(val report: Verdict<WorkerReport>, val forgotten: List<TaskKey>)

/** Carries out exchanges; keeps no state, so several may run at once. */
internal class WorkerExchange(private val workers: WorkerTasks, private val settings: JobOwnerSettings) {
    fun run(plan: ExchangePlan): ExchangeAnswer {
        val worker: InstanceId = plan.link.id
        val timeout = settings.workerTimeoutMillis
        val report = workers.renew(worker, plan.renewals, settings.leaseMillis, timeout)
        if (report !is Verdict.Ran) return ExchangeAnswer(report, emptyList())
        plan.orders.forEach { workers.act(worker, it.task, it.action, timeout) }
        if (plan.forgettable.isEmpty()) return ExchangeAnswer(report, emptyList())
        val answer = workers.forget(worker, plan.forgettable, timeout)
        return ExchangeAnswer(report, if (answer is Verdict.Ran) plan.forgettable else emptyList())
    }
}

/** Runs [call] for each of [items] through [inParallel]; the answers are in the order of [items]. */
internal fun <T, R> callAll(items: List<T>, inParallel: ParallelCalls, call: (T) -> R): List<R> {
    val answers = arrayOfNulls<Any?>(items.size)
    val calls = items.mapIndexed { index, item -> { answers[index] = call(item) } }
    if (calls.isNotEmpty()) inParallel(calls)
    @Suppress("UNCHECKED_CAST")
    return answers.toList() as List<R>
}
