// The calls of callers and operators on jobs: accept, get, list and cancel. A job is accepted once its row is
// committed. Its id identifies repeats, so a call can be repeated without running the job twice.

package org.gypsumturn.jobs

import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.JobState
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.TeamId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.map
import org.gypsumturn.ports.TableStore

/** An accepted job. [repeated] is true if the same job was already accepted before this call. */
public data class AcceptedJob(public val id: JobId, public val repeated: Boolean)

/** A page of jobs in the order of their ids. If [hasMore] is true, there may be further jobs. */
public data class JobPage(public val jobs: List<JobRecord>, public val hasMore: Boolean)

/**
 * Result of a cancellation, as numbers of jobs.
 *
 * @property cancelled jobs that ended because of this call
 * @property requested jobs that may be running and that their owner will stop
 * @property alreadyFinal jobs that had already ended
 * @property unknown ids without a job; nothing is stored for them, so that a submission that is still under way may
 * create the job, and the call has to be repeated
 */
public data class CancelledJobs(
    public val cancelled: Int,
    public val requested: Int,
    public val alreadyFinal: Int,
    public val unknown: List<JobId>,
)

/** Which jobs of [pool] to cancel. */
public sealed interface CancelSelection {
    public val pool: PoolId

    /** The jobs with the given [ids]. */
    public data class Ids(override val pool: PoolId, public val ids: List<JobId>) : CancelSelection

    /** All unfinished jobs of [team]. */
    public data class OfTeam(override val pool: PoolId, public val team: TeamId) : CancelSelection
}

/**
 * Accepts, looks up and cancels jobs. It keeps no state, so any process can serve any call. Calls block on [table].
 *
 * A job is identified by its pool and id. Neither may contain a slash.
 */
public class JobAcceptance(private val table: TableStore) {
    private val cancellation = JobCancellation(table)

    /** Records [spec] and returns once it is committed. An id in use with another spec is a [FailureKind.CONFLICT]. */
    public fun accept(nowMillis: Long, spec: JobSpec, timeoutMillis: Long): Verdict<AcceptedJob> =
        acceptAll(nowMillis, listOf(spec), timeoutMillis).single()

    /**
     * Records [specs] in groups, one commit each. The verdicts are in the order of [specs]. If a commit is not answered
     * and its rows cannot be read back, the verdict is [Verdict.MayHaveRun]; the call can then be repeated safely.
     */
    public fun acceptAll(nowMillis: Long, specs: List<JobSpec>, timeoutMillis: Long): List<Verdict<AcceptedJob>> =
        specs.chunked(MAX_JOBS_PER_COMMIT).flatMap { acceptGroup(nowMillis, it, timeoutMillis) }

    private fun acceptGroup(nowMillis: Long, specs: List<JobSpec>, timeoutMillis: Long): List<Verdict<AcceptedJob>> =
        GroupAcceptance(table, specs, timeoutMillis).run(nowMillis)

    /** Returns the record of the job [id], or null if there is none. */
    public fun get(pool: PoolId, id: JobId, timeoutMillis: Long): Verdict<JobRecord?> =
        table.read(listOf(JobRows.open(pool, id), JobRows.done(pool, id)), timeoutMillis).map { rows ->
            rows.firstNotNullOfOrNull { row -> row.value?.let(JobRows::decodeJob) }
        }

    /**
     * Returns at most [limit] jobs of [pool] with ids greater than [after], in the order of ids. With a [state], jobs
     * in other states are left out. The number of table pages read is bounded, so a page may be short or empty although
     * [JobPage.hasMore] is true.
     */
    public fun list(pool: PoolId, state: JobState?, after: JobId?, limit: Int, timeoutMillis: Long): Verdict<JobPage> =
        JobListing(table).page(pool, state, after, limit, timeoutMillis)

    /**
     * Cancels jobs. A waiting job ends at once and is never started. A job that may be running is marked, and its owner
     * stops it. The call can be repeated safely.
     */
    public fun cancel(nowMillis: Long, selection: CancelSelection, timeoutMillis: Long): Verdict<CancelledJobs> =
        cancellation.cancel(nowMillis, selection, timeoutMillis)

    private companion object {
        const val MAX_JOBS_PER_COMMIT = 100
    }
}
