// Port to the workers' task interface: tasks run under leases, report their usage with a lag, and can be throttled,
// checkpointed or stopped.

package org.gypsumturn.ports

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Verdict

/** One attempt to run a job. A worker refuses an attempt whose epoch or number is older than one it has seen. */
public data class TaskKey(public val job: JobId, public val attempt: Int, public val epoch: Epoch)

/** What a worker needs to start a task. The task is stopped when its lease is not renewed within [leaseMillis]. */
public data class TaskStart(
    public val key: TaskKey,
    public val limit: Capacity,
    public val leaseMillis: Long,
    public val payload: String,
    public val checkpoint: String? = null,
)

/** How a worker answered a start. */
public enum class StartOutcome { STARTED, ALREADY_KNOWN, REFUSED }

/** State of a task on its worker. */
public enum class TaskState { RUNNING, CHECKPOINTED, FINISHED, FAILED, STOPPED, LEASE_LAPSED }

/** What a worker reports of a task. [usage] lags behind the truth. */
public data class TaskReport(
    public val key: TaskKey,
    public val state: TaskState,
    public val usage: Capacity,
    public val ranMillis: Long,
    public val output: String = "",
)

/** Report of one worker about all tasks that it knows. */
public data class WorkerReport(public val worker: InstanceId, public val tasks: List<TaskReport>)

/** What can be done to a running task. */
public enum class TaskAction { THROTTLE, UNTHROTTLE, CHECKPOINT, STOP }

/** The workers' task interface. Calls block until an answer or the timeout. */
public interface WorkerTasks {
    /** Starts a task on [worker]. */
    public fun start(worker: InstanceId, task: TaskStart, timeoutMillis: Long): Verdict<StartOutcome>

    /** Renews the leases of [tasks] on [worker] and returns its report. Reported ends are kept until [forget]. */
    public fun renew(
        worker: InstanceId,
        tasks: List<TaskKey>,
        leaseMillis: Long,
        timeoutMillis: Long,
    ): Verdict<WorkerReport>

    /** Applies [action] to a task. */
    public fun act(worker: InstanceId, task: TaskKey, action: TaskAction, timeoutMillis: Long): Verdict<Unit>

    /** Tells [worker] that the ends of [tasks] are recorded and need not be reported again. */
    public fun forget(worker: InstanceId, tasks: List<TaskKey>, timeoutMillis: Long): Verdict<Unit>
}
