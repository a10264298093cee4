// The calls of the administration API that concern jobs.

package org.gypsumturn.control.admin

import org.gypsumturn.jobs.CancelSelection
import org.gypsumturn.jobs.JobAcceptance
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.TeamId
import org.gypsumturn.model.valueOr
import org.gypsumturn.schema.admin.CancelJobsReply
import org.gypsumturn.schema.admin.CancelJobsRequest
import org.gypsumturn.schema.admin.GetJobRequest
import org.gypsumturn.schema.admin.Job
import org.gypsumturn.schema.admin.ListJobsReply
import org.gypsumturn.schema.admin.ListJobsRequest
import org.gypsumturn.schema.admin.SubmitJobReply
import org.gypsumturn.schema.admin.SubmitJobRequest

/** Carries out the job calls. A call that fails throws the exception that [toException] returns. */
internal class JobCalls(private val acceptance: JobAcceptance, private val timeoutMillis: Long) {
    fun submit(nowMillis: Long, view: FleetView, request: SubmitJobRequest): SubmitJobReply {
        val spec = request.job.toSpec()
        if (spec.pool !in view.pools) throw toException(CallFailure.NotFound("pool ${spec.pool}"))
        val accepted =
            acceptance.accept(nowMillis, spec, timeoutMillis).valueOr { throw toException(failureOf(it)) }
        return SubmitJobReply
            .newBuilder()
            .setId(accepted.id.value)
            .setRepeated(accepted.repeated)
            .build()
    }

    fun get(request: GetJobRequest): Job {
        val id = JobId(request.id)
        val record =
            acceptance.get(PoolId(request.pool), id, timeoutMillis).valueOr { throw toException(failureOf(it)) }
        return record?.toMessage() ?: throw toException(CallFailure.NotFound("job $id in pool ${request.pool}"))
    }

    fun list(request: ListJobsRequest): ListJobsReply {
        val after = request.after.takeIf { it.isNotEmpty() }?.let(::JobId)
        val limit = if (request.limit in 1..MAX_PAGE) request.limit else MAX_PAGE
        val page =
            acceptance
                .list(PoolId(request.pool), parseJobState(request.state), after, limit, timeoutMillis)
                .valueOr { throw toException(failureOf(it)) }
        return ListJobsReply.newBuilder().addAllJobs(page.jobs.map { it.toMessage() }).build()
    }

    fun cancel(nowMillis: Long, request: CancelJobsRequest): CancelJobsReply {
        val pool = PoolId(request.pool)
        val selection =
            if (request.team.isEmpty()) {
                CancelSelection.Ids(pool, request.idsList.map(::JobId))
            } else {
                CancelSelection.OfTeam(pool, TeamId(request.team))
            }
        val cancelled =
            acceptance.cancel(nowMillis, selection, timeoutMillis).valueOr { throw toException(failureOf(it)) }
        return CancelJobsReply
            .newBuilder()
            .setCancelled(cancelled.cancelled + cancelled.requested)
            .setAlreadyFinal(cancelled.alreadyFinal)
            .addAllUnknown(cancelled.unknown.map { it.value })
            .build()
    }

    private companion object {
        const val MAX_PAGE = 1_000
    }
}
