// An executor of the model, as the platform's contract describes it: one lifetime on a machine, with the fencing token,
// the lease, the runs and the unacknowledged ends of that lifetime.

package org.gypsumturn.batch.check

import org.gypsumturn.batch.POOL
import org.gypsumturn.batch.model.ExecutorRecord
import org.gypsumturn.batch.model.ExecutorReport
import org.gypsumturn.batch.model.Incarnation
import org.gypsumturn.batch.model.OrderAnswer
import org.gypsumturn.batch.model.RefusalReason
import org.gypsumturn.batch.model.ReportedRun
import org.gypsumturn.batch.model.ReportedRunEnd
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.RunEnd
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.model.TaskName
import org.gypsumturn.batch.port.PollAnswer
import org.gypsumturn.batch.port.PollOrder
import org.gypsumturn.batch.port.StartOrder
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId

/** A run on an executor of the model. */
internal class ModelRun(val id: RunId, val startedMillis: Long, var stopping: Boolean = false) {
    /** Time that its stop, which was ordered, still takes. */
    var stopLeftMillis = 0L
}

/** One lifetime of an executor. [bornMillis] is the time of its start; its clock starts at that moment. */
internal class ModelExecutor(
    val id: InstanceId,
    val address: String,
    val bornMillis: Long,
    private val capacity: ResourceAmounts,
    private val checksAdmission: Boolean,
    private val endsPerReport: Int,
    private val rules: RuleMonitor,
) {
    val runs = LinkedHashMap<RunId, ModelRun>()
    private val ends = ArrayList<ReportedRunEnd>()
    private val highestPastAttempt = HashMap<TaskName, Long>()
    private var endNumber = 0L
    private var highestEpoch = 0L
    private var leaseEndMillis = 0L
    private var clockMicros = FIRST_CLOCK_MILLIS * MICROS

    /** Whether its clock runs as slow as the contract allows. */
    var slow = false

    private val clockMillis: Long get() = clockMicros / MICROS

    fun record() = ExecutorRecord(
        id,
        Incarnation(bornMillis),
        POOL,
        address,
        DataCentreId("a"),
        capacity,
        emptySet(),
        draining = false,
        remainingMillis = null,
    )

    /** Lets [millis] pass: runs whose stop was ordered end, and all runs end if the lease has lapsed. */
    fun advance(millis: Long) {
        clockMicros += millis * (if (slow) SLOW_MICROS else MICROS)
        runs.values.filter { it.stopping }.forEach { run ->
            run.stopLeftMillis -= millis
            if (run.stopLeftMillis <= 0) end(run.id, RunEnd.STOPPED)
        }
        if (clockMillis <= leaseEndMillis) return
        runs.keys.toList().forEach { end(it, RunEnd.LAPSED) }
        rules.onLeaseLapsed(this)
    }

    fun end(run: RunId, how: RunEnd) {
        runs.remove(run) ?: return
        highestPastAttempt.merge(run.task, run.attempt, ::maxOf)
        ends += ReportedRunEnd(++endNumber, run, how, "")
        rules.onEnded(this, run, endNumber, how)
    }

    fun start(nowMillis: Long, order: StartOrder, size: ResourceAmounts): OrderAnswer {
        val refusal = when {
            order.epoch.value < highestEpoch -> RefusalReason.FENCED
            order.run in runs -> null
            order.run.attempt <= (highestPastAttempt[order.run.task] ?: 0) -> RefusalReason.SUPERSEDED
            order.leaseEndMillis <= clockMillis -> RefusalReason.LATE
            checksAdmission && !hasRoomFor(size) -> RefusalReason.NO_ROOM
            else -> null
        }
        if (refusal == RefusalReason.FENCED) return OrderAnswer.Refused(refusal, clockMillis)
        highestEpoch = order.epoch.value
        extendLease(order.leaseEndMillis)
        if (refusal != null) return OrderAnswer.Refused(refusal, clockMillis)
        if (order.run !in runs) {
            runs[order.run] = ModelRun(order.run, nowMillis)
            rules.onStarted(nowMillis, this, order.run, size, capacity)
        }
        return OrderAnswer.Done(clockMillis)
    }

    private fun hasRoomFor(size: ResourceAmounts): Boolean {
        val count = runs.size + 1L
        return ResourceAmounts(size.cpuMillis * count, size.memoryMb * count, 0).fitsInto(capacity)
    }

    /** Stops [run]. The order was [heldUp] if it arrives after its sender has given it up. */
    fun stop(nowMillis: Long, run: RunId, epoch: Epoch, heldUp: Boolean): OrderAnswer {
        if (epoch.value < highestEpoch) return OrderAnswer.Refused(RefusalReason.FENCED, clockMillis)
        highestEpoch = epoch.value
        val known = runs[run]
        if (known != null) {
            rules.lasting.onOrdered(nowMillis, listOf(known), heldUp)
            if (!known.stopping && rules.lasting.isLasting(run.task)) known.stopLeftMillis = STOP_MILLIS
        }
        if (known == null) highestPastAttempt.merge(run.task, run.attempt, ::maxOf) else known.stopping = true
        return OrderAnswer.Done(clockMillis)
    }

    /** Applies a poll; [report] answers it, now or after some waiting. Returns the refusal, if there is one. */
    fun applyPoll(order: PollOrder): PollAnswer.Refused? {
        if (order.epoch.value < highestEpoch) return PollAnswer.Refused(RefusalReason.FENCED)
        highestEpoch = order.epoch.value
        order.leaseEndMillis?.let(::extendLease)
        ends.removeAll { it.endNumber <= order.acknowledgedEndNumber }
        rules.onAcknowledged(this, order.acknowledgedEndNumber)
        return null
    }

    fun report(nowMillis: Long): PollAnswer = PollAnswer.Reported(
        ExecutorReport(
            clockMillis,
            Incarnation(bornMillis),
            runs.values.map {
                ReportedRun(it.id, "", if (rules.lasting.hasStarted(nowMillis, it)) FULL_PERCENT else 0, 0)
            },
            ends.take(endsPerReport),
            endsComplete = ends.size < endsPerReport,
        ),
    )

    /** What distinguishes its state from others, with times relative to the present. */
    fun describe(nowMillis: Long, to: StringBuilder) {
        to.append(id.value).append(address).append(nowMillis - bornMillis).append(slow).append(highestEpoch).append('/')
        to.append(if (runs.isEmpty() && ends.isEmpty()) 0 else leaseEndMillis - clockMillis)
        runs.values.forEach { run ->
            to.append(run.id.task.name()).append(run.id.attempt).append(run.stopping)
            if (rules.lasting.hasStarted(nowMillis, run)) to.append(run.stopLeftMillis)
        }
        ends.forEach { to.append(it.endNumber).append(it.run.task.name()).append(it.run.attempt).append(it.end) }
        highestPastAttempt.entries.map { "${it.key.name()}${it.value}" }.sorted().forEach { to.append(it) }
    }

    private fun extendLease(untilMillis: Long) {
        leaseEndMillis = maxOf(leaseEndMillis, minOf(untilMillis, clockMillis + MAX_LEASE_MILLIS))
    }

    companion object {
        /** Longest lease that an executor grants. */
        const val MAX_LEASE_MILLIS = 5_000L

        /** Time that the stop of a lasting run takes. */
        private const val STOP_MILLIS = 800L

        private const val FULL_PERCENT = 100
        private const val FIRST_CLOCK_MILLIS = 10L
        private const val MICROS = 1_000L
        private const val SLOW_MICROS = 980L
    }
}

/** Short name of a task of the model, whose jobs have one digit each. */
internal fun TaskName.name(): String = "${job.value.last()}.$occurrence.$step.$index"
