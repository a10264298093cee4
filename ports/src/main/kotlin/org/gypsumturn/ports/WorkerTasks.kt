// Port to the workers, which run tasks. A task runs under a lease, its reported usage lags behind its actual usage, and
// it can be throttled, checkpointed or stopped.

package org.gypsumturn.ports

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Verdict

/** Identifies one attempt to run a job. A worker refuses an attempt with an older epoch or number than it has seen. */
public data class TaskKey(public val job: JobId, public val attempt: Int, public val epoch: Epoch)

/** Parameters of a task. The worker stops the task if its lease is not renewed within [leaseMillis]. */
public data class TaskStart(
    public val key: TaskKey,
    public val limit: Capacity,
    public val leaseMillis: Long,
    public val payload: String,
    public val checkpoint: String? = null,
)

/** Answer of a worker to the start of a task. */
public enum class StartOutcome { STARTED, ALREADY_KNOWN, REFUSED }

/** State of a task on its worker. */
public enum class TaskState { RUNNING, CHECKPOINTED, FINISHED, FAILED, STOPPED, LEASE_LAPSED }

/** Report of a worker about a task. [usage] lags behind the actual usage; [ranMillis] is the run time so far. */
public data class TaskReport(
    public val key: TaskKey,
    public val state: TaskState,
    public val usage: Capacity,
    public val ranMillis: Long,
    public val output: String = "",
)

/** Report of a worker about all its tasks, including ended ones that have not been forgotten. */
public data class WorkerReport(public val worker: InstanceId, public val tasks: List<TaskReport>)

/** Action on a running task. */
public enum class TaskAction { THROTTLE, UNTHROTTLE, CHECKPOINT, STOP }

/** Calls to the workers. They block until an answer or the timeout. */
public interface WorkerTasks {
    /** Starts a task on [worker]. */
    public fun start(worker: InstanceId, task: TaskStart, timeoutMillis: Long): Verdict<StartOutcome>

    /** Renews the leases of [tasks] on [worker] and returns its report. Ended tasks are reported until [forget]. */
    public fun renew(
        worker: InstanceId,
        tasks: List<TaskKey>,
        leaseMillis: Long,
        timeoutMillis: Long,
    ): Verdict<WorkerReport>

    /** Applies [action] to the running [task] on [worker]. */
    public fun act(worker: InstanceId, task: TaskKey, action: TaskAction, timeoutMillis: Long): Verdict<Unit>

    /** Confirms to [worker] that the ends of [tasks] have been recorded, so that it need not report them again. */
    public fun forget(worker: InstanceId, tasks: List<TaskKey>, timeoutMillis: Long): Verdict<Unit>
}
