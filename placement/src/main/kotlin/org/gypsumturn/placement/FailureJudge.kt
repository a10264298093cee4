// Tells jobs that can never run from workers that fail everything. A failure weighs against a worker by how seldom the
// job's class fails elsewhere, after A. Wald, "Sequential Tests of Statistical Hypotheses" (1945): the worker is
// quarantined once its row of failures would be a rare accident on a healthy one.

package org.gypsumturn.placement

import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobClassId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec
import kotlin.math.ln

/** Trust in a worker. */
public enum class WorkerTrust {
    /** Gets jobs as it has room. */
    TRUSTED,

    /** Gets one new job at a time, as a trial, until one ends well. */
    ON_TRIAL,

    /** Gets nothing until its time is over; then it is on trial. */
    QUARANTINED,
}

/** Judges the failures in one pool. */
public class FailureJudge {
    private val workers = HashMap<InstanceId, WorkerHistory>()
    private val classes = HashMap<JobClassId, ClassHistory>()

    /** Takes in that an attempt of [job] begins on [worker]. */
    public fun began(job: JobId, worker: InstanceId, nowMillis: Long) {
        if (trustIn(worker, nowMillis) == WorkerTrust.ON_TRIAL) workers.getValue(worker).trial = job
    }

    /** Takes in that the attempt of [job] on [worker] ended in another way than by success or failure. */
    public fun abandoned(job: JobId, worker: InstanceId) {
        val history = workers[worker] ?: return
        if (history.trial == job) history.trial = null
    }

    /** Takes in the success of an attempt that began at [beganAtMillis]. */
    public fun succeeded(spec: JobSpec, worker: InstanceId, beganAtMillis: Long) {
        classes.getOrPut(spec.jobClass) { ClassHistory() }.succeeded(worker)
        workers.getOrPut(worker) { WorkerHistory() }.succeeded(spec.id, beganAtMillis)
    }

    /** Takes in the failure of an attempt that began at [beganAtMillis]; true if the worker is quarantined by it. */
    public fun failed(spec: JobSpec, worker: InstanceId, beganAtMillis: Long, nowMillis: Long): Boolean {
        val history = workers.getOrPut(worker) { WorkerHistory() }
        val jobClass = classes.getOrPut(spec.jobClass) { ClassHistory() }
        val evidence = ln(1 / jobClass.failureShareElsewhere(worker))
        jobClass.failed(worker)
        val isCondemned = history.failed(spec, beganAtMillis, evidence)
        if (!isCondemned) return false
        history.quarantine(nowMillis)
        classes.values.forEach { it.forget(worker) }
        return true
    }

    /** Trust in [worker] at [nowMillis]. */
    public fun trustIn(worker: InstanceId, nowMillis: Long): WorkerTrust = when {
        (workers[worker]?.quarantinedUntilMillis ?: Long.MIN_VALUE) > nowMillis -> WorkerTrust.QUARANTINED
        workers[worker]?.isOnTrial == true -> WorkerTrust.ON_TRIAL
        else -> WorkerTrust.TRUSTED
    }

    /** Whether a trial on [worker] is under way. */
    public fun isTrying(worker: InstanceId): Boolean = workers[worker]?.trial != null

    /** Workers that were quarantined and have not ended a job well since; they count as lost. */
    public fun distrusted(): Set<InstanceId> = workers.filterValues { it.quarantinedUntilMillis != null }.keys

    /** When the quarantine of [worker] ends or ended, or null if it is not distrusted. */
    public fun quarantinedUntilMillis(worker: InstanceId): Long? = workers[worker]?.quarantinedUntilMillis

    /**
     * Why the job of [record], with its failures, can never run, or null while that is not shown. A worker that is in
     * doubt itself is no witness against a job.
     */
    public fun jobVerdict(record: JobRecord, detail: String): String? {
        val jobClass = record.spec.jobClass
        val witnesses = record.failedOn.distinct().filter { workers[it]?.isOnTrial != true }
        val needed = if ((classes[jobClass]?.successShare ?: 0.0) > 0.5) WITNESSES_IN_GOOD_CLASS else WITNESSES
        if (witnesses.size < needed && record.failures < MAX_FAILURES) return null
        val named = record.failedOn.take(MAX_NAMED).joinToString()
        val where =
            if (witnesses.size < needed) "on $named" else "on ${witnesses.size} workers that run other jobs ($named)"
        return "failed ${record.failures} times $where; last error: ${detail.take(MAX_DETAIL_CHARS)}"
    }

    private companion object {
        const val WITNESSES = 3
        const val WITNESSES_IN_GOOD_CLASS = 5
        const val MAX_FAILURES = 12
        const val MAX_NAMED = 5
        const val MAX_DETAIL_CHARS = 200
    }
}

/** Failures of one worker since the start of the latest attempt that ended well. */
private class WorkerHistory {
    var quarantinedUntilMillis: Long? = null
    var trial: JobId? = null
    private var lastGoodBeginMillis = Long.MIN_VALUE
    private var evidence = 0.0
    private var trialEvidence = 0.0
    private var quarantines = 0

    /** Whether the failures make the worker doubtful. */
    val isOnTrial: Boolean get() = quarantinedUntilMillis != null || evidence >= DOUBT

    /** A worker that went bad still ends well what it began before, so only later attempts speak for it. */
    fun succeeded(job: JobId, beganAtMillis: Long) {
        val wasTrial = trial == job
        if (wasTrial) trial = null
        lastGoodBeginMillis = maxOf(lastGoodBeginMillis, beganAtMillis)
        if (isOnTrial && !wasTrial) return
        evidence = 0.0
        trialEvidence = 0.0
        quarantinedUntilMillis = null
        quarantines = 0
    }

    /** True if the worker is to be quarantined. */
    fun failed(spec: JobSpec, beganAtMillis: Long, weight: Double): Boolean {
        val wasTrial = trial == spec.id
        if (wasTrial) trial = null
        if (beganAtMillis < lastGoodBeginMillis) return false
        evidence += weight
        if (!wasTrial) return false
        trialEvidence += weight
        return trialEvidence >= if (quarantinedUntilMillis == null) CERTAINTY else DOUBT
    }

    fun quarantine(nowMillis: Long) {
        quarantinedUntilMillis = nowMillis + (FIRST_QUARANTINE_MILLIS shl quarantines.coerceAtMost(MAX_DOUBLINGS))
        quarantines++
        trialEvidence = 0.0
    }

    private companion object {
        /** Evidence at which a row of failures is one in four hundred on a healthy worker. */
        val DOUBT = ln(400.0)

        /** Evidence at which the failures of trials alone are one in a million on a healthy worker. */
        val CERTAINTY = ln(1e6)
        const val FIRST_QUARANTINE_MILLIS = 300_000L
        const val MAX_DOUBLINGS = 6
    }
}

/** Recent ends of one class by worker; old ones fade. */
private class ClassHistory {
    private val good = HashMap<InstanceId, Double>()
    private val bad = HashMap<InstanceId, Double>()
    private var goodSum = 0.0
    private var badSum = 0.0

    /** Share of attempts that ended well. */
    val successShare: Double get() = goodSum / (goodSum + badSum + 1)

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

    /** Leaves the failures on [worker] out of account. */
    fun forget(worker: InstanceId) {
        badSum -= bad.remove(worker) ?: 0.0
    }

    /** Share of failures on workers other than [worker], from one half where nothing is known. */
    fun failureShareElsewhere(worker: InstanceId): Double {
        val goodElsewhere = goodSum - (good[worker] ?: 0.0)
        val badElsewhere = badSum - (bad[worker] ?: 0.0)
        return ((badElsewhere + 1) / (goodElsewhere + badElsewhere + 2)).coerceAtLeast(MIN_FAILURE_SHARE)
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

    private companion object {
        const val MAX_ENDS = 400.0
        const val FADED = 0.2

        /** No class is taken to fail less often than this. */
        const val MIN_FAILURE_SHARE = 0.03
    }
}
