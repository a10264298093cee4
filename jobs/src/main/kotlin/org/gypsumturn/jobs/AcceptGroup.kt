// One grouped commit of new jobs, with the repeats that a conflict or a lost answer needs.

package org.gypsumturn.jobs

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull
import org.gypsumturn.model.map
import org.gypsumturn.ports.CommitOutcome
import org.gypsumturn.ports.Condition
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Transaction
import org.gypsumturn.ports.Write

/** Accepts [specs] together; what was accepted before, or conflicts, is sorted out by reading the rows. */
internal class AcceptGroup(
    private val table: TableStore,
    private val specs: List<JobSpec>,
    private val timeoutMillis: Long,
) {
    private val verdicts = arrayOfNulls<Verdict<AcceptedJob>>(specs.size)
    private var left: List<Int> = emptyList()

    /** Failure of a commit that may have taken effect. */
    private var lost: Failure? = null

    fun run(nowMillis: Long): List<Verdict<AcceptedJob>> {
        specs.forEachIndexed { index, spec -> verdicts[index] = malformed(spec) }
        left = specs.indices.filter { verdicts[it] == null }.distinctBy { specs[it].pool to specs[it].id }
        repeat(MAX_ROUNDS) { if (left.isNotEmpty()) attempt(nowMillis) }
        endAll { unanswered(UNRESOLVED) }
        return specs.mapIndexed { index, spec -> verdicts[index] ?: repeatOf(index, spec) }
    }

    private fun attempt(nowMillis: Long) {
        when (val answer = table.commit(acceptance(nowMillis, left.map(specs::get)), timeoutMillis)) {
            is Verdict.NotRun -> return endAll { unanswered(answer.failure) }

            is Verdict.MayHaveRun -> lost = answer.failure

            is Verdict.Ran ->
                if (answer.value is CommitOutcome.Committed) {
                    return endAll { Verdict.Ran(AcceptedJob(specs[it].id, repeated = false)) }
                }
        }
        readBack()
    }

    private fun readBack() {
        val rows = left.map(specs::get).flatMap { listOf(JobRows.open(it.pool, it.id), JobRows.done(it.pool, it.id)) }
        val found =
            table.read(rows, timeoutMillis).map { answer ->
                answer.chunked(2).map { pair -> pair.firstNotNullOfOrNull { it.value?.let(JobRows::decodeJob) } }
            }
        if (found !is Verdict.Ran) return endAll { unanswered(found.failureOrNull() ?: UNRESOLVED) }
        left.zip(found.value).forEach { (index, record) ->
            if (record != null) verdicts[index] = compare(specs[index], record.spec, repeated = lost == null)
        }
        left = left.filter { verdicts[it] == null }
    }

    private fun endAll(verdict: (Int) -> Verdict<AcceptedJob>) {
        left.forEach { verdicts[it] = verdict(it) }
        left = emptyList()
    }

    private fun acceptance(nowMillis: Long, specs: List<JobSpec>): Transaction {
        val conditions =
            specs.flatMap { spec ->
                listOf(JobRows.open(spec.pool, spec.id), JobRows.done(spec.pool, spec.id))
                    .map { Condition(it, Revision.ABSENT) }
            }
        val jobs =
            specs.map { spec ->
                Write(JobRows.open(spec.pool, spec.id), JobRows.encode(JobRecord(spec, acceptedAtMillis = nowMillis)))
            }
        val notices =
            specs.groupBy { it.pool }.map { (pool, group) ->
                val key = JobRows.inbox(pool, "new", group.first().id)
                Write(key, JobRows.encode(InboxNotice(pool, group.map { it.id })))
            }
        return Transaction(conditions, jobs + notices)
    }

    private fun malformed(spec: JobSpec): Verdict<AcceptedJob>? {
        val text = spec.id.value
        if (text.isNotEmpty() && '/' !in text && '/' !in spec.pool.value) return null
        return Verdict.NotRun(Failure(FailureKind.INVALID, "a job's id is not empty and, as its pool, has no slash"))
    }

    private fun compare(spec: JobSpec, found: JobSpec, repeated: Boolean): Verdict<AcceptedJob> {
        if (found == spec) return Verdict.Ran(AcceptedJob(spec.id, repeated))
        return Verdict.NotRun(Failure(FailureKind.CONFLICT, "job ${spec.id} was accepted with another content"))
    }

    private fun unanswered(failure: Failure): Verdict<AcceptedJob> =
        lost?.let { Verdict.MayHaveRun(it) } ?: Verdict.NotRun(failure)

    /** Verdict on a job that stands a second time in the group. */
    private fun repeatOf(index: Int, spec: JobSpec): Verdict<AcceptedJob> {
        val first = (0 until index).first { specs[it].id == spec.id && specs[it].pool == spec.pool }
        val verdict = verdicts[first]
        return if (verdict is Verdict.Ran) compare(spec, specs[first], repeated = true) else unanswered(UNRESOLVED)
    }

    private companion object {
        const val MAX_ROUNDS = 3
        val UNRESOLVED = Failure(FailureKind.CONFLICT, "the row kept changing; repeat the call")
    }
}
