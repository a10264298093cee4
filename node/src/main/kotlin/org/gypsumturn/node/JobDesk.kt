// Serves callers on any node: accepts jobs into the store, stores cancellations, and asks the holder of the control
// lease for states. Where the holder can't be asked, the stored rows answer.

package org.gypsumturn.node

import org.gypsumturn.batch.desk.JobRequestAnswer
import org.gypsumturn.batch.desk.JobRequestHandler
import org.gypsumturn.batch.desk.RouteResult
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.StoredRow
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull
import org.gypsumturn.model.map

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

/** The desk of one node, which stores what it accepts in [partition]. Callers come on one thread. */
public class JobDesk(
    private val configuration: () -> FleetConfiguration?,
    private val store: RowStore,
    private val holder: HolderQueries,
    private val committer: JobCommitter,
    private val partition: String,
    private val metrics: NodeMetrics,
) : JobRequestHandler {
    override fun route(host: String, path: String): RouteResult {
        val current = configuration() ?: return RouteResult.NotConfigured
        return current.route(host, path)?.let { RouteResult.Found(it) } ?: RouteResult.Unknown
    }

    override fun submit(queue: Queue, job: BatchJob, deadlineMillis: Long, reply: (JobRequestAnswer) -> Unit) {
        val write = RowWrite(JobRows.job(job.id, partition), JobRows.encode(job))
        commit("submit", job.id, write, deadlineMillis, JobRequestAnswer.Accepted, reply)
    }

    override fun cancel(queue: Queue, id: JobId, deadlineMillis: Long, reply: (JobRequestAnswer) -> Unit) {
        known(id, deadlineMillis) { known ->
            when (known) {
                null -> reply(JobRequestAnswer.NotAccepted(JobRequestAnswer.Cause.NOT_READY, RETRY_AFTER_MILLIS))

                false -> {
                    logEvent("cancel", "job" to id, "outcome" to "no such job")
                    reply(JobRequestAnswer.NoSuchJob)
                }

                true -> {
                    val write = RowWrite(JobRows.cancellation(id, partition), CANCELLED)
                    commit("cancel", id, write, deadlineMillis, JobRequestAnswer.CancelStored, reply)
                }
            }
        }
    }

    /** Whether a job is known to the holder or stored; null where neither can be asked. */
    private fun known(id: JobId, deadlineMillis: Long, done: (Boolean?) -> Unit) {
        holder.state(id, minOf(deadlineMillis, HOLDER_TIMEOUT_MILLIS)) { answer ->
            if (answer is HolderAnswer.State) done(true) else isStored(id, deadlineMillis, done)
        }
    }

    override fun queryState(queue: Queue, id: JobId, deadlineMillis: Long, reply: (JobRequestAnswer) -> Unit) {
        holder.state(id, minOf(deadlineMillis, HOLDER_TIMEOUT_MILLIS)) { answer ->
            when (answer) {
                is HolderAnswer.State -> reply(JobRequestAnswer.State(answer.phase))
                HolderAnswer.NoJob -> stateOfAccepted(id, deadlineMillis, reply)
                null -> storedState(id, deadlineMillis, reply)
            }
        }
    }

    override fun countPending(queue: Queue, deadlineMillis: Long, reply: (JobRequestAnswer) -> Unit) {
        holder.pending(queue, minOf(deadlineMillis, HOLDER_TIMEOUT_MILLIS)) { count ->
            val refusal = JobRequestAnswer.NotAccepted(JobRequestAnswer.Cause.NOT_READY, RETRY_AFTER_MILLIS)
            reply(count?.let { JobRequestAnswer.Pending(it) } ?: refusal)
        }
    }

    private fun storedState(id: JobId, deadlineMillis: Long, reply: (JobRequestAnswer) -> Unit) {
        readRow(JobRows.progress(id), deadlineMillis) { verdict ->
            val value = (verdict as? Verdict.Ran)?.value?.value
            when {
                verdict !is Verdict.Ran -> reply(JobRequestAnswer.NotAccepted(JobRequestAnswer.Cause.NOT_READY, null))
                value != null -> reply(JobRequestAnswer.State(ProgressRecord.decode(value).phase))
                else -> stateOfAccepted(id, deadlineMillis, reply)
            }
        }
    }

    /** Answers for a job without known progress: it waits if it is stored, and is unknown otherwise. */
    private fun stateOfAccepted(id: JobId, deadlineMillis: Long, reply: (JobRequestAnswer) -> Unit) {
        isStored(id, deadlineMillis) { stored ->
            reply(
                when (stored) {
                    null -> JobRequestAnswer.NotAccepted(JobRequestAnswer.Cause.NOT_READY, null)
                    true -> JobRequestAnswer.State(JobPhase.QUEUED)
                    false -> JobRequestAnswer.NoSuchJob
                },
            )
        }
    }

    /** Looks for a job in every partition, since any node may have accepted it; null where one can't be read. */
    private fun isStored(id: JobId, deadlineMillis: Long, done: (Boolean?) -> Unit) {
        var open = JobRows.partitions.size
        var found = false
        var unread = false
        JobRows.partitions.forEach { partition ->
            readRow(JobRows.job(id, partition), deadlineMillis) { verdict ->
                if (verdict is Verdict.Ran) found = found || verdict.value != null else unread = true
                open--
                if (open == 0) done(if (found || !unread) found else null)
            }
        }
    }

    private fun readRow(address: RowAddress, deadlineMillis: Long, done: (Verdict<StoredRow?>) -> Unit) {
        val timeoutMillis = minOf(deadlineMillis, READ_TIMEOUT_MILLIS)
        store.read(address.table, address.partition, address.key, 1, timeoutMillis) { verdict ->
            done(verdict.map { page -> page.rows.firstOrNull { it.address == address } })
        }
    }

    private fun commit(
        what: String,
        id: JobId,
        write: RowWrite,
        deadlineMillis: Long,
        success: JobRequestAnswer,
        reply: (JobRequestAnswer) -> Unit,
    ) {
        val startMillis = NodeClock.steadyMillis()
        committer.commit(write, startMillis + deadlineMillis - marginMillis(deadlineMillis)) { verdict ->
            val answer = when (verdict) {
                is Verdict.Ran -> success
                is Verdict.MayHaveRun -> JobRequestAnswer.Unknown
                is Verdict.NotRun -> JobRequestAnswer.NotAccepted(causeOf(verdict.failure), RETRY_AFTER_MILLIS)
            }
            val tookMillis = NodeClock.steadyMillis() - startMillis
            logEvent(
                what,
                "job" to id,
                "outcome" to answer.javaClass.simpleName,
                "why" to verdict.failureOrNull()?.message,
                "config" to configuration()?.version,
                "took_ms" to tookMillis,
            )
            metrics.answered(what, answer, tookMillis)
            reply(answer)
        }
    }

    private fun marginMillis(deadlineMillis: Long) = minOf(ANSWER_MARGIN_MILLIS, deadlineMillis / ANSWER_MARGIN_PART)

    private fun causeOf(failure: Failure): JobRequestAnswer.Cause = if (failure.kind ==
        FailureKind.OVERLOADED
    ) {
        JobRequestAnswer.Cause.OVERLOADED
    } else {
        JobRequestAnswer.Cause.NOT_READY
    }

    private companion object {
        val CANCELLED = "{}".encodeToByteArray()

        /** Time of a caller's deadline that is left for the way back, at most this part of it. */
        const val ANSWER_MARGIN_MILLIS = 100L
        const val ANSWER_MARGIN_PART = 5

        /** Longest wait for a read of one row. */
        const val READ_TIMEOUT_MILLIS = 1_000L

        /** Longest wait for the holder; the store's rows answer after it. */
        const val HOLDER_TIMEOUT_MILLIS = 500L

        /** When callers may come back after a refusal; the header knows whole seconds. */
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
