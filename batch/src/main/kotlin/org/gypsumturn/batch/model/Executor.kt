// Executors and machines as the platform lists them, and what an executor reports of the runs on it.

package org.gypsumturn.batch.model

import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId

/** Start time of an executor in milliseconds since 1970: tells its lifetimes apart where its id stays. */
@JvmInline
public value class Lifetime(public val startedAtMillis: Long)

/** An executor as it registered itself. */
public data class ExecutorRecord(
    public val id: InstanceId,
    public val lifetime: Lifetime,
    public val pool: PoolId,
    public val address: String,
    public val dataCentre: DataCentreId,
    public val capacity: Size,
    public val labels: Set<String>,
    public val draining: Boolean,
    public val remainingMillis: Long?,
) {
    /** The rack among the labels, or empty. Racks are the labels that name a row and a place. */
    public val rack: String get() = labels.firstOrNull { RACK_LABEL.matches(it) }.orEmpty()

    private companion object {
        val RACK_LABEL = Regex("r\\d+-\\d+")
    }
}

/** State of a machine in the platform's list. */
public enum class MachineState { UP, MOVING, UPKEEP, DOWN, UNKNOWN }

/** A machine in the platform's list; [executor] runs on it, if any does. */
public data class MachineRecord(
    public val id: MachineId,
    public val pool: PoolId,
    public val state: MachineState,
    public val executor: InstanceId?,
    public val labels: Set<String>,
    public val capacity: Size,
)

/** How a run ended. */
public enum class RunEnd { DONE, FAILED, STOPPED, LAPSED, BROKEN, ALONE }

/**
 * A run that an executor lists as running.
 *
 * @property percent progress; for a long-running task, 100 when it is at work
 * @property load tail of response times in milliseconds of a serving task; processors in use, in thousandths,
 * otherwise
 */
public data class ListedRun(
    public val run: RunId,
    public val checkpoint: String,
    public val percent: Int,
    public val load: Long,
)

/** A run that an executor lists as ended, with the executor's running [number] of it. */
public data class ListedEnd(
    public val number: Long,
    public val run: RunId,
    public val end: RunEnd,
    public val checkpoint: String,
)

/** Answer of an executor that was looked at. [clockMillis] is its own steady clock. */
public class ExecutorReport(
    public val clockMillis: Long,
    public val lifetime: Lifetime?,
    public val running: List<ListedRun>,
    public val ended: List<ListedEnd>,
)

/** Answer of an executor to an order. */
public sealed interface OrderAnswer {
    /** Carried out; the executor's clock is given where it told it. */
    public data class Done(public val clockMillis: Long?) : OrderAnswer

    /** Refused; nothing was done. */
    public data class Refused(public val reason: RefusalReason, public val clockMillis: Long?) : OrderAnswer
}

/** Why an executor refused an order. */
public enum class RefusalReason {
    /** A holder with a higher epoch has ordered before. */
    FENCED,

    /** A run that is as new or newer was stopped or has ended there. */
    SUPERSEDED,

    /** The lease that the order carried had passed. */
    LATE,

    /** The task does not fit. */
    NO_ROOM,

    /** The ticket is missing or has expired. */
    TICKET,

    /** Another executor, or another lifetime of it, has the address now. */
    OTHER_INSTANCE,

    /** The executor is unhealthy or overloaded. */
    UNHEALTHY,

    /** The executor could not read the order, or knows nothing of what it names. */
    INVALID,
}
