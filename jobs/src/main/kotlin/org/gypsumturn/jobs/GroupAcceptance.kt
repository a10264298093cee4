// Records a group of new jobs in one commit, and tries again after a conflict or a lost answer.

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

/** Accepts [specs] in one commit. If it fails, the rows are read to find jobs that were accepted before or conflict. */
internal class GroupAcceptance(
    private val table: TableStore,
    private val specs: List<JobSpec>,
    private val timeoutMillis: Long,
) {
    private val verdicts = arrayOfNulls<Verdict<AcceptedJob>>(specs.size)
    private var remaining: List<Int> = emptyList()

    /** Failure of an earlier commit that may have taken effect, or null. */
    private var lostCommit: Failure? = null

    fun run(nowMillis: Long): List<Verdict<AcceptedJob>> {
        specs.forEachIndexed { index, spec -> verdicts[index] = malformedVerdict(spec) }
        remaining = specs.indices.filter { verdicts[it] == null }.distinctBy { specs[it].pool to specs[it].id }
        repeat(MAX_COMMITS) { if (remaining.isNotEmpty()) commitOnce(nowMillis) }
        settleRemaining { notAccepted(CONTENDED) }
        return specs.mapIndexed { index, spec -> verdicts[index] ?: verdictOnRepeat(index, spec) }
    }

    private fun commitOnce(nowMillis: Long) {
        when (val answer = table.commit(acceptTransaction(nowMillis, remaining.map(specs::get)), timeoutMillis)) {
            is Verdict.NotRun -> return settleRemaining { notAccepted(answer.failure) }

            is Verdict.MayHaveRun -> lostCommit = answer.failure

            is Verdict.Ran ->
                if (answer.value is CommitOutcome.Committed) {
                    return settleRemaining { Verdict.Ran(AcceptedJob(specs[it].id, repeated = false)) }
                }
        }
        readBack()
    }

    private fun readBack() {
        val rows =
            remaining.map(specs::get).flatMap {
                listOf(JobRows.open(it.pool, it.id), JobRows.done(it.pool, it.id))
            }
        val found =
            table.read(rows, timeoutMillis).map { answer ->
                answer.chunked(2).map { pair -> pair.firstNotNullOfOrNull { it.value?.let(JobRows::decodeJob) } }
            }
        if (found !is Verdict.Ran) return settleRemaining { notAccepted(found.failureOrNull() ?: CONTENDED) }
        remaining.zip(found.value).forEach { (index, record) ->
            if (record != null) verdicts[index] = compareSpecs(specs[index], record.spec, repeated = lostCommit == null)
        }
        remaining = remaining.filter { verdicts[it] == null }
    }

    private fun settleRemaining(verdict: (Int) -> Verdict<AcceptedJob>) {
        remaining.forEach { verdicts[it] = verdict(it) }
        remaining = emptyList()
    }

    private fun acceptTransaction(nowMillis: Long, specs: List<JobSpec>): Transaction {
        val conditions =
            specs.flatMap { spec ->
                listOf(JobRows.open(spec.pool, spec.id), JobRows.done(spec.pool, spec.id))
                    .map { Condition(it, Revision.ABSENT) }
            }
        val jobs =
            specs.map { spec ->
                Write(
                    JobRows.open(spec.pool, spec.id),
                    JobRows.encode(JobRecord(spec, acceptedAtMillis = nowMillis)),
                )
            }
        val notices =
            specs.groupBy { it.pool }.map { (pool, group) ->
                val key = JobRows.inbox(pool, "new", group.first().id)
                Write(key, JobRows.encode(InboxNotice(pool, group.map { it.id })))
            }
        return Transaction(conditions, jobs + notices)
    }

    private fun malformedVerdict(spec: JobSpec): Verdict<AcceptedJob>? {
        val text = spec.id.value
        if (text.isNotEmpty() && '/' !in text && '/' !in spec.pool.value) return null
        return Verdict.NotRun(
            Failure(FailureKind.INVALID, "a job's id is not empty and, as its pool, has no slash"),
        )
    }

    private fun compareSpecs(spec: JobSpec, found: JobSpec, repeated: Boolean): Verdict<AcceptedJob> {
        if (found == spec) return Verdict.Ran(AcceptedJob(spec.id, repeated))
        return Verdict.NotRun(Failure(FailureKind.CONFLICT, "job ${spec.id} was accepted with another content"))
    }

    private fun notAccepted(failure: Failure): Verdict<AcceptedJob> =
        lostCommit?.let { Verdict.MayHaveRun(it) } ?: Verdict.NotRun(failure)

    /** Returns the verdict on a job whose pool and id occur earlier in the group. */
    private fun verdictOnRepeat(index: Int, spec: JobSpec): Verdict<AcceptedJob> {
        val first = (0 until index).first { specs[it].id == spec.id && specs[it].pool == spec.pool }
        val verdict = verdicts[first]
        return if (verdict is Verdict.Ran) compareSpecs(spec, specs[first], repeated = true) else notAccepted(CONTENDED)
    }

    private companion object {
        const val MAX_COMMITS = 3
        val CONTENDED = Failure(FailureKind.CONFLICT, "the row kept changing; repeat the call")
    }
}
