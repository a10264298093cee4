// What callers and operators ask about jobs: accept, look up, list and cancel. A job is accepted once its row is
// committed; the job's id makes a repeat harmless.

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

/** A job that is recorded. [repeated] tells that the same job had been accepted before. */
public data class AcceptedJob(public val id: JobId, public val repeated: Boolean)

/** A page of jobs in the order of their ids. */
public data class JobPage(public val jobs: List<JobRecord>, public val more: Boolean)

/** What a cancellation did. Jobs in [requested] may be running; their owner stops them. */
public data class CancelledJobs(
    public val cancelled: Int,
    public val requested: Int,
    public val alreadyFinal: Int,
    public val unknown: List<JobId>,
)

/** Which jobs of [pool] to cancel. */
public sealed interface CancelSelection {
    /** The pool of the jobs. */
    public val pool: PoolId

    /** The jobs [ids]. */
    public data class Ids(override val pool: PoolId, public val ids: List<JobId>) : CancelSelection

    /** All unfinished jobs of [team]. */
    public data class OfTeam(override val pool: PoolId, public val team: TeamId) : CancelSelection
}

/**
 * Accepts, looks up and cancels jobs. Keeps no state, so any process may serve any call; calls block on [table].
 *
 * A job is named by its pool and id; ids must not contain a slash.
 */
public class JobAcceptance(private val table: TableStore) {
    private val cancellation = JobCancellation(table)

    /** Records [spec] and returns once that is committed. The id with another spec is a [FailureKind.CONFLICT]. */
    public fun accept(nowMillis: Long, spec: JobSpec, timeoutMillis: Long): Verdict<AcceptedJob> =
        acceptAll(nowMillis, listOf(spec), timeoutMillis).single()

    /**
     * Records [specs] in as few commits as possible. The verdicts are in the order of [specs]. A job whose commit has
     * no answer and whose row cannot be read back is [Verdict.MayHaveRun]; repeating its call is harmless.
     */
    public fun acceptAll(nowMillis: Long, specs: List<JobSpec>, timeoutMillis: Long): List<Verdict<AcceptedJob>> =
        specs.chunked(MAX_JOBS_PER_COMMIT).flatMap { acceptGroup(nowMillis, it, timeoutMillis) }

    private fun acceptGroup(nowMillis: Long, specs: List<JobSpec>, timeoutMillis: Long): List<Verdict<AcceptedJob>> =
        AcceptGroup(table, specs, timeoutMillis).run(nowMillis)

    /** The record of [id], or null where there is none. */
    public fun get(pool: PoolId, id: JobId, timeoutMillis: Long): Verdict<JobRecord?> =
        table.read(listOf(JobRows.open(pool, id), JobRows.done(pool, id)), timeoutMillis).map { rows ->
            rows.firstNotNullOfOrNull { row -> row.value?.let(JobRows::decodeJob) }
        }

    /**
     * At most [limit] jobs of [pool] with an id greater than [after], in the order of ids. With a [state], jobs in
     * other states are left out. Reads at most a few pages of the table; [JobPage.more] tells that there may be more.
     */
    public fun list(pool: PoolId, state: JobState?, after: JobId?, limit: Int, timeoutMillis: Long): Verdict<JobPage> =
        JobListing(table).page(pool, state, after, limit, timeoutMillis)

    /**
     * Cancels jobs. A waiting job ends at once and is never started; a job that may be running is marked, and its
     * owner stops it. Cancelling again is harmless.
     */
    public fun cancel(nowMillis: Long, selection: CancelSelection, timeoutMillis: Long): Verdict<CancelledJobs> =
        cancellation.cancel(nowMillis, selection, timeoutMillis)

    private companion object {
        const val MAX_JOBS_PER_COMMIT = 100
    }
}
