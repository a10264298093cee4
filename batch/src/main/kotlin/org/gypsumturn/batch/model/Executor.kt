// Executors and machines as the platform lists them, and the answers of executors: reports of their runs, and replies
// to orders.

package org.gypsumturn.batch.model

import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId

/** Incarnation of an executor: its start time in milliseconds since 1970. A restarted executor may keep its id. */
@JvmInline
public value class Incarnation(public val startedAtMillis: Long)

/**
 * An executor's entry in the registry.
 *
 * @property address host and port to call it at
 * @property draining whether it is being drained and therefore gets no new runs
 * @property remainingMillis time that is left until the drain ends; null where that is not known
 */
public data class ExecutorRecord(
    public val id: InstanceId,
    public val incarnation: Incarnation,
    public val pool: PoolId,
    public val address: String,
    public val dataCentre: DataCentreId,
    public val capacity: ResourceAmounts,
    public val labels: Set<String>,
    public val draining: Boolean,
    public val remainingMillis: Long?,
) {
    /** The rack among the labels, or empty. A rack label has the form `r<row>-<place>`. */
    public val rack: String get() = labels.firstOrNull { RACK_LABEL.matches(it) }.orEmpty()

    private companion object {
        val RACK_LABEL = Regex("r\\d+-\\d+")
    }
}

/** State of a machine in the platform's list. */
public enum class MachineState { UP, MOVING, UPKEEP, DOWN, UNKNOWN }

/** A machine in the platform's list. [executor] is the one that runs on it; null where none does. */
public data class MachineRecord(
    public val id: MachineId,
    public val pool: PoolId,
    public val state: MachineState,
    public val executor: InstanceId?,
    public val labels: Set<String>,
    public val capacity: ResourceAmounts,
)

/** How a run ended, as its executor reports it. Only [DONE] completes the task; only [FAILED] counts as a failure. */
public enum class RunEnd { DONE, FAILED, STOPPED, LAPSED, BROKEN, ALONE }

/**
 * A run that an executor reports as running.
 *
 * @property checkpoint the progress that the task saved last; empty for none
 * @property percent progress; a long-running task reports 100 once it serves requests
 * @property load for a task that serves requests, its tail latency in milliseconds; for any other task, the processors
 * in use, in thousandths of a core
 */
public data class ReportedRun(
    public val run: RunId,
    public val checkpoint: String,
    public val percent: Int,
    public val load: Long,
)

/** A run that an executor reports as ended. Polls acknowledge it by its [endNumber], which rises with each end. */
public data class ReportedRunEnd(
    public val endNumber: Long,
    public val run: RunId,
    public val end: RunEnd,
    public val checkpoint: String,
)

/**
 * Report of an executor on its runs.
 *
 * @property clockMillis the executor's own monotonic clock when it made the report
 * @property incarnation the executor's incarnation; null where it did not report one
 * @property endsComplete whether [ended] has all ends that were not acknowledged. If not, a run that is in neither list
 * may have ended.
 */
public class ExecutorReport(
    public val clockMillis: Long,
    public val incarnation: Incarnation?,
    public val running: List<ReportedRun>,
    public val ended: List<ReportedRunEnd>,
    public val endsComplete: Boolean = true,
)

/** Answer of an executor to an order. */
public sealed interface OrderAnswer {
    /** The order was carried out. [clockMillis] is the executor's clock; null where the answer did not include it. */
    public data class Done(public val clockMillis: Long?) : OrderAnswer

    /** The order was refused and had no effect. [clockMillis] is as in [Done]. */
    public data class Refused(public val reason: RefusalReason, public val clockMillis: Long?) : OrderAnswer
}

/** Why an executor refused an order. */
public enum class RefusalReason {
    /** The executor has already received an order with a higher epoch, which is the fencing token. */
    FENCED,

    /** The same or a later attempt of the task was stopped or has ended on this executor. */
    SUPERSEDED,

    /** The lease in the order had already expired when the order arrived. */
    LATE,

    /** The task does not fit into the free capacity. */
    NO_ROOM,

    /** The advisor's ticket is missing or has expired. */
    TICKET,

    /** The address now belongs to another executor, or to another incarnation of this one. */
    OTHER_INSTANCE,

    /** The executor is unhealthy or overloaded. */
    UNHEALTHY,

    /** The order is malformed, or names something that the executor does not know. */
    INVALID,
}
