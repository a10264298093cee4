// What the batch part of the fleet needs of the outside. Calls do not block: each hands its verdict to a function,
// once, from a thread of the adapter's choice.

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

/** Receives the verdict on a call. */
public typealias Done<T> = (Verdict<T>) -> Unit

/** Where a row lies. Rows of one partition can be written in one transaction, in any tables. */
public data class RowAddress(public val table: String, public val partition: String, public val key: String)

/** A row as read; [value] is null where the row was removed. */
public class StoredRow(public val address: RowAddress, public val revision: Revision, public val value: ByteArray?)

/** A condition on the revision of a row; [Revision.ABSENT] means that there is no row. */
public data class RowCondition(public val address: RowAddress, public val revision: Revision)

/** A row to write; a null [value] removes it. */
public class RowWrite(public val address: RowAddress, public val value: ByteArray?)

/** Conditions and writes of one partition that take effect together or not at all. */
public class RowTransaction(public val conditions: List<RowCondition>, public val writes: List<RowWrite>)

/** How the store answered a transaction. [storeMillis] is the store's steady clock. */
public sealed interface TransactionOutcome {
    /** All writes took effect under [revision]. */
    public data class Committed(public val revision: Revision, public val storeMillis: Long) : TransactionOutcome

    /** Nothing was written; [current] holds the rows of the conditions that exist. */
    public class Conflict(public val current: List<StoredRow>) : TransactionOutcome
}

/** Rows as of one moment. */
public class RowPage(
    public val rows: List<StoredRow>,
    public val hasMore: Boolean,
    public val revision: Revision,
    public val storeMillis: Long,
) {
    /** The key from which the next page is read; null on the last page. */
    public val nextKey: String? get() = if (hasMore && rows.isNotEmpty()) rows.last().address.key + "\u0000" else null
}

/** Changes of a table since a revision, or the word that they are no longer known. */
public sealed interface RowChanges {
    /** [rows] changed, in order; the next call continues after [revision]. */
    public class Known(public val rows: List<StoredRow>, public val revision: Revision, public val storeMillis: Long) :
        RowChanges

    /** The history was discarded; the table must be read again. */
    public data object Discarded : RowChanges
}

/** The store's rows. A verdict of [Verdict.NotRun] on a write means that it was not and will not be done. */
public interface RowStore {
    /** Applies [transaction]. */
    public fun transact(transaction: RowTransaction, timeoutMillis: Long, done: Done<TransactionOutcome>)

    /** Reads at most [limit] rows of a partition from key [from] on. */
    public fun read(
        table: String,
        partition: String,
        from: String?,
        limit: Int,
        timeoutMillis: Long,
        done: Done<RowPage>,
    )

    /** Waits up to [waitMillis] for changes of [table] after [after]. */
    public fun follow(table: String, after: Revision, waitMillis: Long, timeoutMillis: Long, done: Done<RowChanges>)
}

/** Something that the operator or the executors have published. */
public sealed interface FleetNews {
    /** The newest configuration. */
    public class Configured(public val configuration: FleetConfiguration) : FleetNews

    /** A wave of upkeep was asked for. */
    public class WaveRequested(public val wave: UpkeepWave) : FleetNews

    /** An executor is listed, or its entry has changed. */
    public class ExecutorListed(public val executor: ExecutorRecord) : FleetNews

    /** An executor's entry was removed or can't be read. */
    public class ExecutorUnlisted(public val id: InstanceId) : FleetNews

    /** A row of the operator's can't be read; what was known before stays in force. */
    public class Unreadable(public val key: String, public val reason: String) : FleetNews
}

/** News of one kind, and where to continue. [news] is null where the history was discarded. */
public class FleetNewsPage(
    public val news: List<FleetNews>?,
    public val revision: Revision,
    public val storeMillis: Long,
)

/** Kinds of news. */
public enum class NewsKind { OPERATOR, EXECUTORS }

/** What the operator and the executors publish in the store. */
public interface FleetNewsFeed {
    /** Everything of [kind] as of now. */
    public fun readAll(kind: NewsKind, timeoutMillis: Long, done: Done<FleetNewsPage>)

    /** What has changed after [after], waiting up to [waitMillis] for it. */
    public fun follow(kind: NewsKind, after: Revision, waitMillis: Long, timeoutMillis: Long, done: Done<FleetNewsPage>)

    /** Publishes the state of a wave. */
    public fun publishWave(number: Long, completed: Boolean, timeoutMillis: Long, done: Done<Unit>)
}

/** An executor to call: its address, and the identity that must answer there. */
public data class ExecutorTarget(public val id: InstanceId, public val address: String)

/** Start of a run. [leaseEndMillis] is a time on the executor's clock. */
public class StartOrder(
    public val run: RunId,
    public val spec: String,
    public val leaseEndMillis: Long,
    public val epoch: Epoch,
    public val checkpoint: String,
    public val ticket: String?,
)

/**
 * A look at an executor.
 *
 * @property acknowledged ends up to this number are forgotten by the executor
 * @property leaseEndMillis extends the lease of everything there, on the executor's clock; null leaves it
 * @property waitMillis how long the executor may hold the answer back until a run ends
 */
public data class LookOrder(
    public val epoch: Epoch,
    public val acknowledged: Long,
    public val leaseEndMillis: Long?,
    public val waitMillis: Long?,
)

/** Orders to executors. */
public interface ExecutorCalls {
    /** Starts a run; repeating it for a run that is there changes nothing. */
    public fun start(target: ExecutorTarget, order: StartOrder, timeoutMillis: Long, done: Done<OrderAnswer>)

    /** Stops a run; one that is not there yet will be refused. */
    public fun stop(target: ExecutorTarget, run: RunId, epoch: Epoch, timeoutMillis: Long, done: Done<OrderAnswer>)

    /** Lets a run work at [percent] of its speed. */
    public fun pace(
        target: ExecutorTarget,
        run: RunId,
        percent: Int,
        epoch: Epoch,
        timeoutMillis: Long,
        done: Done<OrderAnswer>,
    )

    /** Extends leases, acknowledges ends and reads what runs. */
    public fun look(target: ExecutorTarget, order: LookOrder, timeoutMillis: Long, done: Done<LookAnswer>)

    /** Closes connections to an executor that has gone. */
    public fun forget(target: ExecutorTarget)
}

/** Answer to a look. */
public sealed interface LookAnswer {
    /** The executor's lists. */
    public class Seen(public val report: ExecutorReport) : LookAnswer

    /** The executor refused. */
    public data class Refused(public val reason: RefusalReason) : LookAnswer
}

/** Answer of the platform to an order for a machine. */
public enum class MachineAnswer { DONE, BUSY, FENCED, NOT_OF_WAVE, INVALID, RATE_LIMITED }

/** A page of the list of machines; [nextPage] is null on the last. */
public class MachinePage(public val machines: List<MachineRecord>, public val nextPage: String?)

/** The platform's machines. Orders kill what runs on a machine. */
public interface MachineControl {
    /** Reads a page of the list. */
    public fun list(page: String?, timeoutMillis: Long, done: Done<MachinePage>)

    /** Moves [machine] to [pool]. */
    public fun move(machine: MachineId, pool: PoolId, epoch: Epoch, timeoutMillis: Long, done: Done<MachineAnswer>)

    /** Takes [machine] down for its upkeep in [wave]. */
    public fun upkeep(machine: MachineId, wave: Long, epoch: Epoch, timeoutMillis: Long, done: Done<MachineAnswer>)
}

/** A ticket of the advisor: the executor may run the step for [validMillis] after the answer. */
public data class Ticket(public val executor: InstanceId, public val text: String)

/** Answer of the advisor. */
public class Advice(public val tickets: List<Ticket>, public val validMillis: Long?)

/** The advisor that knows which executors a queue's policy allows. */
public interface PlacementAdvisor {
    /** Asks which of [executors] may run the step that [task] belongs to. */
    public fun advise(task: TaskName, executors: List<InstanceId>, timeoutMillis: Long, done: Done<Advice>)
}
