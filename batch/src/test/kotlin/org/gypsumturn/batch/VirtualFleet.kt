// A simulated fleet of executors in virtual time that carries out the orders of a scheduler. The executors follow the
// rules of real ones for capacity, leases, fencing, and ends that are listed until they are acknowledged. The fleet
// records every breach of the guarantees to users, such as a task that runs twice.

package org.gypsumturn.batch

import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.CallerLimits
import org.gypsumturn.batch.model.ExecutorRecord
import org.gypsumturn.batch.model.ExecutorReport
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.Incarnation
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.KeyedWorkspace
import org.gypsumturn.batch.model.OrderAnswer
import org.gypsumturn.batch.model.PoolRecord
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.RefusalReason
import org.gypsumturn.batch.model.ReportedRun
import org.gypsumturn.batch.model.ReportedRunEnd
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.RunEnd
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.model.TaskName
import org.gypsumturn.batch.model.Workspace
import org.gypsumturn.batch.model.WorkspaceDirectory
import org.gypsumturn.batch.model.queueId
import org.gypsumturn.batch.port.Advice
import org.gypsumturn.batch.port.PollAnswer
import org.gypsumturn.batch.port.Ticket
import org.gypsumturn.batch.schedule.AdviceQuestion
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.DecisionLog
import org.gypsumturn.batch.schedule.ExecutorOrder
import org.gypsumturn.batch.schedule.JobKnowledge
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.schedule.StepOrder
import org.gypsumturn.batch.schedule.StoredRoster
import org.gypsumturn.batch.state.IncarnationEndSource
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.batch.state.RunEndEvidence
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.WorkspaceId

internal val POOL = PoolId("render")
internal const val HOST = "shop.example"

internal fun queue(
    name: String = "quick",
    pool: PoolId = POOL,
    priority: Int = 0,
    maxAttempts: Int = 2,
    stretch: Double = 1.6,
): Queue = Queue(queueId(HOST, "/$name/"), HOST, "/$name/", pool, priority, maxAttempts, stretch, 600, 3_000, null)

internal fun configuration(
    vararg queues: Queue,
    version: Long = 1,
    guarded: Boolean = true,
    workspaces: List<Workspace>? = null,
): FleetConfiguration {
    val pools = queues.map { it.pool }.distinct().map { PoolRecord(it, guarded, false, "/health") }
    val directory = workspaces?.let { list -> WorkspaceDirectory(list.map { KeyedWorkspace(it, listOf("key-$it")) }) }
    return FleetConfiguration(version, queues.toList(), pools.associateBy { it.id }, CallerLimits(262_144), directory)
}

internal fun workspace(name: String, weight: Double = 1.0, capCpuMillis: Long = 0): Workspace =
    Workspace(WorkspaceId(name), weight, ResourceAmounts(capCpuMillis))

internal fun job(number: Int, vararg steps: Step, queue: String = "quick"): BatchJob =
    BatchJob(JobId("%016x".format(number)), HOST, "/$queue/", "spec", steps.toList())

internal fun step(
    count: Int = 1,
    cpuMillis: Long = 1_000,
    estimateMillis: Long = 1_000,
    after: List<Int> = emptyList(),
): Step = Step(count, ResourceAmounts(cpuMillis, 100, 0), estimateMillis, after)

/** Time that the simulated advisor takes to answer, and time for which its tickets are valid. */
private const val ADVISOR_ANSWER_MILLIS = 150L
private const val TICKET_VALID_MILLIS = 2_000L

internal val TEST_SETTINGS = SchedulerSettings(5_000, MAX_LEASE_MILLIS, 120)

/** Longest lease that an executor grants. */
private const val MAX_LEASE_MILLIS = 6_000L

/** Time from the start of a crashing task to the crash, and until the executor is back. */
private const val CRASH_DELAY_MILLIS = 10L
private const val RESTART_MILLIS = 3_200L

/** Times after a crash at which the list of machines shows it, and at which the executor's entry lapses. */
private const val LIST_DELAY_MILLIS = 2_100L
private const val ENTRY_LAPSE_MILLIS = 4_500L

/** Time after an outage of the store within which entries that have lapsed are written again. */
private const val ENTRY_RETURN_MILLIS = 2_000L

/** A task may be started this often after so many executors have crashed under it. */
private const val ALLOWED_CRASHES = 3
private const val ALLOWED_LATE_STARTS = 2

/**
 * Fault of one start order. `ANSWER_LOST`, `APPLIED_LATE` and `NEVER_APPLIED` lose the answer; the order is carried out
 * at once, late or never. `NO_ROOM` and `OTHER_INSTANCE` refuse the order and `UNREACHABLE` does not deliver it.
 */
internal enum class StartFault { ANSWER_LOST, APPLIED_LATE, NEVER_APPLIED, NO_ROOM, OTHER_INSTANCE, UNREACHABLE }

/**
 * How the holder learns of an executor that a task has crashed. `LISTED`: the list of machines shows its end and it is
 * back under another id. `SAME_ID`: it is back under its id. `SILENT`: its entry lapses, and nothing else tells.
 */
internal enum class CrashNotice { LISTED, SAME_ID, SILENT }

/** One executor of the simulated fleet. */
internal class VirtualExecutor(
    val id: InstanceId,
    val pool: PoolId,
    var capacity: ResourceAmounts,
    val labels: Set<String>,
) {
    /** Whether it refuses runs that do not fit. If not, it starts them, which is a breach by the scheduler. */
    var guardsCapacity = true

    class VirtualRun(val id: RunId, val startedMillis: Long, val size: ResourceAmounts, var stopAtMillis: Long? = null)

    val runs = LinkedHashMap<RunId, VirtualRun>()
    val ends = ArrayList<ReportedRunEnd>()

    /**
     * The highest attempt of each task that has ended or was stopped here. Starts of this attempt and of lower ones are
     * refused.
     */
    val highestPastAttempt = HashMap<TaskName, Long>()

    /** Faults of the next start orders, in this order. */
    val startFaults = ArrayDeque<StartFault>()

    /** Whether it refuses polls as unhealthy, which have no effect then. */
    var refusesPolls = false

    /** Whether it holds back the answer to a poll, as long as the poll allows, until a run has ended. */
    var holdsPolls = false

    /** Time that the answer to a poll takes to arrive. */
    var pollAnswerMillis = 1L
    var incarnationStartMillis = 1L

    /** Time at which its clock showed 0. */
    var clockOriginMillis = 0L
    var endNumber = 0L
    var highestEpoch = 0L
    var leaseEndMillis = 0L

    /** Holders whose calls do not reach this executor. */
    val unreachableFrom = HashSet<BatchScheduler>()

    /** Whether calls reach this executor, and whether its answers arrive. */
    var reachable = true
    var answersArrive = true

    /** Number of ends that a report lists at most. */
    var endsPerReport = 500

    /** Factor on the duration of each task that runs here. */
    var slowness = 1.0
    var failsAllRuns = false

    val used: ResourceAmounts get() = runs.values.fold(ResourceAmounts.NONE) { sum, run -> sum + run.size }

    /** Its own clock, which starts anew with each incarnation. */
    fun clockMillis(nowMillis: Long): Long = nowMillis - clockOriginMillis

    fun extendLease(nowMillis: Long, endMillis: Long) {
        leaseEndMillis = maxOf(leaseEndMillis, minOf(endMillis, clockMillis(nowMillis) + MAX_LEASE_MILLIS))
    }

    /** Begins the next incarnation, which knows nothing of the earlier one. */
    fun startAnew(nowMillis: Long) {
        runs.clear()
        ends.clear()
        incarnationStartMillis = nowMillis
        clockOriginMillis = nowMillis
        endNumber = 0
        highestPastAttempt.clear()
        highestEpoch = 0
        leaseEndMillis = 0
        reachable = true
    }

    fun record(draining: Boolean = false) = ExecutorRecord(
        id,
        Incarnation(incarnationStartMillis),
        pool,
        "10.0.0.1:1",
        DataCentreId("a"),
        capacity,
        labels,
        draining,
        null,
    )
}

/** Answers [question]. Tickets name the step, the executor and the time at which they expire. */
private fun advise(nowMillis: Long, question: AdviceQuestion, allowedByPolicy: Set<InstanceId>): Advice {
    val allowed = question.executors.filter { it in allowedByPolicy }
    val untilMillis = nowMillis + TICKET_VALID_MILLIS
    return Advice(
        allowed.map { Ticket(it, "${question.step.tasks.first().name}/$it/$untilMillis") },
        TICKET_VALID_MILLIS,
    )
}

private fun isTicketValid(nowMillis: Long, executor: VirtualExecutor, ticket: String?): Boolean {
    val parts = ticket.orEmpty().split('/')
    return parts.size == 3 && parts[1] == executor.id.value && parts[2].toLong() >= nowMillis
}

/**
 * Lets a new holder take over while the old one goes on, which believes that its lease lapses at
 * [validUntilMillis].
 */
internal fun VirtualFleet.takeOverFromLiveHolder(
    epoch: Long,
    validUntilMillis: Long,
    hasLapsedEntry: (VirtualExecutor) -> Boolean = { false },
) {
    resumeFormerHolder(scheduler, validUntilMillis)
    takeOver(epoch, hasLapsedEntry = hasLapsedEntry)
}

/** A [holder] that is suspended between its decisions and their sending. */
internal class SuspendedHolder(val holder: BatchScheduler) {
    val unsentOrders = ArrayList<ExecutorOrder>()

    /** Keeps [order] back if it is one of this holder. */
    fun withholds(sender: BatchScheduler, order: ExecutorOrder): Boolean = sender === holder && unsentOrders.add(order)
}

/** Suspends the holder before it sends the orders that it decides next. Another one may take over meanwhile. */
internal fun VirtualFleet.suspendHolder() {
    suspendedHolder = SuspendedHolder(scheduler)
}

/**
 * Lets the suspended holder send what it had decided, and go on until its lease lapses at [validUntilMillis] by its
 * clocks.
 */
internal fun VirtualFleet.wakeHolder(validUntilMillis: Long) {
    val suspended = checkNotNull(suspendedHolder)
    suspendedHolder = null
    suspended.unsentOrders.forEach { deliver(suspended.holder, it) }
    resumeFormerHolder(suspended.holder, validUntilMillis)
}

/** Simulates a fleet that is controlled by [scheduler], in steps of a few milliseconds. */
internal class VirtualFleet(
    executors: Int,
    capacity: ResourceAmounts = ResourceAmounts(16_000, 32_000, 0),
    var configuration: FleetConfiguration = configuration(queue()),
    pool: PoolId = POOL,
    private val stepOrder: StepOrder? = null,
    private val settings: SchedulerSettings = TEST_SETTINGS,
) {
    var nowMillis = 1_000L

    /** Whether the holder can read the entries of the executors. */
    var executorsCanBeRead = true

    /** What the holder knows of the stored jobs at a time. */
    var jobKnowledge: (Long) -> JobKnowledge = JobKnowledge::current

    /** Time at which the control lease of the holder lapses. */
    var validUntilMillis = Long.MAX_VALUE / 2
    val executors = LinkedHashMap<InstanceId, VirtualExecutor>()
    val durationMillis = HashMap<JobId, (TaskName) -> Long>()
    val failingJobs = HashSet<JobId>()
    val starts = ArrayList<RunId>()
    val breaches = ArrayList<String>()
    val completedMillis = HashMap<JobId, Long>()
    val log = ArrayList<String>()

    /** Tasks that crash each executor that starts them, and how holders learn of the crashes. */
    val crashingTasks = HashSet<TaskName>()
    var crashNotice = CrashNotice.LISTED

    /** Number of executors that have crashed while the task was on them, and of its starts after the third of these. */
    val crashesByTask = HashMap<TaskName, Int>()
    private val startsAfterThirdCrash = HashMap<TaskName, Int>()

    /** Tasks whose success a holder has seen, and tasks that have succeeded. */
    private val doneTasks = HashSet<TaskName>()
    private val succeededTasks = HashSet<TaskName>()
    private val events = java.util.PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
    private val submittedJobs = HashMap<JobId, BatchJob>()
    val capMonitor = CapMonitor {
        this.executors.values.flatMap { it.runs.values }.map { submittedJobs[it.id.task.job] to it }
    }
    private var revision = 100L
    private val stored = HashMap<JobId, ProgressRecord>()

    /** Called with each run that a stop order is about to end, and with its executor. */
    var onStopped: (VirtualExecutor, VirtualExecutor.VirtualRun) -> Unit = { _, _ -> }

    /** Whether changed rosters are stored. If not, the writes have no answer. */
    var rostersAreStored = true

    /** Time that the write of a group of rosters takes. The next group is taken only after it. */
    var rosterWriteMillis: () -> Long = { 0L }
    private var rosterWriter: BatchScheduler? = null
    private val storedRosters = HashMap<PoolId, StoredRoster>()

    /** Executors that the policy of queues with advice allows, and the number of questions to the advisor. */
    val allowedByPolicy = HashSet<InstanceId>()
    var questionCount = 0
    var scheduler = newScheduler(1)

    /** An earlier holder that does not know of its successor, and the time at which its lease lapses. */
    var formerHolder: BatchScheduler? = null
    private var formerHolderValidUntilMillis = 0L
    var suspendedHolder: SuspendedHolder? = null

    init {
        repeat(executors) { add("x$it", capacity, pool) }
    }

    fun newScheduler(epoch: Long): BatchScheduler {
        val recordDecision: DecisionLog = { event, fields -> log += "$event ${fields.toList()}" }
        val newHolder = BatchScheduler(settings, Epoch(epoch), recordDecision, stepOrder)
        newHolder.configure(configuration)
        return newHolder
    }

    fun add(
        name: String,
        capacity: ResourceAmounts,
        pool: PoolId = POOL,
        labels: Set<String> = emptySet(),
    ): VirtualExecutor {
        val executor = VirtualExecutor(InstanceId(name), pool, capacity, labels)
        executors[executor.id] = executor
        scheduler.onExecutorListed(nowMillis, executor.record())
        return executor
    }

    fun submit(job: BatchJob, durationMillis: (TaskName) -> Long = { 1_000 }) {
        submittedJobs[job.id] = job
        this.durationMillis[job.id] = durationMillis
        scheduler.addJob(nowMillis, job, null, Revision.ABSENT, true)
    }

    /** The step of the task with [name]. */
    fun stepOf(name: TaskName): Step = submittedJobs.getValue(name.job).steps[name.step]

    /** Gives the holder a job that was stored before its term. */
    fun submitBeforeTerm(job: BatchJob) {
        submittedJobs[job.id] = job
        durationMillis[job.id] = { 1_000 }
        scheduler.addJob(nowMillis, job, null, Revision.ABSENT, false)
    }

    /**
     * Lets a new holder take over with the stored state. The entries of the executors that [hasLapsedEntry] selects are
     * missing in the store, and back after [entryReturnMillis].
     */
    fun takeOver(
        epoch: Long,
        entryReturnMillis: (VirtualExecutor) -> Long = { ENTRY_RETURN_MILLIS },
        hasLapsedEntry: (VirtualExecutor) -> Boolean = { false },
    ) {
        val old = scheduler
        scheduler = newScheduler(epoch)
        val holder = scheduler
        val (lapsed, listed) = executors.values.partition(hasLapsedEntry)
        listed.forEach { holder.onExecutorListed(nowMillis, it.record()) }
        lapsed.forEach { executor ->
            after(entryReturnMillis(executor)) { holder.onExecutorListed(nowMillis, executor.record()) }
        }
        old.jobs.forEach { state ->
            scheduler.addJob(nowMillis, state.job, stored[state.job.id], state.revision, false)
        }
        scheduler.startRecovery(nowMillis, storedRosters.toMap(), nowMillis + settings.earlierLeasesMillis)
    }

    /** Lets [holder], which does not know of its successor, go on until its lease lapses at [validUntilMillis]. */
    fun resumeFormerHolder(holder: BatchScheduler, validUntilMillis: Long) {
        formerHolder = holder
        formerHolderValidUntilMillis = validUntilMillis
    }

    /** Removes what is stored of the executors that tasks may be on, as if an older version had been the holder. */
    fun forgetRosters() {
        storedRosters.clear()
    }

    fun run(forMillis: Long, everyMillis: Long = 5, each: () -> Unit = {}) {
        val end = nowMillis + forMillis
        while (nowMillis < end) {
            nowMillis += everyMillis
            while (events.isNotEmpty() && events.peek().first <= nowMillis) events.poll().second()
            executors.values.forEach(::advance)
            formerHolder?.let { old ->
                old.runSchedulingPass(nowMillis, nowMillis, nowMillis - formerHolderValidUntilMillis)
                    .forEach { deliver(old, it) }
            }
            val holder = scheduler
            if (executorsCanBeRead) holder.onExecutorsRead(nowMillis)
            holder.runSchedulingPass(nowMillis, nowMillis, nowMillis - validUntilMillis, jobKnowledge(nowMillis))
                .forEach { deliver(holder, it) }
            holder.takeQuestions().forEach { question ->
                questionCount++
                after(ADVISOR_ANSWER_MILLIS) {
                    holder.onAdviceAnswered(
                        nowMillis,
                        question,
                        Verdict.Ran(advise(nowMillis, question, allowedByPolicy)),
                    )
                }
            }
            store()
            scheduler.jobs.filter { it.visiblePhase == JobPhase.COMPLETED }
                .forEach { completedMillis.putIfAbsent(it.job.id, nowMillis) }
            each()
        }
    }

    private fun holdsTicket(executor: VirtualExecutor, order: ExecutorOrder.Start): Boolean {
        val queue = configuration.queues.single { it.id == submittedJobs.getValue(order.order.run.task.job).queue }
        return queue.advice == null || isTicketValid(nowMillis, executor, order.order.ticket)
    }

    private fun store() {
        if (nowMillis > validUntilMillis) return
        if (rosterWriter !== scheduler) storeRosters(scheduler)
        scheduler.takeChanges(100).forEach { change ->
            stored[change.job.job.id] = change.record
            scheduler.onProgressStored(change, Revision(++revision))
        }
    }

    private fun storeRosters(holder: BatchScheduler) {
        val changes = holder.takeRosterChanges(100)
        if (changes.isEmpty() || !rostersAreStored) return
        val commit = {
            changes.forEach { change ->
                val row = StoredRoster(change.roster, Revision(++revision))
                storedRosters[change.pool] = row
                holder.onRosterStored(change, row.revision)
            }
        }
        val writeMillis = rosterWriteMillis()
        if (writeMillis == 0L) return commit()
        rosterWriter = holder
        after(writeMillis) {
            rosterWriter = null
            if (scheduler === holder) commit()
        }
    }

    /** Runs [action] after [millis]. */
    fun after(millis: Long, action: () -> Unit) {
        events += (nowMillis + millis) to action
    }

    private fun advance(executor: VirtualExecutor) {
        if (executor.clockMillis(nowMillis) > executor.leaseEndMillis) {
            executor.runs.values.toList().forEach { end(executor, it, RunEnd.LAPSED) }
            // The task of an end that was not acknowledged before the lease lapsed may be started again.
            executor.ends.forEach { doneTasks -= it.run.task }
        }
        executor.runs.values.toList().forEach { run ->
            val stopping = run.stopAtMillis
            val duration = durationMillis.getValue(run.id.task.job)(run.id.task) * executor.slowness
            val over = nowMillis - run.startedMillis >= duration
            when {
                stopping != null && nowMillis >= stopping -> end(executor, run, RunEnd.STOPPED)
                over && (executor.failsAllRuns || run.id.task.job in failingJobs) -> end(executor, run, RunEnd.FAILED)
                over -> end(executor, run, RunEnd.DONE)
            }
        }
    }

    private fun end(executor: VirtualExecutor, run: VirtualExecutor.VirtualRun, how: RunEnd) {
        executor.runs.remove(run.id)
        executor.highestPastAttempt.merge(run.id.task, run.id.attempt, ::maxOf)
        if (how == RunEnd.DONE) succeededTasks += run.id.task
        executor.ends += ReportedRunEnd(++executor.endNumber, run.id, how, "")
    }

    fun deliver(holder: BatchScheduler, order: ExecutorOrder) {
        if (suspendedHolder?.withholds(holder, order) == true) return
        val executor = executors[order.target.id]?.takeIf { holder !in it.unreachableFrom }
        when (order) {
            is ExecutorOrder.Start -> {
                val answered = { verdict: Verdict<OrderAnswer> ->
                    holder.onStartAnswered(nowMillis, order, verdict)
                }
                val fault = executor?.startFaults?.removeFirstOrNull()
                if (fault == null) {
                    call(executor, { start(it, order) }, 1, answered)
                } else {
                    deliverFaultyStart(executor, order, fault, answered)
                }
            }

            is ExecutorOrder.Stop -> call(executor, { stop(it, order) }, 1) {
                holder.onStopAnswered(nowMillis, order, it)
            }

            is ExecutorOrder.Poll -> {
                val waitMillis = order.order.waitMillis
                val answered = { verdict: Verdict<PollAnswer> -> holder.onPollAnswered(nowMillis, order, verdict) }
                if (executor?.holdsPolls == true && waitMillis != null) {
                    after(1) {
                        if (executor.reachable) poll(holder, executor, order)
                        holdPoll(holder, executor, order, nowMillis + waitMillis, answered)
                    }
                } else {
                    call(executor, { poll(holder, it, order) }, executor?.pollAnswerMillis ?: 1, answered)
                }
            }

            is ExecutorOrder.Forget -> Unit
        }
    }

    /** Answers the poll once a run has ended on [executor], or at [untilMillis]. */
    private fun holdPoll(
        holder: BatchScheduler,
        executor: VirtualExecutor,
        order: ExecutorOrder.Poll,
        untilMillis: Long,
        answered: (Verdict<PollAnswer>) -> Unit,
    ) {
        val isHeld = nowMillis < untilMillis && executor.ends.isEmpty() && !executor.refusesPolls
        if (executor.reachable && isHeld) {
            after(5) { holdPoll(holder, executor, order, untilMillis, answered) }
            return
        }
        val isUp = executors[executor.id] === executor && executor.reachable
        val answer = if (isUp) poll(holder, executor, order) else null
        if (answer != null && executor.answersArrive) {
            after(executor.pollAnswerMillis) { answered(Verdict.Ran(answer)) }
        } else {
            after(maxOf(0, untilMillis - nowMillis) + 300) {
                answered(Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer")))
            }
        }
    }

    private fun deliverFaultyStart(
        executor: VirtualExecutor,
        order: ExecutorOrder.Start,
        fault: StartFault,
        answered: (Verdict<OrderAnswer>) -> Unit,
    ) {
        when (fault) {
            StartFault.NO_ROOM ->
                after(1) { answered(Verdict.Ran(OrderAnswer.Refused(RefusalReason.NO_ROOM, nowMillis))) }

            StartFault.OTHER_INSTANCE ->
                after(1) { answered(Verdict.Ran(OrderAnswer.Refused(RefusalReason.OTHER_INSTANCE, nowMillis))) }

            StartFault.UNREACHABLE ->
                after(1) { answered(Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "no path"))) }

            StartFault.ANSWER_LOST, StartFault.APPLIED_LATE, StartFault.NEVER_APPLIED -> {
                val applyMillis = if (fault == StartFault.APPLIED_LATE) 1_000L else 1L
                if (fault != StartFault.NEVER_APPLIED) after(applyMillis) { start(executor, order) }
                after(300) { answered(Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer"))) }
            }
        }
    }

    private fun <T : Any> call(
        executor: VirtualExecutor?,
        act: (VirtualExecutor) -> T,
        answerMillis: Long,
        answered: (Verdict<T>) -> Unit,
    ) {
        if (executor == null || !executor.reachable) {
            after(300) { answered(Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "no path"))) }
            return
        }
        after(1) {
            val answer = if (executor.reachable) act(executor) else null
            if (answer != null && executor.answersArrive) {
                after(answerMillis) { answered(Verdict.Ran(answer)) }
            } else {
                after(300) { answered(Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer"))) }
            }
        }
    }

    private fun start(executor: VirtualExecutor, order: ExecutorOrder.Start): OrderAnswer {
        val id = order.order.run
        val clockMillis = executor.clockMillis(nowMillis)
        if (id in executor.runs) return OrderAnswer.Done(clockMillis)
        val size = submittedJobs.getValue(id.task.job).steps[id.task.step].size
        val reason = when {
            order.order.epoch.value < executor.highestEpoch -> RefusalReason.FENCED
            order.order.leaseEndMillis < clockMillis -> RefusalReason.LATE
            !holdsTicket(executor, order) -> RefusalReason.TICKET
            id.attempt <= (executor.highestPastAttempt[id.task] ?: 0) -> RefusalReason.SUPERSEDED
            executor.guardsCapacity && !(executor.used + size).fitsInto(executor.capacity) -> RefusalReason.NO_ROOM
            else -> null
        }
        if (reason != null) return OrderAnswer.Refused(reason, clockMillis)
        executor.highestEpoch = order.order.epoch.value
        executor.extendLease(nowMillis, order.order.leaseEndMillis)
        checkStart(id)
        if (!(executor.used + size).fitsInto(executor.capacity)) {
            breaches +=
                "$id exceeds the capacity of ${executor.id}"
        }
        executor.runs[id] = VirtualExecutor.VirtualRun(id, nowMillis, size)
        capMonitor.findBreach(configuration, id, size)?.let(breaches::add)
        if (id.task in crashingTasks) after(CRASH_DELAY_MILLIS) { if (id in executor.runs) crash(executor) }
        return OrderAnswer.Done(clockMillis)
    }

    /** Ends [executor] with all of its runs. It is back after some seconds, as [crashNotice] tells. */
    fun crash(executor: VirtualExecutor) {
        executor.runs.keys.forEach { crashesByTask.merge(it.task, 1, Int::plus) }
        executor.runs.clear()
        executor.ends.clear()
        executor.reachable = false
        when (crashNotice) {
            CrashNotice.LISTED -> {
                after(LIST_DELAY_MILLIS) {
                    scheduler.onExecutorGone(nowMillis, executor.id, planned = false, listedDown())
                }
                after(LIST_DELAY_MILLIS) { scheduler.onExecutorUnlisted(nowMillis, executor.id) }
                after(RESTART_MILLIS) { replace(executor) }
            }

            CrashNotice.SAME_ID -> after(RESTART_MILLIS) { restart(executor) }

            CrashNotice.SILENT -> {
                after(ENTRY_LAPSE_MILLIS) { scheduler.onExecutorUnlisted(nowMillis, executor.id) }
                after(RESTART_MILLIS) { replace(executor) }
            }
        }
    }

    /** What the list of machines tells of an executor whose machine it shows as down. */
    fun listedDown() = RunEndEvidence.IncarnationEnded(IncarnationEndSource.MACHINE_LIST, nowMillis)

    private fun replace(executor: VirtualExecutor) {
        executors -= executor.id
        add("${executor.id}'", executor.capacity, executor.pool, executor.labels)
    }

    /** Ends all runs of [executor], which is back at once as the next incarnation under its id. */
    fun restart(executor: VirtualExecutor) {
        executor.startAnew(nowMillis)
    }

    private fun checkStart(id: RunId) {
        starts += id
        val job = submittedJobs.getValue(id.task.job)
        if (id.task in crashingTasks && (crashesByTask[id.task] ?: 0) >= ALLOWED_CRASHES) {
            val count = startsAfterThirdCrash.merge(id.task, 1, Int::plus)!!
            if (count > ALLOWED_LATE_STARTS) breaches += "$id starts $count times after its third crash"
        }
        if (id.task in doneTasks || isDoneUnderLease(id.task)) breaches += "$id starts although its task is done"
        val step = job.steps[id.task.step]
        val twice = executors.values.any { other -> other.runs.keys.any { it.task == id.task } }
        if (twice && !step.speculative) breaches += "$id runs twice"
        step.after.forEach { before ->
            repeat(job.steps[before].count) { index ->
                val name = TaskName(job.id, id.task.occurrence, before, index)
                if (name !in succeededTasks) breaches += "$id starts before $name is done"
            }
        }
    }

    /** Whether an executor has an end of [task] as done that it has not listed yet and that may still be noted. */
    private fun isDoneUnderLease(task: TaskName): Boolean = executors.values.any { executor ->
        executor.clockMillis(nowMillis) <= executor.leaseEndMillis &&
            executor.ends.drop(executor.endsPerReport).any { it.run.task == task && it.end == RunEnd.DONE }
    }

    private fun stop(executor: VirtualExecutor, order: ExecutorOrder.Stop): OrderAnswer {
        val id = order.run
        val run = executor.runs[id]
        if (run == null) executor.highestPastAttempt.merge(id.task, id.attempt, ::maxOf)
        if (run != null && run.stopAtMillis == null) {
            onStopped(executor, run)
            run.stopAtMillis = nowMillis + 200
        }
        return OrderAnswer.Done(executor.clockMillis(nowMillis))
    }

    private fun poll(holder: BatchScheduler, executor: VirtualExecutor, order: ExecutorOrder.Poll): PollAnswer {
        if (order.order.epoch.value < executor.highestEpoch) return PollAnswer.Refused(RefusalReason.FENCED)
        if (executor.refusesPolls) return PollAnswer.Refused(RefusalReason.UNHEALTHY)
        executor.highestEpoch = order.order.epoch.value
        order.order.leaseEndMillis?.let { executor.extendLease(nowMillis, it) }
        val dropped = executor.ends.filter { it.endNumber <= order.order.acknowledgedEndNumber }
        dropped.filter { it.end == RunEnd.DONE }.forEach { doneTasks += it.run.task }
        executor.ends -= dropped.toSet()
        // Once the holder has seen a success, the task must not be started again. A former holder cannot store it, so
        // that only the report to its successor counts.
        val listedEnds = executor.ends.take(executor.endsPerReport)
        if (holder !== formerHolder) listedEnds.filter { it.end == RunEnd.DONE }.forEach { doneTasks += it.run.task }
        val running = executor.runs.values.map { run ->
            val duration = durationMillis.getValue(run.id.task.job)(run.id.task) * executor.slowness
            val elapsed = nowMillis - run.startedMillis
            val longRunning = submittedJobs.getValue(run.id.task.job).steps[run.id.task.step].longRunning
            val percent = if (longRunning && elapsed > 500) 100 else (elapsed * 100 / duration).toInt().coerceIn(0, 99)
            ReportedRun(run.id, "", percent, 0)
        }
        return PollAnswer.Reported(
            ExecutorReport(
                executor.clockMillis(nowMillis),
                Incarnation(executor.incarnationStartMillis),
                running,
                listedEnds,
                endsComplete = listedEnds.size < executor.endsPerReport,
            ),
        )
    }
}
