// The model: holders that drive the real scheduler, executors, the network between them, the store and the machines.
// Each event changes it in a way that depends on nothing else, so that a list of events always leads to the same state.

package org.gypsumturn.batch.check

import org.gypsumturn.batch.configuration
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.ExecutorRecord
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.RefusalReason
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.RunEnd
import org.gypsumturn.batch.model.TaskName
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.batch.queue
import org.gypsumturn.batch.schedule.ExecutorOrder
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.schedule.StoredRoster
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision

/** The time up to which a holder with this feed believes at a given time to know the jobs and cancellations. */
internal typealias JobsAsOf = (feed: ModelJobFeed, nowMillis: Long) -> Long

/**
 * What a model starts with: its machines, each with room for [tasksPerExecutor] tasks, and its jobs. With [waves], that
 * events begin, the holders also give orders for machines, and the tasks are at work when the events begin. With
 * [tasksBegun] the tasks run when the events begin, and polls pass while time does. With [checksAdmission] executors
 * refuse what does not fit, so that holders also place tasks by capacities that they read long ago. With
 * [cancellations] jobs are cancelled, and walks choose these events beside those of all scenarios. [jobsAsOfMillis] is
 * the time up to which holders believe to know the jobs. With [sendsOverdueStarts] a holder that was suspended sends
 * the starts that it had decided before, however long ago that was.
 */
internal class Scenario(
    val name: String,
    val machines: Int,
    val tasksPerExecutor: Int,
    val endsPerReport: Int = 500,
    val dropsQueue: Boolean = false,
    val waves: List<UpkeepWave> = emptyList(),
    val tasksBegun: Boolean = false,
    val checksAdmission: Boolean = false,
    val cancellations: Set<Action> = emptySet(),
    val jobsAsOfMillis: JobsAsOf = { feed, _ -> feed.knownMillis },
    val sendsOverdueStarts: Boolean = false,
    val jobs: List<BatchJob>,
)

/** The model in the state that [scenario] describes, with idle executors that the first holder has asked. */
internal class RunModel(val scenario: Scenario, private val log: (String) -> Unit = {}) {
    var nowMillis = START_MILLIS
        private set
    val rules = RuleMonitor(MAX_ATTEMPTS)
    val machines = List(scenario.machines) { ModelMachine(it) }
    val holders = ArrayList<ModelHolder>()
    val calls = ArrayList<ModelCall>()
    val entries = LinkedHashMap<InstanceId, ExecutorRecord>()
    var storeAway = false
        private set
    var queueDropped = false
        private set
    val jobRows = ModelJobRows()
    private val progress = HashMap<JobId, ProgressRecord>()
    private val rosters = HashMap<PoolId, StoredRoster>()
    private var revision = 1L
    private val network = ModelNetwork(this, log)

    /** Capacity of each executor. */
    val room = ResourceAmounts(TASK_CPU * scenario.tasksPerExecutor, TASK_MEMORY * scenario.tasksPerExecutor, 0)

    /** The platform that carries out orders for machines, in scenarios with waves. */
    val platform = if (scenario.waves.isEmpty()) null else ModelPlatform(this, log)

    val owner: ModelHolder get() = holders.last()

    private val configuration
        get() = if (queueDropped) {
            configuration(queue("other"), guarded = scenario.checksAdmission, version = 2)
        } else {
            configuration(queue(maxAttempts = MAX_ATTEMPTS), guarded = scenario.checksAdmission)
        }

    init {
        machines.forEach { boot(it, "x${it.number}", "a${it.number}") }
        takeOver()
        readAll(owner)
        settle()
        calm(SETTLING_MILLIS)
        scenario.jobs.forEach { job ->
            rules.jobs[job.id] = job
            jobRows.add(ModelJobRow(0, job.id, isCancellation = false))
            owner.addJob(nowMillis, job, null, Revision.ABSENT, neverStarted = true)
        }
        if (platform != null || scenario.tasksBegun) {
            calm(STARTING_MILLIS)
        } else {
            calm(SETTLING_MILLIS, deliver = { it.order !is ExecutorOrder.Start })
        }
    }

    /** Applies [event] and returns true, or changes nothing and returns false if it can't happen now. */
    fun apply(event: ModelEvent): Boolean {
        if (!change(event)) return false
        settle()
        return true
    }

    private fun change(event: ModelEvent): Boolean = when (event.action) {
        Action.ADVANCE -> done { pass(event.number) }

        Action.CALM -> done { calm(event.number) }

        Action.DELIVER, Action.ARRIVE, Action.ANSWER, Action.LOSE, Action.REFUSE ->
            network.apply(event) || applyToPlatform(event)

        Action.STALE, Action.QUIET, Action.WAVE -> applyToPlatform(event)

        Action.DONE -> endRun(event, RunEnd.DONE)

        Action.FAIL -> endRun(event, RunEnd.FAILED)

        Action.CRASH, Action.MOVE, Action.RESTART, Action.REHOME, Action.RENEW, Action.SLOW, Action.ENTRY,
        Action.SILENCE, Action.HEARD,
        ->
            machines.find { it.name == event.target }?.let { changeMachine(it, event.action) } ?: false

        Action.PART, Action.JOIN -> changePath(event)

        Action.LAPSE -> entries.remove(InstanceId(event.target)) != null

        Action.MOVED, Action.ABSENT -> onMachineNews(event)

        Action.TAKEOVER -> mayTakeOver() && done { takeOver() }

        Action.AWAY -> !storeAway && done {
            storeAway = true
            holders.forEach { it.cut = true }
        }

        Action.BACK -> storeAway && done { storeAway = false }

        Action.DROP -> !queueDropped && done { queueDropped = true }

        Action.PAUSE, Action.WAKE, Action.CUT, Action.MEND, Action.RELEASE, Action.STALL, Action.FLUSH ->
            holders.find { it.epoch.toString() == event.target && !it.closed }?.let { changeHolder(it, event.action) }
                ?: false

        Action.CANCEL, Action.HALT, Action.RESUME, Action.DISCARD, Action.READ, Action.SUSPEND -> changeJobRows(event)
    }

    private fun changeJobRows(event: ModelEvent): Boolean {
        if (event.action == Action.CANCEL) return cancel(event)
        val holder = holders.find { it.epoch.toString() == event.target && it.acts } ?: return false
        return changeFeed(holder, event)
    }

    private fun cancel(event: ModelEvent): Boolean {
        val job = scenario.jobs.find { it.id.value.last().toString() == event.target }?.id ?: return false
        return !storeAway && !jobRows.isCancelled(job) && done {
            jobRows.add(ModelJobRow(event.number.toInt(), job, isCancellation = true))
            rules.cancellations.onAcknowledged(nowMillis, job)
        }
    }

    private fun changeFeed(holder: ModelHolder, event: ModelEvent): Boolean {
        val feed = holder.feed
        return when (event.action) {
            Action.HALT -> !feed.halted && done { feed.halted = true }

            Action.RESUME -> feed.halted && done { feed.halted = false }

            Action.DISCARD -> holder.ready && !feed.isReading && done { feed.beginReading() }

            Action.READ -> {
                val partition = event.number.toInt()
                !holder.cut && partition in feed.openPartitions && done { read(holder, partition) }
            }

            else -> !holder.suspendsBeforeStart && done {
                holder.suspendsBeforeStart = true
                holder.suspendsMachine = event.number == 1L
            }
        }
    }

    /** Lets [holder] read [partition]. Once it has read all of them it applies what it read. */
    private fun read(holder: ModelHolder, partition: Int) {
        val rows = holder.feed.read(nowMillis, partition) ?: return
        if (!holder.ready) {
            rows.filter { !it.isCancellation }.forEach {
                holder.addJob(nowMillis, jobOf(it.job), progress[it.job], Revision(revision), neverStarted = false)
            }
            holder.startRecovery(nowMillis, rosters.toMap())
            holder.dispatcher?.continueWaves()
            holder.ready = true
        }
        applyCancellations(holder, rows)
    }

    private fun applyCancellations(holder: ModelHolder, rows: List<ModelJobRow>) {
        rows.filter { it.isCancellation }.forEach { holder.cancelJob(nowMillis, it.job) }
    }

    private fun readAll(holder: ModelHolder) = holder.feed.openPartitions.toList().forEach { read(holder, it) }

    private fun applyToPlatform(event: ModelEvent): Boolean {
        val platform = platform ?: return false
        return when (event.action) {
            Action.QUIET -> done { quiet(event.number, platform) }

            Action.WAVE -> {
                val wave = scenario.waves.find { it.number == event.number && it !in platform.begunWaves }
                wave != null && owner.acts && !owner.cut && done { platform.begin(wave) }
            }

            else -> platform.apply(event)
        }
    }

    private inline fun done(action: () -> Unit): Boolean {
        action()
        return true
    }

    private fun changePath(event: ModelEvent): Boolean {
        val parted = machines.find { it.name == event.target }?.partedTerms ?: return false
        val known = holders.any { it.epoch == event.number && !it.closed }
        return if (event.action == Action.PART) known && parted.add(event.number) else parted.remove(event.number)
    }

    private fun endRun(event: ModelEvent, how: RunEnd): Boolean {
        val executor = machines.find { it.name == event.target }?.executor ?: return false
        val run = executor.runs.keys.elementAtOrNull(event.number.toInt()) ?: return false
        executor.end(run, how)
        return true
    }

    private fun changeMachine(machine: ModelMachine, action: Action): Boolean {
        val executor = machine.executor ?: return startExecutor(machine, action)
        return when (action) {
            Action.CRASH -> done { shutDown(machine, crashed = true) }

            Action.MOVE -> owner.acts && done { orderMove(machine) }

            Action.RESTART, Action.REHOME, Action.RENEW -> false

            Action.SLOW -> !executor.slow && done { executor.slow = true }

            Action.SILENCE, Action.HEARD ->
                machine.silent == (action == Action.HEARD) && done { machine.silent = !machine.silent }

            else -> !storeAway && entries[executor.id] != executor.record() &&
                done { entries[executor.id] = executor.record() }
        }
    }

    private fun startExecutor(machine: ModelMachine, action: Action): Boolean = when (action) {
        Action.RESTART -> machine.crashed && done { boot(machine, machine.lastId, machine.lastAddress) }

        Action.REHOME -> machine.crashed && done { boot(machine, machine.lastId, machine.nextAddress()) }

        Action.RENEW ->
            machine.upkeepWave == null && done { boot(machine, machine.nextId(), machine.lastAddress) }

        else -> false
    }

    private fun orderMove(machine: ModelMachine) {
        machine.executor?.let { owner.onMachineOrderSent(it.id) }
        shutDown(machine, crashed = false)
    }

    /** Ends the executor on [machine], which an upkeep takes down. */
    fun takeDown(machine: ModelMachine) = shutDown(machine, crashed = false)

    /** Starts another executor on [machine] after its upkeep. */
    fun bootAfterUpkeep(machine: ModelMachine) {
        boot(machine, machine.nextId(), machine.nextAddress())
        if (!storeAway) machine.executor?.let { entries[it.id] = it.record() }
    }

    private fun shutDown(machine: ModelMachine, crashed: Boolean) {
        val executor = machine.executor ?: return
        rules.onExecutorEnded(executor, crashed)
        network.onExecutorEnded(executor)
        if (!crashed) machine.movedIds += executor.id.value
        machine.crashed = crashed
        machine.silent = false
        machine.executor = null
    }

    private fun boot(machine: ModelMachine, id: String, address: String) {
        // An executor is born at another time than any before, as the contract's milliseconds are.
        val bornMillis = maxOf(nowMillis, machine.bornMillis + 1)
        val executor =
            ModelExecutor(
                InstanceId(id),
                address,
                bornMillis,
                room,
                scenario.checksAdmission,
                scenario.endsPerReport,
                rules,
            )
        machine.bornMillis = bornMillis
        machine.lastId = id
        machine.lastAddress = address
        machine.executor = executor
        if (holders.isEmpty()) entries[executor.id] = executor.record()
    }

    /** Passes the answer to an order for a machine, or a list that shows a machine as down, to the holder that acts. */
    private fun onMachineNews(event: ModelEvent): Boolean {
        val holder = owner.takeIf { it.acts } ?: return false
        val id = InstanceId(event.target)
        if (event.action == Action.MOVED) {
            return machines.any { event.target in it.movedIds } && done { holder.onMachineOrderDone(nowMillis, id) }
        }
        val absent = machines.any { it.lastId == event.target && it.executor == null }
        return absent && holder.isSilent(id) && done { holder.onMachineAbsent(nowMillis, id) }
    }

    private fun changeHolder(holder: ModelHolder, action: Action): Boolean = when (action) {
        Action.PAUSE -> !holder.paused && done {
            holder.paused = true
            holder.cut = true
        }

        Action.WAKE -> holder.paused && done {
            holder.wake(nowMillis)
            sendUnsent(holder)
        }

        Action.CUT -> !holder.cut && done { holder.cut = true }

        Action.STALL -> !holder.writesStall && done { holder.writesStall = true }

        Action.FLUSH -> holder.writesStall && done { holder.writesStall = false }

        Action.MEND -> !holder.paused && holder.cut && !storeAway && done { mend(holder) }

        else -> holder.acts && !holder.cut && done { holder.closed = true }
    }

    private fun mend(holder: ModelHolder) {
        holder.cut = false
        if (holder === owner) holder.onStoreRegained(nowMillis) else holder.closed = true
    }

    /** Whether another node may claim the control lease. */
    fun mayTakeOver() = !storeAway && (owner.closed || nowMillis - owner.renewedMillis >= ModelHolder.LAPSE_MILLIS)

    private fun takeOver() {
        val holder = ModelHolder(holders.size + 1L, nowMillis, platform, ModelJobFeed(jobRows), log)
        holder.configure(configuration)
        holder.readEntries(nowMillis, entries)
        holder.feed.beginReading()
        if (Action.READ !in scenario.cancellations) readAll(holder)
        holders += holder
    }

    /** Lets each holder do what it does between two events: renew its lease, decide, and store. */
    private fun settle() {
        holders.filter { it.acts }.forEach { holder ->
            repeat(2) {
                if (!holder.acts) return@repeat
                if (!holder.cut) {
                    if (holder !== owner) return@repeat
                    holder.renewedMillis = nowMillis
                    holder.readEntries(nowMillis, entries)
                    applyCancellations(holder, holder.feed.follow(nowMillis))
                }
                if (!holder.ready) return@repeat
                send(holder, holder.runPass(nowMillis, scenario.jobsAsOfMillis(holder.feed, nowMillis)))
                if (!holder.cut && !holder.writesStall) store(holder)
            }
            val mayStore = holder === owner && !holder.cut && !holder.writesStall
            if (holder.acts && holder.ready) holder.runMachineOrders(nowMillis, configuration, mayStore)
        }
    }

    private fun sendUnsent(holder: ModelHolder) {
        val isOverdue = nowMillis - holder.decidedMillis >= SchedulerSettings.ORDER_TIMEOUT_MILLIS
        val (refused, sent) = holder.unsentOrders.toList().partition {
            isOverdue && !scenario.sendsOverdueStarts && it is ExecutorOrder.Start
        }
        holder.unsentOrders.clear()
        refused.forEach { holder.onStartAnswered(nowMillis, it as ExecutorOrder.Start, ModelCall.NOT_RUN) }
        network.send(holder, sent)
    }

    private fun send(holder: ModelHolder, orders: List<ExecutorOrder>) {
        if (holder.suspendsBeforeStart && orders.any { it is ExecutorOrder.Start }) {
            holder.suspend(nowMillis, orders)
        } else {
            network.send(holder, orders)
        }
    }

    private fun store(holder: ModelHolder) {
        holder.takeRosterChanges().forEach { change ->
            rosters[change.pool] = StoredRoster(change.roster, Revision(++revision))
            holder.onRosterStored(change, Revision(revision))
        }
        holder.takeProgressChanges().forEach { change ->
            progress[change.job.job.id] = change.record
            holder.onProgressStored(change, Revision(++revision))
        }
    }

    /** Lets [millis] pass, during which holders decide but no call makes progress. */
    private fun pass(millis: Long) = slices(millis) { }

    /** Lets [millis] pass, during which calls that [deliver] selects are carried out and answered. */
    fun calm(millis: Long, deliver: (ModelCall) -> Boolean = { true }) = slices(millis) {
        network.carryAll(deliver)
        platform?.carryAll()
    }

    /** Lets [millis] pass, during which all calls but orders for machines are carried out and answered. */
    private fun quiet(millis: Long, platform: ModelPlatform) = slices(millis) {
        network.carryAll { true }
        platform.carryAll { it.order == null }
    }

    private inline fun slices(millis: Long, each: () -> Unit) {
        val endMillis = nowMillis + millis
        while (nowMillis < endMillis) {
            val sliceMillis = minOf(SLICE_MILLIS, endMillis - nowMillis)
            nowMillis += sliceMillis
            machines.forEach { it.executor?.advance(sliceMillis) }
            network.failOverdue()
            platform?.advance()
            observeTasks()
            each()
            settle()
        }
    }

    private fun observeTasks() {
        rules.lasting.observe(nowMillis, machines.mapNotNull { it.executor }.flatMap { it.runs.values })
        platform?.recordState()
    }

    /** Lets all faults end. Returns how a lasting task is lost nevertheless, or null if all of them run in time. */
    private fun restartBreach(): String? {
        heal()
        val calmSinceMillis = nowMillis
        while (nowMillis < calmSinceMillis + RESTARTING_MILLIS && rules.breaches.isEmpty()) {
            calm(SLICE_MILLIS)
            rules.lasting.observeRoom(nowMillis) { hasRoomTwice(it) }
            if (rules.jobs.keys.any { owner.phaseOf(it).ended }) break
            rules.lasting.lostBreach(nowMillis, calmSinceMillis)?.let { return it }
        }
        val failed = rules.jobs.keys.any { owner.phaseOf(it) == JobPhase.FAILED && !rules.mayFail(it) }
        return if (failed) "$UNFOUNDED_FAILURE: a job is shown as failed without cause" else null
    }

    private fun hasRoomTwice(task: TaskName): Boolean = machines.mapNotNull { it.executor }.count { executor ->
        val limit = rules.lasting.stepOf(task).maxPerExecutor
        executor.runs.size < scenario.tasksPerExecutor && (limit == 0 || executor.runs.size < limit)
    } >= 2

    /** Lets all faults end and all runs succeed. Returns how a job is lost nevertheless, or null if all jobs end. */
    fun completionBreach(): String? {
        if (platform != null) return restartBreach()
        heal()
        runsOnBreach()?.let { return it }
        var roundsLeft = HEALING_ROUNDS
        while (roundsLeft-- > 0 && !rules.jobs.keys.all { owner.phaseOf(it).ended }) {
            calm(SLICE_MILLIS)
            machines.mapNotNull { it.executor }.forEach(::finishRuns)
        }
        val failed = rules.jobs.keys.any { owner.phaseOf(it) == JobPhase.FAILED && !rules.mayFail(it) }
        return when {
            rules.jobs.keys.any { !owner.phaseOf(it).ended } -> "LOST: a job can't be completed any more"
            failed -> "$UNFOUNDED_FAILURE: a job is shown as failed without cause"
            else -> null
        }
    }

    /** Lets time pass without faults. Returns how a run of a cancelled job goes on for too long, or null. */
    private fun runsOnBreach(): String? {
        val cancellations = rules.cancellations
        if (cancellations.cancelledJobs.isEmpty()) return null
        val calmSinceMillis = nowMillis
        while (nowMillis < calmSinceMillis + RUNNING_ON_MILLIS) {
            calm(SLICE_MILLIS)
            val runs = machines.mapNotNull { it.executor }.flatMap { it.runs.values }
            cancellations.runsOnBreach(nowMillis, calmSinceMillis, runs)?.let { return it }
        }
        return null
    }

    private fun heal() {
        storeAway = false
        if (mayTakeOver() && (owner.closed || owner.paused)) takeOver()
        holders.forEach { if (it !== owner) it.closed = true }
        if (owner.paused) {
            owner.wake(nowMillis)
            sendUnsent(owner)
        }
        owner.suspendsBeforeStart = false
        owner.writesStall = false
        owner.feed.halted = false
        if (owner.cut) mend(owner)
        readAll(owner)
        network.dropGhosts()
        platform?.dropGhosts()
        machines.forEach {
            it.silent = false
            it.partedTerms.clear()
        }
        machines.filter {
            it.executor == null && it.upkeepWave == null
        }.forEach { boot(it, it.nextId(), it.lastAddress) }
        entries.clear()
        machines.mapNotNull { it.executor }.forEach { entries[it.id] = it.record() }
    }

    private fun finishRuns(executor: ModelExecutor) {
        executor.runs.values.filter { !it.stopping && it.id.task.job !in rules.cancellations.cancelledJobs }
            .forEach { executor.end(it.id, RunEnd.DONE) }
    }

    fun jobOf(id: JobId): BatchJob = rules.jobs.getValue(id)

    /** A text that is equal for states that the checker takes for the same. */
    fun describe(): String = buildString {
        append(storeAway).append(queueDropped)
        machines.forEach { it.describe(nowMillis, this) }
        entries.values.forEach {
            append(it.id.value).append(it.address).append(nowMillis - it.incarnation.startedAtMillis)
        }
        holders.forEach { it.describe(nowMillis, this) }
        rules.cancellations.describe(nowMillis, this)
        calls.forEach { it.describe(nowMillis, this) }
        append(rules.describe())
        if (platform != null) {
            platform.describe(nowMillis, this)
            rules.lasting.describe(nowMillis, this)
        }
    }

    companion object {
        const val UNFOUNDED_FAILURE = "LOST BY FAILURE"
        const val TASK_CPU = 1_000L
        const val TASK_MEMORY = 100L
        private const val MAX_ATTEMPTS = 2
        private const val START_MILLIS = 100_000L
        private const val SETTLING_MILLIS = 40L
        private const val STARTING_MILLIS = 3_000L
        private const val RESTARTING_MILLIS = 10_000L
        private const val SLICE_MILLIS = 100L
        private const val RUNNING_ON_MILLIS = 5_000L
        private const val HEALING_ROUNDS = 300
    }
}
