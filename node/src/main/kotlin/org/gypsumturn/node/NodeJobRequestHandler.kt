// Handles the requests of callers on any node. Jobs and cancellations are stored by this node. The states of jobs come
// from the holder of the control lease, or from the stored rows if the holder can't be reached.

package org.gypsumturn.node

import org.gypsumturn.batch.desk.CallerAnswer
import org.gypsumturn.batch.desk.JobRequestHandler
import org.gypsumturn.batch.desk.RouteResult
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.JobLimits
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
import org.gypsumturn.model.WorkspaceId
import org.gypsumturn.model.failureOrNull
import org.gypsumturn.model.map

/**
 * Queries to the holder of the control lease, whichever process that is. A query to another process fails after
 * `timeoutMillis` milliseconds.
 */
public interface HolderQueries {
    /** Replies with what the holder knows of job [id], or with null if it can't be reached or is not ready. */
    public fun queryState(id: JobId, timeoutMillis: Long, reply: (HolderAnswer?) -> Unit)

    /**
     * Replies with the number of jobs of [queue] of which no task has been started, or with null if the holder can't be
     * reached or is not ready.
     */
    public fun countPending(queue: Queue, timeoutMillis: Long, reply: (Int?) -> Unit)
}

/** What the holder of the control lease knows of a job. */
public sealed interface HolderAnswer {
    /** The holder has the job of [workspace], and callers may see that it is in [phase]. */
    public data class State(public val phase: JobPhase, public val workspace: WorkspaceId?) : HolderAnswer

    /** The holder does not have the job. It may still be stored, if the holder has not read it yet. */
    public data object NoJob : HolderAnswer
}

/**
 * Handles the requests of callers to one node. All calls must be on one thread.
 *
 * @param partition partition in which this node stores jobs and cancellations
 * @param limits limits on the jobs that are accepted
 */
public class NodeJobRequestHandler(
    private val configuration: () -> FleetConfiguration?,
    private val store: RowStore,
    private val holder: HolderQueries,
    private val committer: JobCommitter,
    private val partition: String,
    private val limits: JobLimits,
    private val metrics: NodeMetrics,
) : JobRequestHandler {
    override fun route(host: String, path: String): RouteResult {
        val current = configuration() ?: return RouteResult.NotConfigured
        val queue = current.route(host, path) ?: return RouteResult.Unknown
        return RouteResult.Found(queue, current.workspaces.takeUnless { queue.isPublic })
    }

    override fun submit(queue: Queue, job: BatchJob, deadlineMillis: Long, reply: (CallerAnswer) -> Unit) {
        val row = JobRows.encode(job)
        limits.exceededBy(job, row.size)?.let { exceeded ->
            logEvent("submit", "job" to job.id, "outcome" to "Invalid", "why" to exceeded)
            reply(CallerAnswer.Invalid(exceeded))
            return
        }
        val write = RowWrite(JobRows.job(job.id, partition), row)
        commit("submit", job.id, write, deadlineMillis, CallerAnswer.Accepted, reply)
    }

    override fun cancel(id: JobId, workspace: WorkspaceId?, deadlineMillis: Long, reply: (CallerAnswer) -> Unit) {
        isKnown(id, workspace, deadlineMillis) { jobIsKnown ->
            when (jobIsKnown) {
                null -> reply(CallerAnswer.NotAccepted(CallerAnswer.Cause.NOT_READY, RETRY_AFTER_MILLIS))

                false -> {
                    logEvent("cancel", "job" to id, "outcome" to "no such job")
                    reply(CallerAnswer.NoSuchJob)
                }

                true -> {
                    val write = RowWrite(JobRows.cancellation(id, partition), CANCELLATION_VALUE)
                    commit("cancel", id, write, deadlineMillis, CallerAnswer.CancelStored, reply)
                }
            }
        }
    }

    /** Tells whether the holder knows job [id] or it is stored; null if that can't be found out. */
    private fun isKnown(id: JobId, workspace: WorkspaceId?, deadlineMillis: Long, onResult: (Boolean?) -> Unit) {
        holder.queryState(id, minOf(deadlineMillis, HOLDER_TIMEOUT_MILLIS)) { answer ->
            if (answer is HolderAnswer.State) {
                onResult(isVisible(answer.workspace, workspace))
            } else {
                isStored(id, workspace, deadlineMillis, onResult)
            }
        }
    }

    override fun queryState(id: JobId, workspace: WorkspaceId?, deadlineMillis: Long, reply: (CallerAnswer) -> Unit) {
        holder.queryState(id, minOf(deadlineMillis, HOLDER_TIMEOUT_MILLIS)) { answer ->
            when (answer) {
                is HolderAnswer.State -> reply(
                    if (isVisible(answer.workspace, workspace)) {
                        CallerAnswer.State(answer.phase)
                    } else {
                        CallerAnswer.NoSuchJob
                    },
                )

                HolderAnswer.NoJob -> replyWithStateOfStored(id, workspace, JobPhase.QUEUED, deadlineMillis, reply)

                null -> replyWithStoredProgress(id, workspace, deadlineMillis, reply)
            }
        }
    }

    /** Whether a caller of workspace [caller] may know of a job of workspace [owner]. Null stands for any caller. */
    private fun isVisible(owner: WorkspaceId?, caller: WorkspaceId?): Boolean =
        owner == null || caller == null || owner == caller

    override fun countPending(queue: Queue, deadlineMillis: Long, reply: (CallerAnswer) -> Unit) {
        holder.countPending(queue, minOf(deadlineMillis, HOLDER_TIMEOUT_MILLIS)) { count ->
            val refusal = CallerAnswer.NotAccepted(CallerAnswer.Cause.NOT_READY, RETRY_AFTER_MILLIS)
            reply(count?.let { CallerAnswer.Pending(it) } ?: refusal)
        }
    }

    private fun replyWithStoredProgress(
        id: JobId,
        workspace: WorkspaceId?,
        deadlineMillis: Long,
        reply: (CallerAnswer) -> Unit,
    ) {
        readRow(JobRows.progress(id), deadlineMillis) { verdict ->
            val phase = (verdict as? Verdict.Ran)?.value?.value?.let { ProgressRecord.decode(it).phase }
            when {
                verdict !is Verdict.Ran -> reply(CallerAnswer.NotAccepted(CallerAnswer.Cause.NOT_READY, null))

                phase != null && workspace == null -> reply(CallerAnswer.State(phase))

                // The row of the progress does not tell whose job it is.
                else -> replyWithStateOfStored(id, workspace, phase ?: JobPhase.QUEUED, deadlineMillis, reply)
            }
        }
    }

    /** Replies that the job is in [phase] if it is stored, and that it does not exist otherwise. */
    private fun replyWithStateOfStored(
        id: JobId,
        workspace: WorkspaceId?,
        phase: JobPhase,
        deadlineMillis: Long,
        reply: (CallerAnswer) -> Unit,
    ) {
        isStored(id, workspace, deadlineMillis) { stored ->
            reply(
                when (stored) {
                    null -> CallerAnswer.NotAccepted(CallerAnswer.Cause.NOT_READY, null)
                    true -> CallerAnswer.State(phase)
                    false -> CallerAnswer.NoSuchJob
                },
            )
        }
    }

    /**
     * Tells whether job [id] is stored and [workspace] may know of it. Any node may have accepted it, so that all
     * partitions are read. Null if the job was not found and a partition could not be read.
     */
    private fun isStored(id: JobId, workspace: WorkspaceId?, deadlineMillis: Long, onResult: (Boolean?) -> Unit) {
        var open = JobRows.partitions.size
        var isFound = false
        var readFailed = false
        JobRows.partitions.forEach { partition ->
            readRow(JobRows.job(id, partition), deadlineMillis) { verdict ->
                if (verdict is Verdict.Ran) {
                    isFound = isFound || verdict.value?.value?.let { isVisible(ownerOf(it), workspace) } == true
                } else {
                    readFailed = true
                }
                open--
                if (open == 0) onResult(if (isFound || !readFailed) isFound else null)
            }
        }
    }

    /** The workspace of the job in the row [value]; null also for a row that can't be read, which nobody can own. */
    private fun ownerOf(value: ByteArray): WorkspaceId? = try {
        JobRows.decode(value).workspace
    } catch (e: IllegalArgumentException) {
        logEvent("row unreadable", "table" to JobRows.TABLE, "why" to e.message)
        null
    }

    private fun readRow(address: RowAddress, deadlineMillis: Long, onResult: (Verdict<StoredRow?>) -> Unit) {
        val timeoutMillis = minOf(deadlineMillis, READ_TIMEOUT_MILLIS)
        store.read(address.table, address.partition, address.key, 1, timeoutMillis) { verdict ->
            onResult(verdict.map { page -> page.rows.firstOrNull { it.address == address } })
        }
    }

    private fun commit(
        call: String,
        id: JobId,
        write: RowWrite,
        deadlineMillis: Long,
        success: CallerAnswer,
        reply: (CallerAnswer) -> Unit,
    ) {
        val startMillis = NodeClock.steadyMillis()
        committer.commit(write, startMillis + deadlineMillis - replyMarginMillis(deadlineMillis)) { verdict ->
            val answer = when (verdict) {
                is Verdict.Ran -> success
                is Verdict.MayHaveRun -> CallerAnswer.Unknown
                is Verdict.NotRun -> CallerAnswer.NotAccepted(causeOf(verdict.failure), RETRY_AFTER_MILLIS)
            }
            val tookMillis = NodeClock.steadyMillis() - startMillis
            logEvent(
                call,
                "job" to id,
                "outcome" to answer.javaClass.simpleName,
                "why" to verdict.failureOrNull()?.message,
                "config" to configuration()?.version,
                "took_ms" to tookMillis,
            )
            metrics.recordAnswer(call, answer, tookMillis)
            reply(answer)
        }
    }

    private fun replyMarginMillis(deadlineMillis: Long) =
        minOf(MAX_REPLY_MARGIN_MILLIS, deadlineMillis / REPLY_MARGIN_DIVISOR)

    private fun causeOf(failure: Failure): CallerAnswer.Cause =
        if (failure.kind == FailureKind.OVERLOADED) CallerAnswer.Cause.OVERLOADED else CallerAnswer.Cause.NOT_READY

    private companion object {
        val CANCELLATION_VALUE = "{}".encodeToByteArray()

        /** Time before a caller's deadline that is left for the reply: this, or the deadline divided by the divisor. */
        const val MAX_REPLY_MARGIN_MILLIS = 100L
        const val REPLY_MARGIN_DIVISOR = 5

        /** Timeout of reading one row. */
        const val READ_TIMEOUT_MILLIS = 1_000L

        /** Timeout of a query to the holder. The stored rows are read after it. */
        const val HOLDER_TIMEOUT_MILLIS = 500L

        /** When callers should try again after a refusal. The header that carries this has whole seconds. */
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
