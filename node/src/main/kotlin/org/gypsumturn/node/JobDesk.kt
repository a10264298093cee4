// Serves callers on any node: accepts jobs into the store, stores cancellations, and asks the holder of the control
// lease for states. Where the holder can't be asked, the stored rows answer.

package org.gypsumturn.node

import org.gypsumturn.batch.desk.BatchDesk
import org.gypsumturn.batch.desk.DeskAnswer
import org.gypsumturn.batch.desk.RouteResult
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.port.RowCondition
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.StoredRow
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

/** Asks the holder of the control lease; null where it can't say. */
public interface HolderQueries {
    /** The state of a job: null if the holder can't be asked, [HolderAnswer.NoJob] if it knows of no such job. */
    public fun state(id: JobId, timeoutMillis: Long, reply: (HolderAnswer?) -> Unit)

    /** Jobs of a queue of which nothing has been started; null if the holder can't be asked. */
    public fun pending(queue: Queue, timeoutMillis: Long, reply: (Int?) -> Unit)
}

/** What the holder knows of a job. */
public sealed interface HolderAnswer {
    /** Its state. */
    public data class State(public val phase: JobPhase) : HolderAnswer

    /** Nothing. */
    public data object NoJob : HolderAnswer
}

/** The desk of one node. */
public class JobDesk(
    private val configuration: () -> FleetConfiguration?,
    private val store: RowStore,
    private val holder: HolderQueries,
    private val later: Later,
    private val metrics: DeskMetrics,
) : BatchDesk {
    override fun route(host: String, path: String): RouteResult {
        val current = configuration() ?: return RouteResult.NotConfigured
        return current.route(host, path)?.let { RouteResult.Found(it) } ?: RouteResult.Unknown
    }

    override fun submit(queue: Queue, job: BatchJob, deadlineMillis: Long, reply: (DeskAnswer) -> Unit) {
        val row = JobRows.job(job.id)
        val write = RowWrite(row, JobRows.encode(job))
        val transaction = RowTransaction(listOf(RowCondition(row, Revision.ABSENT)), listOf(write))
        val call = StoreCall("submit", job.id, transaction, deadlineMillis, DeskAnswer.Accepted, reply)
        call.send()
    }

    override fun cancel(queue: Queue, id: JobId, deadlineMillis: Long, reply: (DeskAnswer) -> Unit) {
        readRow(JobRows.job(id), deadlineMillis) { verdict ->
            when {
                verdict !is Verdict.Ran -> reply(DeskAnswer.NotAccepted(DeskAnswer.Cause.NOT_READY, RETRY_AFTER_MILLIS))

                verdict.value == null -> {
                    logEvent("cancel", "job" to id, "outcome" to "no such job")
                    reply(DeskAnswer.NoSuchJob)
                }

                else -> {
                    val write = RowWrite(JobRows.cancellation(id), CANCELLED)
                    val transaction = RowTransaction(emptyList(), listOf(write))
                    StoreCall("cancel", id, transaction, deadlineMillis, DeskAnswer.CancelStored, reply).send()
                }
            }
        }
    }

    override fun state(queue: Queue, id: JobId, deadlineMillis: Long, reply: (DeskAnswer) -> Unit) {
        holder.state(id, minOf(deadlineMillis, HOLDER_TIMEOUT_MILLIS)) { answer ->
            when (answer) {
                is HolderAnswer.State -> reply(DeskAnswer.State(answer.phase))
                HolderAnswer.NoJob -> stateOfAccepted(id, deadlineMillis, reply)
                null -> storedState(id, deadlineMillis, reply)
            }
        }
    }

    override fun pending(queue: Queue, deadlineMillis: Long, reply: (DeskAnswer) -> Unit) {
        holder.pending(queue, minOf(deadlineMillis, HOLDER_TIMEOUT_MILLIS)) { count ->
            val refusal = DeskAnswer.NotAccepted(DeskAnswer.Cause.NOT_READY, RETRY_AFTER_MILLIS)
            reply(count?.let { DeskAnswer.Pending(it) } ?: refusal)
        }
    }

    private fun storedState(id: JobId, deadlineMillis: Long, reply: (DeskAnswer) -> Unit) {
        readRow(JobRows.progress(id), deadlineMillis) { verdict ->
            val value = (verdict as? Verdict.Ran)?.value?.value
            when {
                verdict !is Verdict.Ran -> reply(DeskAnswer.NotAccepted(DeskAnswer.Cause.NOT_READY, null))
                value != null -> reply(DeskAnswer.State(ProgressRecord.decode(value).phase))
                else -> stateOfAccepted(id, deadlineMillis, reply)
            }
        }
    }

    /** Answers for a job without known progress: it waits if it is stored, and is unknown otherwise. */
    private fun stateOfAccepted(id: JobId, deadlineMillis: Long, reply: (DeskAnswer) -> Unit) {
        readRow(JobRows.job(id), deadlineMillis) { verdict ->
            reply(
                when {
                    verdict !is Verdict.Ran -> DeskAnswer.NotAccepted(DeskAnswer.Cause.NOT_READY, null)
                    verdict.value == null -> DeskAnswer.NoSuchJob
                    else -> DeskAnswer.State(JobPhase.QUEUED)
                },
            )
        }
    }

    private fun readRow(address: RowAddress, deadlineMillis: Long, done: (Verdict<StoredRow?>) -> Unit) {
        val timeoutMillis = minOf(deadlineMillis, READ_TIMEOUT_MILLIS)
        store.read(address.table, address.partition, address.key, 1, timeoutMillis) { verdict ->
            done(
                when (verdict) {
                    is Verdict.Ran -> Verdict.Ran(verdict.value.rows.firstOrNull { it.address == address })
                    is Verdict.NotRun -> verdict
                    is Verdict.MayHaveRun -> verdict
                },
            )
        }
    }

    /** A write for a caller, repeated while its outcome is open: a repeat changes nothing. */
    private inner class StoreCall(
        private val what: String,
        private val id: JobId,
        private val transaction: RowTransaction,
        deadlineMillis: Long,
        private val success: DeskAnswer,
        private val reply: (DeskAnswer) -> Unit,
    ) {
        private val startMillis = NodeClock.steadyMillis()
        private val endMillis = startMillis + deadlineMillis - ANSWER_MARGIN_MILLIS
        private var open = false

        fun send() {
            val leftMillis = endMillis - NodeClock.steadyMillis()
            if (leftMillis < MIN_TRY_MILLIS) {
                val refused = DeskAnswer.NotAccepted(DeskAnswer.Cause.NOT_READY, RETRY_AFTER_MILLIS)
                finish(if (open) DeskAnswer.Unknown else refused, "deadline")
                return
            }
            store.transact(transaction, minOf(leftMillis, WRITE_TIMEOUT_MILLIS), ::answered)
        }

        private fun answered(verdict: Verdict<TransactionOutcome>) {
            when (verdict) {
                is Verdict.Ran -> finish(success, if (verdict.value is TransactionOutcome.Conflict) "known" else "new")

                is Verdict.MayHaveRun -> {
                    open = true
                    later(RETRY_MILLIS) { send() }
                }

                is Verdict.NotRun -> if (open) later(RETRY_MILLIS) { send() } else refuse(verdict)
            }
        }

        private fun refuse(verdict: Verdict.NotRun) {
            val overloaded = verdict.failure.kind == FailureKind.OVERLOADED
            val cause = if (overloaded) DeskAnswer.Cause.OVERLOADED else DeskAnswer.Cause.NOT_READY
            finish(DeskAnswer.NotAccepted(cause, RETRY_AFTER_MILLIS), verdict.failure.message)
        }

        private fun finish(answer: DeskAnswer, why: String) {
            val tookMillis = NodeClock.steadyMillis() - startMillis
            logEvent(
                what,
                "job" to id,
                "outcome" to answer.javaClass.simpleName,
                "why" to why,
                "config" to configuration()?.version,
                "took_ms" to tookMillis,
            )
            metrics.answered(what, answer, tookMillis)
            reply(answer)
        }
    }

    private companion object {
        val CANCELLED = "{}".encodeToByteArray()

        /** Part of a caller's deadline that is left for the way back. */
        const val ANSWER_MARGIN_MILLIS = 100L

        /** A try with less time than this can't succeed. */
        const val MIN_TRY_MILLIS = 30L

        /** Longest wait for a write: a slow store's transaction takes above a second. */
        const val WRITE_TIMEOUT_MILLIS = 1_500L

        /** Longest wait for a read of one row. */
        const val READ_TIMEOUT_MILLIS = 1_000L

        /** Longest wait for the holder; the store's rows answer after it. */
        const val HOLDER_TIMEOUT_MILLIS = 500L

        /** Pause before a write is repeated. */
        const val RETRY_MILLIS = 50L

        /** When callers may come back after a refusal; the header knows whole seconds. */
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
