// Ports of the batch scheduler: the interfaces to the store, the executors, the platform's machines and the placement
// advisor. Calls do not block. Each passes its verdict to a callback exactly once, from any thread of the adapter.

package org.gypsumturn.batch.port

import org.gypsumturn.batch.model.ExecutorRecord
import org.gypsumturn.batch.model.ExecutorReport
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.batch.model.OrderAnswer
import org.gypsumturn.batch.model.RefusalReason
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.model.TaskName
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

/** Receives the verdict on a call. It is called exactly once. */
public typealias VerdictCallback<T> = (Verdict<T>) -> Unit

/** Address of a row. One transaction can write rows of one partition, also in different tables. */
public data class RowAddress(public val table: String, public val partition: String, public val key: String)

/** A row as read from the store. [value] is null where the row was removed. */
public class StoredRow(public val address: RowAddress, public val revision: Revision, public val value: ByteArray?)

/** Requires that a row has [revision]. [Revision.ABSENT] requires that the row does not exist. */
public data class RowCondition(public val address: RowAddress, public val revision: Revision)

/** Writes [value] to a row; null removes the row. */
public class RowWrite(public val address: RowAddress, public val value: ByteArray?)

/** An atomic transaction on one partition: the [writes] take effect together if all [conditions] hold. */
public class RowTransaction(public val conditions: List<RowCondition>, public val writes: List<RowWrite>)

/** The store's answer to a transaction. `storeMillis` is the store's monotonic clock, here and in all other answers. */
public sealed interface TransactionOutcome {
    /** All writes took effect, and the rows now have [revision]. */
    public data class Committed(public val revision: Revision, public val storeMillis: Long) : TransactionOutcome

    /** A condition did not hold and nothing was written. [current] holds the rows of the conditions that exist. */
    public class Conflict(public val current: List<StoredRow>) : TransactionOutcome
}

/** One page of the rows of a partition, read at [revision]. */
public class RowPage(
    public val rows: List<StoredRow>,
    public val hasMore: Boolean,
    public val revision: Revision,
    public val storeMillis: Long,
) {
    /** The key at which the next page starts; null on the last page. */
    public val nextKey: String? get() = if (hasMore && rows.isNotEmpty()) rows.last().address.key + "\u0000" else null
}

/** The changes of a table since a revision, if the store still knows them. */
public sealed interface RowChanges {
    /** The changed [rows], in the order of the changes. The next call continues after [revision]. */
    public class Known(public val rows: List<StoredRow>, public val revision: Revision, public val storeMillis: Long) :
        RowChanges

    /** The store has discarded the history since that revision. The table must be read again. */
    public data object Discarded : RowChanges
}

/** Access to the rows of the store. [Verdict.NotRun] on a transaction means that it never takes effect. */
public interface RowStore {
    /** Applies [transaction] if all of its conditions hold. */
    public fun transact(
        transaction: RowTransaction,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<TransactionOutcome>,
    )

    /** Reads at most [limit] rows of a partition, in the order of their keys; null for [from] starts at the first. */
    public fun read(
        table: String,
        partition: String,
        from: String?,
        limit: Int,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<RowPage>,
    )

    /** Long poll: waits up to [waitMillis] for changes of [table] that are later than [after]. */
    public fun awaitChanges(
        table: String,
        after: Revision,
        waitMillis: Long,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<RowChanges>,
    )
}

/** An update that the operator or an executor has published in the store. */
public sealed interface FleetUpdate {
    /** The operator has applied a new configuration. */
    public class ConfigurationChanged(public val configuration: FleetConfiguration) : FleetUpdate

    /** The operator has requested a wave of upkeep. */
    public class WaveRequested(public val wave: UpkeepWave) : FleetUpdate

    /** An executor has registered, or its registry entry has changed. */
    public class ExecutorListed(public val executor: ExecutorRecord) : FleetUpdate

    /** An executor's registry entry was removed, or has a state in which the executor can't be used. */
    public class ExecutorUnlisted(public val id: InstanceId) : FleetUpdate

    /** The row [key] can't be decoded. What was known of its content before stays in force. */
    public class Unreadable(public val key: String, public val reason: String) : FleetUpdate
}

/**
 * Updates of one kind.
 *
 * @property updates null where the store has discarded the history, so that everything must be read again
 * @property revision where [FleetUpdateFeed.awaitUpdates] continues
 */
public class FleetUpdatePage(
    public val updates: List<FleetUpdate>?,
    public val revision: Revision,
    public val storeMillis: Long,
)

/** Kinds of updates, by who publishes them. */
public enum class FleetUpdateKind { OPERATOR, EXECUTORS }

/** The updates that the operator and the executors publish in the store. */
public interface FleetUpdateFeed {
    /** Reads the current state of [kind], as updates that lead to it. */
    public fun readAll(kind: FleetUpdateKind, timeoutMillis: Long, onVerdict: VerdictCallback<FleetUpdatePage>)

    /** Long poll: waits up to [waitMillis] for updates of [kind] that are later than [after]. */
    public fun awaitUpdates(
        kind: FleetUpdateKind,
        after: Revision,
        waitMillis: Long,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<FleetUpdatePage>,
    )

    /** Publishes for the operator whether wave [number] is completed. */
    public fun publishWave(number: Long, completed: Boolean, timeoutMillis: Long, onVerdict: VerdictCallback<Unit>)
}

/** An executor to call. The call is refused if an executor other than [id] answers at [address]. */
public data class ExecutorTarget(public val id: InstanceId, public val address: String)

/**
 * Order to start a run.
 *
 * @property leaseEndMillis when the executor must end the run if the lease is not extended, on the executor's clock
 * @property epoch fencing token of the control lease
 * @property checkpoint saved progress to continue from; empty for none
 * @property ticket ticket of the placement advisor; null where the queue needs none
 */
public class StartOrder(
    public val run: RunId,
    public val spec: String,
    public val leaseEndMillis: Long,
    public val epoch: Epoch,
    public val checkpoint: String,
    public val ticket: String?,
)

/**
 * Poll of an executor, which also extends the lease of its runs and acknowledges the ended runs that it reported.
 *
 * @property epoch fencing token of the control lease
 * @property acknowledgedEndNumber the executor may forget ended runs up to this number
 * @property leaseEndMillis new end of the lease of all runs, on the executor's clock; null leaves the lease as it is
 * @property waitMillis how long the executor may delay its answer until a run ends (long poll); null for no delay
 */
public data class PollOrder(
    public val epoch: Epoch,
    public val acknowledgedEndNumber: Long,
    public val leaseEndMillis: Long?,
    public val waitMillis: Long?,
)

/** Calls to executors. Orders with a lower epoch than one that the executor has received before are refused. */
public interface ExecutorCalls {
    /** Starts a run. Repeating the order for a run that is already running has no effect. */
    public fun startRun(
        target: ExecutorTarget,
        order: StartOrder,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<OrderAnswer>,
    )

    /** Stops a run. If its start order arrives later than this, the executor refuses that start. */
    public fun stopRun(
        target: ExecutorTarget,
        run: RunId,
        epoch: Epoch,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<OrderAnswer>,
    )

    /** Limits a run to [percent] of its full speed. */
    public fun setRunSpeed(
        target: ExecutorTarget,
        run: RunId,
        percent: Int,
        epoch: Epoch,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<OrderAnswer>,
    )

    /** Extends the lease of the runs, acknowledges ended runs, and reads the current runs. */
    public fun poll(
        target: ExecutorTarget,
        order: PollOrder,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<PollAnswer>,
    )

    /** Closes the connections to an executor that has ended. */
    public fun closeConnections(target: ExecutorTarget)
}

/** Answer to a poll. */
public sealed interface PollAnswer {
    /** The executor has reported its runs. */
    public class Reported(public val report: ExecutorReport) : PollAnswer

    /** The executor refused the poll, which had no effect. */
    public data class Refused(public val reason: RefusalReason) : PollAnswer
}

/** Answer of the platform to an order for a machine. Only [DONE] means that the order takes effect. */
public enum class MachineAnswer { DONE, BUSY, FENCED, NOT_OF_WAVE, INVALID, RATE_LIMITED }

/** One page of the list of machines. [nextPage] is the token of the next page; null on the last page. */
public class MachinePage(public val machines: List<MachineRecord>, public val nextPage: String?)

/** The platform's machines. Both orders end everything that runs on the machine. */
public interface MachineControl {
    /** Reads one page of the list of machines; null for [page] reads the first. */
    public fun listMachines(page: String?, timeoutMillis: Long, onVerdict: VerdictCallback<MachinePage>)

    /** Moves [machine] to [pool]. [epoch] is the fencing token of the control lease. */
    public fun moveMachine(
        machine: MachineId,
        pool: PoolId,
        epoch: Epoch,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<MachineAnswer>,
    )

    /** Takes [machine] down for its upkeep in [wave]. [epoch] is the fencing token of the control lease. */
    public fun startUpkeep(
        machine: MachineId,
        wave: Long,
        epoch: Epoch,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<MachineAnswer>,
    )
}

/** A ticket of the advisor, which allows [executor] to run tasks of a step. Start orders carry its [text]. */
public data class Ticket(public val executor: InstanceId, public val text: String)

/** Answer of the advisor. [validMillis] is the time for which its tickets hold; null where the answer names none. */
public class Advice(public val tickets: List<Ticket>, public val validMillis: Long?)

/** The external advisor that decides which executors a queue's policy allows. */
public interface PlacementAdvisor {
    /** Asks which of [executors] may run tasks of the step that [task] belongs to. */
    public fun advise(
        task: TaskName,
        executors: List<InstanceId>,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<Advice>,
    )
}
