// Tells jobs that can never run from workers that fail everything. A failure is evidence against the job as far as
// the worker does well with other classes, and against the worker as far as the class does well on other workers.

package org.gypsumturn.placement

import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobClassId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec

/** Trust in a worker. */
public enum class WorkerTrust {
    /** Gets jobs as it has room. */
    TRUSTED,

    /** Gets nothing until its time is over. */
    QUARANTINED,

    /** Its quarantine is over. Gets one job at a time; a success makes it trusted again. */
    PROBATION,

    /** Failed its last jobs. Gets one job at a time until one succeeds. */
    SUSPECTED,
}

/** Judges the failures in one pool. */
public class FailureJudge {
    private val workers = HashMap<InstanceId, WorkerHistory>()
    private val classes = HashMap<JobClassId, ClassHistory>()

    /** Takes in a success. */
    public fun succeeded(spec: JobSpec, worker: InstanceId) {
        val history = workers.getOrPut(worker) { WorkerHistory() }
        history.recover()
        classes.getOrPut(spec.jobClass) { ClassHistory() }.succeeded(worker)
    }

    /** Takes in a failure; true if the worker is quarantined by it. */
    public fun failed(spec: JobSpec, worker: InstanceId, nowMillis: Long): Boolean {
        val history = workers.getOrPut(worker) { WorkerHistory() }
        val jobClass = classes.getOrPut(spec.jobClass) { ClassHistory() }
        jobClass.failed(worker)
        history.failuresInRow++
        val blame = jobClass.successShareElsewhere(worker)
        history.blameByClass.merge(spec.jobClass, blame, ::maxOf)
        history.blame += blame
        if (history.quarantinedUntilMillis != null) {
            history.quarantine(nowMillis)
            return true
        }
        if (!history.isCondemned) return false
        history.quarantine(nowMillis)
        return true
    }

    /** Trust in [worker] at [nowMillis]. */
    public fun trustIn(worker: InstanceId, nowMillis: Long): WorkerTrust {
        val history = workers[worker] ?: return WorkerTrust.TRUSTED
        val until = history.quarantinedUntilMillis
        return when {
            until == null && history.failuresInRow < SUSPICIOUS_FAILURES -> WorkerTrust.TRUSTED
            until == null -> WorkerTrust.SUSPECTED
            nowMillis < until -> WorkerTrust.QUARANTINED
            else -> WorkerTrust.PROBATION
        }
    }

    /** Workers that are quarantined or on probation; they count as lost. */
    public fun distrusted(): Set<InstanceId> = workers.filterValues { it.quarantinedUntilMillis != null }.keys

    /** When the quarantine of [worker] ends or ended, or null if it is not distrusted. */
    public fun quarantinedUntilMillis(worker: InstanceId): Long? = workers[worker]?.quarantinedUntilMillis

    /** Why the job of [record], with its failures, can never run, or null while that is not shown. */
    public fun jobVerdict(record: JobRecord, detail: String): String? {
        val healthy = record.failedOn.distinct().filter { isHealthyFor(record.spec.jobClass, it) }
        if (healthy.size < WORKERS_TO_CONDEMN_A_JOB) {
            if (record.failures < FAILURES_TO_CONDEMN_A_JOB) return null
            return "failed ${record.failures} times on ${record.failedOn.take(MAX_NAMED).joinToString()}; " +
                "last error: ${detail.take(MAX_DETAIL_CHARS)}"
        }
        return "failed on ${healthy.size} workers that run other jobs well " +
            "(${healthy.take(MAX_NAMED).joinToString()}); last error: ${detail.take(MAX_DETAIL_CHARS)}"
    }

    /** A worker that only failed of late is no witness against a job, unless only this class was tried on it. */
    private fun isHealthyFor(jobClass: JobClassId, worker: InstanceId): Boolean {
        val history = workers[worker] ?: return true
        if (history.quarantinedUntilMillis != null) return false
        return history.blameByClass.keys.all { it == jobClass } || history.failuresInRow < SUSPICIOUS_FAILURES
    }

    private class WorkerHistory {
        var failuresInRow = 0
        var blame = 0.0
        var quarantinedUntilMillis: Long? = null
        val blameByClass = HashMap<JobClassId, Double>()
        private var quarantines = 0

        val isCondemned: Boolean
            get() = failuresInRow >= FAILURES_TO_CONDEMN_A_WORKER && blame >= BLAME_TO_CONDEMN_A_WORKER

        fun recover() {
            failuresInRow = 0
            blame = 0.0
            blameByClass.clear()
            quarantinedUntilMillis = null
            quarantines = 0
        }

        fun quarantine(nowMillis: Long) {
            val time = FIRST_QUARANTINE_MILLIS shl quarantines.coerceAtMost(MAX_DOUBLINGS)
            quarantines++
            quarantinedUntilMillis = nowMillis + time
        }
    }

    /** Recent ends of one class by worker; old ones fade. */
    private class ClassHistory {
        private val good = HashMap<InstanceId, Double>()
        private val bad = HashMap<InstanceId, Double>()
        private var goodSum = 0.0
        private var badSum = 0.0

        fun succeeded(worker: InstanceId) {
            good.merge(worker, 1.0, Double::plus)
            goodSum++
            fade()
        }

        fun failed(worker: InstanceId) {
            bad.merge(worker, 1.0, Double::plus)
            badSum++
            fade()
        }

        /** Share of successes on workers other than [worker]; nothing known counts as a low share. */
        fun successShareElsewhere(worker: InstanceId): Double {
            val goodElsewhere = goodSum - (good[worker] ?: 0.0)
            val badElsewhere = badSum - (bad[worker] ?: 0.0)
            return goodElsewhere / (goodElsewhere + badElsewhere + PRIOR_ENDS)
        }

        private fun fade() {
            if (goodSum + badSum < MAX_ENDS) return
            good.replaceAll { _, value -> value / 2 }
            bad.replaceAll { _, value -> value / 2 }
            good.values.removeIf { it < FADED }
            bad.values.removeIf { it < FADED }
            goodSum = good.values.sum()
            badSum = bad.values.sum()
        }
    }

    private companion object {
        const val WORKERS_TO_CONDEMN_A_JOB = 3
        const val FAILURES_TO_CONDEMN_A_JOB = 8
        const val FAILURES_TO_CONDEMN_A_WORKER = 3
        const val SUSPICIOUS_FAILURES = 2
        const val BLAME_TO_CONDEMN_A_WORKER = 1.8
        const val FIRST_QUARANTINE_MILLIS = 300_000L
        const val MAX_DOUBLINGS = 6
        const val PRIOR_ENDS = 1.0
        const val MAX_ENDS = 400.0
        const val FADED = 0.2
        const val MAX_NAMED = 5
        const val MAX_DETAIL_CHARS = 200
    }
}
