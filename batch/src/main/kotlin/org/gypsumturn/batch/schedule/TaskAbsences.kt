// Records how long long-running tasks that were at work are away, and what they wait for meanwhile. It decides nothing.
// A task is away from the last report that showed it at work until the next one that does.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.state.EndedRun
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.Run
import org.gypsumturn.batch.state.RunEndEvidence
import org.gypsumturn.batch.state.RunPhase
import org.gypsumturn.batch.state.StepState
import org.gypsumturn.batch.state.Task
import org.gypsumturn.model.PoolId
import java.util.EnumMap

/** What a long-running task that is away waits for. [label] names it in logs and metrics. */
internal enum class AbsenceCause(val label: String) {
    /** Evidence that its last run has ended, other than lapsed leases. */
    END_NOTICE("notice of the end"),

    /** The leases of a silent executor. */
    LEASES("leases"),

    /** The end of the recovery after a takeover. */
    TAKEOVER("takeover"),

    /** The end of a run that is being stopped. */
    STOP("stop"),

    /** Knowledge of jobs that is current enough to start tasks. */
    JOB_FEED("job feed"),

    /** A pause after a start that was refused as invalid. */
    NOT_BEFORE("pause after a refusal"),

    /** Suspicion that it crashes its executors: its start is being stored, or no executor is free for a trial. */
    SUSPICION("crash suspicion"),

    /** Room on executors that are not in the stored roster, or have not reported in this term. */
    ROSTER("roster"),

    /** Room on executors that get no new runs, as their machines are due for upkeep or a move, or they drain. */
    CORDONED("cordoned executors"),

    /** Room on silent executors. */
    SILENT("silent executors"),

    /** The limit of tasks of its step on one executor, or the label that its step requires. */
    SPREAD("spread"),

    NO_ROOM("no room"),

    /** There is room; the next placement has not been made, or other rules held it back. */
    PLACEMENT("placement"),

    /** Its run has been started and is not at work yet. */
    STARTUP("startup"),
}

/** Records the absences of tasks that are placed on the executors of [registry]. */
internal class TaskAbsences(
    private val registry: ExecutorRegistry,
    private val queues: KnownQueues,
    private val rosters: PoolRosters,
    private val recovery: TakeoverRecovery,
    private val log: DecisionLog,
) {
    private class Absence(val sinceMillis: Long) {
        val millisByCause = EnumMap<AbsenceCause, Long>(AbsenceCause::class.java)
        private var attributedUntilMillis = sinceMillis

        /** Attributes the time until [nowMillis] that has no cause yet to [cause]. */
        fun attribute(nowMillis: Long, cause: AbsenceCause) {
            if (nowMillis > attributedUntilMillis) {
                millisByCause.merge(cause, nowMillis - attributedUntilMillis, Long::plus)
            }
            attributedUntilMillis = maxOf(attributedUntilMillis, nowMillis)
        }
    }

    private val absences = HashMap<Task, Absence>()
    private var observedMillis = 0L

    /**
     * Counts the long-running tasks of [jobs], which earlier holders may have started, as away since the takeover at
     * [nowMillis] until their runs are adopted.
     */
    fun onTakeover(nowMillis: Long, jobs: Collection<JobState>) {
        jobs.filter { it.longRunning && it.firstAttempt != 1L }.flatMap { it.occurrences.values }
            .flatMap { it.steps }.filter { it.step.longRunning }.flatMap { it.tasks }.filter { it.runs.isEmpty() }
            .forEach { absences[it] = Absence(nowMillis) }
    }

    /** Records that a run of [task] was found that an earlier holder had started. */
    fun onRunAdopted(task: Task) {
        absences -= task
    }

    /** Records that [ended] was taken off its task. A run that was never at work begins no absence. */
    fun onRunEnded(nowMillis: Long, ended: EndedRun) {
        val run = ended.run
        val task = run.task
        if (!task.step.step.longRunning) return
        val known = absences[task]
        if (known != null) {
            known.attribute(nowMillis, causeOfStartedRun(run))
            return
        }
        if (!run.atWork || task.runs.any { it.atWork }) return
        val evidence = ended.evidence
        val isReported = evidence is RunEndEvidence.Reported
        val absence = Absence(if (isReported) nowMillis else run.reportRequestMillis ?: nowMillis)
        val isLapsed = evidence is RunEndEvidence.LeasesLapsed
        absence.attribute(nowMillis, if (isLapsed) AbsenceCause.LEASES else AbsenceCause.END_NOTICE)
        absences[task] = absence
    }

    /** Records that a report has listed [run]. If its task was away and is at work now, its return is logged. */
    fun onRunListed(nowMillis: Long, run: Run) {
        if (absences.isEmpty() || !run.atWork || run.phase != RunPhase.RUNNING) return
        val absence = absences.remove(run.task) ?: return
        absence.attribute(nowMillis, AbsenceCause.STARTUP)
        log(
            "task at work again",
            arrayOf(
                "task" to run.id.task,
                "attempt" to run.id.attempt,
                "executor" to run.executor.record.id,
                "away_ms" to nowMillis - absence.sinceMillis,
                "cause" to absence.millisByCause.maxByOrNull { it.value }?.key?.label,
                "waited_for" to absence.millisByCause.map { (cause, millis) -> "${cause.label} $millis" },
            ),
        )
    }

    /**
     * Attributes the time since the last observation to what each task waits for now. [startsAreHeldBack] tells that no
     * task may be started.
     */
    fun observe(nowMillis: Long, startsAreHeldBack: Boolean) {
        if (absences.isEmpty() || nowMillis - observedMillis < OBSERVATION_INTERVAL_MILLIS) return
        observedMillis = nowMillis
        absences.keys.removeAll { it.done || it.step.job.phase.ended }
        val causesOfSteps = HashMap<StepState, AbsenceCause>()
        absences.forEach { (task, absence) ->
            val isHeldBack = startsAreHeldBack && task.runs.isEmpty()
            absence.attribute(
                nowMillis,
                if (isHeldBack) AbsenceCause.JOB_FEED else causeOf(nowMillis, task, causesOfSteps),
            )
        }
    }

    private fun causeOf(nowMillis: Long, task: Task, causesOfSteps: HashMap<StepState, AbsenceCause>): AbsenceCause {
        task.runs.firstOrNull()?.let { return causeOfStartedRun(it) }
        val job = task.step.job
        val queue = queues[job.job.queue] ?: return AbsenceCause.PLACEMENT
        if (job.firstAttempt != 1L && !recovery.isOverFor(queue.id, queue.pool)) return AbsenceCause.TAKEOVER
        if (task.notBeforeMillis > nowMillis) return AbsenceCause.NOT_BEFORE
        val cause = causesOfSteps.getOrPut(task.step) { causeOfWaitingStep(nowMillis, task.step, queue) }
        return if (cause == AbsenceCause.PLACEMENT && task.suspected) AbsenceCause.SUSPICION else cause
    }

    private fun causeOfStartedRun(run: Run): AbsenceCause = when {
        run.phase == RunPhase.STOPPING -> AbsenceCause.STOP
        run.orderedMillis == null -> AbsenceCause.SUSPICION
        run.executor.unreachableSinceMillis != null -> AbsenceCause.LEASES
        else -> AbsenceCause.STARTUP
    }

    private fun causeOfWaitingStep(nowMillis: Long, step: StepState, queue: Queue): AbsenceCause {
        val withRoom = executorsOf(queue.pool).filter { step.reservedSize.fitsInto(it.free) }
        val allowed = withRoom.filter { stepAllows(step, it) }
        return when {
            allowed.any { it.canTakeNewRuns(nowMillis) } ->
                if (rosters.admits(queue.pool, queue.id)) AbsenceCause.PLACEMENT else AbsenceCause.ROSTER

            allowed.any { it.unreachableSinceMillis == null && !(it.recorded && it.knowsEpoch) } -> AbsenceCause.ROSTER

            allowed.any { it.cordoned || it.record.draining } -> AbsenceCause.CORDONED

            allowed.any { it.unreachableSinceMillis != null } -> AbsenceCause.SILENT

            allowed.any { it.holdsTrial } -> AbsenceCause.SUSPICION

            withRoom.any { it.canTakeNewRuns(nowMillis) } -> AbsenceCause.SPREAD

            else -> AbsenceCause.NO_ROOM
        }
    }

    private fun executorsOf(pool: PoolId) = registry.executors.values.filter { it.record.pool == pool }

    private companion object {
        /** Time between two observations at least. */
        const val OBSERVATION_INTERVAL_MILLIS = 100L
    }
}
