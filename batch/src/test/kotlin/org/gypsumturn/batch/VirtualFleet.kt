// A fleet of executors in virtual time, driven by the orders of a scheduler. It follows the executors' rules: room,
// leases, fences, ends that are listed until they are acknowledged; and it notes every breach of the users' promises.

package org.gypsumturn.batch

import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.CallerLimits
import org.gypsumturn.batch.model.ExecutorRecord
import org.gypsumturn.batch.model.ExecutorReport
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.Incarnation
import org.gypsumturn.batch.model.JobPhase
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
import org.gypsumturn.batch.model.queueId
import org.gypsumturn.batch.port.Advice
import org.gypsumturn.batch.port.PollAnswer
import org.gypsumturn.batch.port.Ticket
import org.gypsumturn.batch.schedule.AdviceQuestion
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.DecisionLog
import org.gypsumturn.batch.schedule.Order
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.schedule.StepOrder
import org.gypsumturn.batch.schedule.orderByPlan
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

internal val POOL = PoolId("render")
internal const val HOST = "shop.example"

internal fun queue(
    name: String = "quick",
    pool: PoolId = POOL,
    priority: Int = 0,
    maxAttempts: Int = 2,
    stretch: Double = 1.6,
): Queue = Queue(queueId(HOST, "/$name/"), HOST, "/$name/", pool, priority, maxAttempts, stretch, 600, 3_000, null)

internal fun configuration(vararg queues: Queue, version: Long = 1): FleetConfiguration {
    val pools = queues.map { it.pool }.distinct().map { PoolRecord(it, true, false, "/health") }
    return FleetConfiguration(version, queues.toList(), pools.associateBy { it.id }, CallerLimits(262_144))
}

internal fun job(number: Int, vararg steps: Step, queue: String = "quick"): BatchJob =
    BatchJob(JobId("%016x".format(number)), HOST, "/$queue/", "spec", steps.toList())

internal fun step(
    count: Int = 1,
    cpuMillis: Long = 1_000,
    estimateMillis: Long = 1_000,
    after: List<Int> = emptyList(),
): Step = Step(count, ResourceAmounts(cpuMillis, 100, 0), estimateMillis, after)

/** How long the virtual advisor takes, and how long its tickets hold. */
private const val ADVICE_MILLIS = 150L
private const val TICKET_MILLIS = 2_000L

internal val TEST_SETTINGS = SchedulerSettings(5_000, 120)

/** What happens to one start: its answer is lost, and it is carried out at once, late, or never; or it is refused. */
internal enum class StartTrouble { ANSWER_LOST, APPLIED_LATE, NEVER_APPLIED, NO_ROOM, UNREACHABLE }

/** One executor of the virtual fleet. */
internal class VirtualExecutor(
    val id: InstanceId,
    val pool: PoolId,
    val capacity: ResourceAmounts,
    val labels: Set<String>,
) {
    class VirtualRun(val id: RunId, val startedMillis: Long, val size: ResourceAmounts, var stoppingAt: Long? = null)

    val runs = LinkedHashMap<RunId, VirtualRun>()
    val ends = ArrayList<ReportedRunEnd>()

    /** The highest attempt of each task that has ended or was stopped here; it and lower ones are refused. */
    val past = HashMap<TaskName, Long>()

    /** Troubles of the next starts, in turn. */
    val startTroubles = ArrayDeque<StartTrouble>()

    /** How long the answer to a look is on its way. */
    var lookMillis = 1L
    var born = 1L
    var endNumber = 0L
    var fence = 0L
    var leaseEndMillis = 0L

    /** Holders whose calls do not reach it. */
    val cutFrom = HashSet<BatchScheduler>()

    /** Whether calls reach it, and whether its answers come back. */
    var reachable = true
    var answers = true

    /** How long a run on it takes, times the task's own duration. */
    var slowness = 1.0
    var failsAll = false

    val used: ResourceAmounts get() = runs.values.fold(ResourceAmounts.NONE) { sum, run -> sum + run.size }

    fun record(draining: Boolean = false) =
        ExecutorRecord(id, Incarnation(born), pool, "10.0.0.1:1", DataCentreId("a"), capacity, labels, draining, null)
}

/** Drives [scheduler] in steps of a few milliseconds. */
internal class VirtualFleet(
    executors: Int,
    capacity: ResourceAmounts = ResourceAmounts(16_000, 32_000, 0),
    var configuration: FleetConfiguration = configuration(queue()),
    pool: PoolId = POOL,
    private val order: StepOrder = orderByPlan,
) {
    var nowMillis = 1_000L

    /** When the holder's lease lapses. */
    var validUntilMillis = Long.MAX_VALUE / 2
    val executors = LinkedHashMap<InstanceId, VirtualExecutor>()
    val durationMillis = HashMap<JobId, (TaskName) -> Long>()
    val doomed = HashSet<JobId>()
    val starts = ArrayList<RunId>()
    val breaches = ArrayList<String>()
    val completedMillis = HashMap<JobId, Long>()
    val log = ArrayList<String>()

    /** Tasks whose good end a holder has seen, and tasks that have ended well. */
    private val doneTasks = HashSet<TaskName>()
    private val endedTasks = HashSet<TaskName>()
    private val events = java.util.PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
    private val sizes = HashMap<JobId, BatchJob>()
    private var revision = 100L
    private val stored = HashMap<JobId, ProgressRecord>()

    /** Executors that the policy of queues with advice allows, and how often the advisor was asked. */
    val policy = HashSet<InstanceId>()
    var questions = 0
    var scheduler = newScheduler(1)

    /** An earlier holder that has not learned of its successor, and when its lease has lapsed. */
    var former: BatchScheduler? = null
    private var formerValidUntilMillis = 0L

    init {
        repeat(executors) { add("x$it", capacity, pool) }
    }

    fun newScheduler(epoch: Long): BatchScheduler {
        val note: DecisionLog = { event, fields -> log += "$event ${fields.toList()}" }
        val fresh = BatchScheduler(TEST_SETTINGS, Epoch(epoch), note, order)
        fresh.configure(configuration)
        return fresh
    }

    fun add(
        name: String,
        capacity: ResourceAmounts,
        pool: PoolId = POOL,
        labels: Set<String> = emptySet(),
    ): VirtualExecutor {
        val executor = VirtualExecutor(InstanceId(name), pool, capacity, labels)
        executors[executor.id] = executor
        scheduler.listed(nowMillis, executor.record())
        return executor
    }

    fun submit(job: BatchJob, durationMillis: (TaskName) -> Long = { 1_000 }) {
        sizes[job.id] = job
        this.durationMillis[job.id] = durationMillis
        scheduler.accept(nowMillis, job, null, Revision.ABSENT, true)
    }

    /** Makes a new holder take over with what is stored. */
    fun takeOver(epoch: Long) {
        val old = scheduler
        scheduler = newScheduler(epoch)
        executors.values.forEach { scheduler.listed(nowMillis, it.record()) }
        old.jobs.forEach { state ->
            scheduler.accept(nowMillis, state.job, stored[state.job.id], state.revision, false)
        }
        scheduler.recover(nowMillis + 5_500)
    }

    /** Makes a new holder take over while the old one goes on, whose lease has lapsed at [validUntilMillis]. */
    fun takeOverBeside(epoch: Long, validUntilMillis: Long) {
        former = scheduler
        formerValidUntilMillis = validUntilMillis
        takeOver(epoch)
    }

    fun run(forMillis: Long, everyMillis: Long = 5, each: () -> Unit = {}) {
        val end = nowMillis + forMillis
        while (nowMillis < end) {
            nowMillis += everyMillis
            while (events.isNotEmpty() && events.peek().first <= nowMillis) events.poll().second()
            executors.values.forEach(::advance)
            former?.let { old ->
                old.work(nowMillis, nowMillis, nowMillis - formerValidUntilMillis).forEach { carry(old, it) }
            }
            val holder = scheduler
            holder.work(nowMillis, nowMillis, nowMillis - validUntilMillis).forEach { carry(holder, it) }
            holder.takeQuestions().forEach { question ->
                questions++
                after(ADVICE_MILLIS) { holder.advised(nowMillis, question, Verdict.Ran(advise(question))) }
            }
            store()
            scheduler.jobs.filter { it.shownPhase == JobPhase.COMPLETED }
                .forEach { completedMillis.putIfAbsent(it.job.id, nowMillis) }
            each()
        }
    }

    /** Tickets name the step and the executor, and when they end. */
    private fun advise(question: AdviceQuestion): Advice {
        val allowed = question.executors.filter { it in policy }
        val untilMillis = nowMillis + TICKET_MILLIS
        return Advice(allowed.map { Ticket(it, "${question.step.tasks.first().name}/$it/$untilMillis") }, TICKET_MILLIS)
    }

    private fun holdsTicket(executor: VirtualExecutor, order: Order.Start): Boolean {
        val queue = configuration.queues.single { it.id == sizes.getValue(order.order.run.task.job).queue }
        if (queue.advice == null) return true
        val parts = order.order.ticket.orEmpty().split('/')
        return parts.size == 3 && parts[1] == executor.id.value && parts[2].toLong() >= nowMillis
    }

    private fun store() {
        if (nowMillis > validUntilMillis) return
        scheduler.takeChanges(100).forEach { change ->
            stored[change.job.job.id] = change.record
            scheduler.stored(change, Revision(++revision))
        }
    }

    private fun after(millis: Long, action: () -> Unit) {
        events += (nowMillis + millis) to action
    }

    private fun advance(executor: VirtualExecutor) {
        if (nowMillis > executor.leaseEndMillis) {
            executor.runs.values.toList().forEach { end(executor, it, RunEnd.LAPSED) }
            // An end that was not acknowledged before the executor's lease lapsed does not count.
            executor.ends.forEach { doneTasks -= it.run.task }
        }
        executor.runs.values.toList().forEach { run ->
            val stopping = run.stoppingAt
            val duration = durationMillis.getValue(run.id.task.job)(run.id.task) * executor.slowness
            val over = nowMillis - run.startedMillis >= duration
            when {
                stopping != null && nowMillis >= stopping -> end(executor, run, RunEnd.STOPPED)
                over && (executor.failsAll || run.id.task.job in doomed) -> end(executor, run, RunEnd.FAILED)
                over -> end(executor, run, RunEnd.DONE)
            }
        }
    }

    private fun end(executor: VirtualExecutor, run: VirtualExecutor.VirtualRun, how: RunEnd) {
        executor.runs.remove(run.id)
        executor.past.merge(run.id.task, run.id.attempt, ::maxOf)
        if (how == RunEnd.DONE) endedTasks += run.id.task
        executor.ends += ReportedRunEnd(++executor.endNumber, run.id, how, "")
    }

    private fun carry(holder: BatchScheduler, order: Order) {
        val executor = executors[order.target.id]?.takeIf { holder !in it.cutFrom }
        when (order) {
            is Order.Start -> {
                val answered = { verdict: Verdict<OrderAnswer> -> holder.startAnswered(nowMillis, order.run, verdict) }
                val trouble = executor?.startTroubles?.removeFirstOrNull()
                if (trouble == null) {
                    call(executor, { start(it, order) }, 1, answered)
                } else {
                    trouble(executor, order, trouble, answered)
                }
            }

            is Order.Stop -> call(executor, { stop(it, order) }, 1) {
                holder.stopAnswered(nowMillis, order.target.id, order.run, it)
            }

            is Order.Look -> call(executor, { look(holder, it, order) }, executor?.lookMillis ?: 1) {
                holder.looked(nowMillis, order.target.id, it)
            }

            is Order.Forget -> Unit
        }
    }

    private fun trouble(
        executor: VirtualExecutor,
        order: Order.Start,
        trouble: StartTrouble,
        answered: (Verdict<OrderAnswer>) -> Unit,
    ) {
        when (trouble) {
            StartTrouble.NO_ROOM ->
                after(1) { answered(Verdict.Ran(OrderAnswer.Refused(RefusalReason.NO_ROOM, nowMillis))) }

            StartTrouble.UNREACHABLE ->
                after(1) { answered(Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "no path"))) }

            StartTrouble.ANSWER_LOST, StartTrouble.APPLIED_LATE, StartTrouble.NEVER_APPLIED -> {
                val applyMillis = if (trouble == StartTrouble.APPLIED_LATE) 1_000L else 1L
                if (trouble != StartTrouble.NEVER_APPLIED) after(applyMillis) { start(executor, order) }
                after(300) { answered(Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer"))) }
            }
        }
    }

    private fun <T> call(
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
            val answer = act(executor)
            if (executor.answers) {
                after(answerMillis) { answered(Verdict.Ran(answer)) }
            } else {
                after(300) { answered(Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer"))) }
            }
        }
    }

    private fun start(executor: VirtualExecutor, order: Order.Start): OrderAnswer {
        val id = order.order.run
        if (id in executor.runs) return OrderAnswer.Done(nowMillis)
        val size = sizes.getValue(id.task.job).steps[id.task.step].size
        val reason = when {
            order.order.epoch.value < executor.fence -> RefusalReason.FENCED
            order.order.leaseEndMillis < nowMillis -> RefusalReason.LATE
            !holdsTicket(executor, order) -> RefusalReason.TICKET
            id.attempt <= (executor.past[id.task] ?: 0) -> RefusalReason.SUPERSEDED
            !(executor.used + size).fitsInto(executor.capacity) -> RefusalReason.NO_ROOM
            else -> null
        }
        if (reason != null) return OrderAnswer.Refused(reason, nowMillis)
        executor.fence = order.order.epoch.value
        executor.leaseEndMillis = maxOf(executor.leaseEndMillis, order.order.leaseEndMillis)
        checkStart(id)
        executor.runs[id] = VirtualExecutor.VirtualRun(id, nowMillis, size)
        return OrderAnswer.Done(nowMillis)
    }

    private fun checkStart(id: RunId) {
        starts += id
        val job = sizes.getValue(id.task.job)
        if (id.task in doneTasks) breaches += "$id starts though it is done"
        val step = job.steps[id.task.step]
        val twice = executors.values.any { other -> other.runs.keys.any { it.task == id.task } }
        if (twice && !step.speculative) breaches += "$id runs twice"
        step.after.forEach { before ->
            repeat(job.steps[before].count) { index ->
                val name = TaskName(job.id, id.task.occurrence, before, index)
                if (name !in endedTasks) breaches += "$id starts before $name is done"
            }
        }
    }

    private fun stop(executor: VirtualExecutor, order: Order.Stop): OrderAnswer {
        val id = order.run
        val run = executor.runs[id]
        if (run == null) executor.past.merge(id.task, id.attempt, ::maxOf)
        run?.let { it.stoppingAt = it.stoppingAt ?: (nowMillis + 200) }
        return OrderAnswer.Done(nowMillis)
    }

    private fun look(holder: BatchScheduler, executor: VirtualExecutor, order: Order.Look): PollAnswer {
        if (order.order.epoch.value < executor.fence) return PollAnswer.Refused(RefusalReason.FENCED)
        executor.fence = order.order.epoch.value
        order.order.leaseEndMillis?.let { executor.leaseEndMillis = maxOf(executor.leaseEndMillis, it) }
        executor.ends.removeAll { it.endNumber <= order.order.acknowledgedEndNumber }
        // An end counts from when it is listed; one that was never seen before its lease lapsed does not. A former
        // holder can't store it, so that it counts only once its successor has seen it.
        if (holder !== former) executor.ends.filter { it.end == RunEnd.DONE }.forEach { doneTasks += it.run.task }
        val running = executor.runs.values.map { run ->
            val duration = durationMillis.getValue(run.id.task.job)(run.id.task) * executor.slowness
            val elapsed = nowMillis - run.startedMillis
            val longRunning = sizes.getValue(run.id.task.job).steps[run.id.task.step].longRunning
            val percent = if (longRunning && elapsed > 500) 100 else (elapsed * 100 / duration).toInt().coerceIn(0, 99)
            ReportedRun(run.id, "", percent, 0)
        }
        return PollAnswer.Reported(
            ExecutorReport(nowMillis, Incarnation(executor.born), running, executor.ends.toList()),
        )
    }
}
