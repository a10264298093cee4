// The calls of the model's holders to its executors. Orders and answers may be lost, late, or overtake each other.

package org.gypsumturn.batch.check

import org.gypsumturn.batch.model.OrderAnswer
import org.gypsumturn.batch.model.RefusalReason
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.port.PollAnswer
import org.gypsumturn.batch.schedule.ExecutorOrder
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Verdict

/** Where a call is: on its way, waiting at its executor, answered, or without an answer that could arrive. */
internal enum class CallStage { SENT, WAITING, ANSWERED, LOST }

/** A call of [holder] with [order], sent at [sentMillis]. */
internal class ModelCall(val holder: ModelHolder, val order: ExecutorOrder, val sentMillis: Long) {
    val name = when (order) {
        is ExecutorOrder.Start -> "start"
        is ExecutorOrder.Stop -> "stop"
        else -> "poll"
    } + "@${holder.epoch}:${order.target.id}"
    var stage = CallStage.SENT
    var answer: Verdict<Any> = NO_ANSWER
    var executor: ModelExecutor? = null

    /** Whether the holder has been told of its failure, so that only the order may still have an effect. */
    var given = false

    fun describe(nowMillis: Long, to: StringBuilder) {
        to.append(name).append(order.target.address).append(stage).append(given)
        if (!given) to.append(nowMillis - sentMillis)
        when (order) {
            is ExecutorOrder.Start -> to.append(order.run.id.task.name()).append(order.run.id.attempt)

            is ExecutorOrder.Stop -> to.append(order.run.task.name()).append(order.run.attempt)

            is ExecutorOrder.Poll -> to.append(
                order.order.acknowledgedEndNumber,
            ).append(order.order.leaseEndMillis != null)

            is ExecutorOrder.Forget -> Unit
        }
        ((answer as? Verdict.Ran)?.value as? PollAnswer.Reported)?.report?.let { report ->
            to.append(report.incarnation?.let { nowMillis - it.startedAtMillis })
            report.running.forEach { to.append(it.run.task.name()).append(it.run.attempt) }
            report.ended.forEach { to.append(it.endNumber) }
        }
    }

    companion object {
        val NO_ANSWER = Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer"))
        val NOT_RUN = Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "no path"))
    }
}

/** The calls of [model] and their way. */
internal class ModelNetwork(private val model: RunModel, private val log: (String) -> Unit) {
    private val calls get() = model.calls

    fun send(holder: ModelHolder, orders: List<ExecutorOrder>) {
        orders.filter { it !is ExecutorOrder.Forget }.forEach { order ->
            calls += ModelCall(holder, order, model.nowMillis)
            if (order is ExecutorOrder.Start) {
                model.rules.cancellations.onStartSent(model.nowMillis, order.run.id, holder)
            }
            log("    sent: ${calls.last().name}")
        }
    }

    fun apply(event: ModelEvent): Boolean {
        val call = calls.filter { it.name == event.target }.getOrNull(event.number.toInt()) ?: return false
        return when (event.action) {
            Action.DELIVER -> mayDeliver(call) && done { deliver(call) }
            Action.ARRIVE -> mayArrive(call) && arrive(call)
            Action.ANSWER -> mayAnswer(call) && done { passOn(call) }
            Action.REFUSE -> mayRefuse(call) && done { refuse(call) }
            else -> lose(call)
        }
    }

    private inline fun done(action: () -> Unit): Boolean {
        action()
        return true
    }

    private fun lose(call: ModelCall): Boolean {
        if (call.given) calls -= call
        if (call.stage == CallStage.LOST) return false
        call.stage = CallStage.LOST
        call.answer = ModelCall.NO_ANSWER
        return true
    }

    fun mayDeliver(call: ModelCall) =
        (call.stage == CallStage.SENT || call.stage == CallStage.WAITING) && !isSilent(call)

    /** Whether the call can't pass at present, since its executor can't be reached. */
    private fun isSilent(call: ModelCall) = model.machines.any {
        (it.silent || call.holder.epoch in it.partedTerms) && it.executor?.address == call.order.target.address
    }

    fun mayArrive(call: ModelCall): Boolean = call.stage == CallStage.SENT && !isSilent(call) && !call.given &&
        (call.order as? ExecutorOrder.Poll)?.order?.waitMillis != null

    fun mayAnswer(call: ModelCall) =
        call.stage == CallStage.ANSWERED && !call.given && call.holder.acts && !isSilent(call)

    /** Whether the executor may refuse [call], which is a stop. */
    fun mayRefuse(call: ModelCall) =
        call.stage == CallStage.SENT && !call.given && call.order is ExecutorOrder.Stop && !isSilent(call)

    private fun refuse(call: ModelCall) {
        call.answer = Verdict.Ran(OrderAnswer.Refused(RefusalReason.UNHEALTHY, null))
        call.stage = CallStage.ANSWERED
    }

    /** Carries out the order of a poll whose answer waits. Returns false if it is answered at once. */
    private fun arrive(call: ModelCall): Boolean {
        val executor = executorAt(call) ?: return false
        if (executor.id != call.order.target.id) return false
        executor.applyPoll((call.order as ExecutorOrder.Poll).order)?.let { return false }
        call.executor = executor
        call.stage = CallStage.WAITING
        return true
    }

    private fun executorAt(call: ModelCall) = model.machines.firstNotNullOfOrNull { machine ->
        machine.executor?.takeIf { it.address == call.order.target.address }
    }

    private fun deliver(call: ModelCall) {
        val executor = executorAt(call)
        call.answer = when {
            executor == null -> ModelCall.NOT_RUN
            executor.id != call.order.target.id -> Verdict.Ran(refusal(call))
            else -> Verdict.Ran(carryOut(call, executor))
        }
        call.executor = executor
        call.stage = CallStage.ANSWERED
        if (call.given) calls -= call
    }

    private fun refusal(call: ModelCall): Any = if (call.order is ExecutorOrder.Poll) {
        PollAnswer.Refused(RefusalReason.OTHER_INSTANCE)
    } else {
        OrderAnswer.Refused(RefusalReason.OTHER_INSTANCE, null)
    }

    private fun carryOut(call: ModelCall, executor: ModelExecutor): Any = when (val order = call.order) {
        is ExecutorOrder.Start -> {
            val size = model.jobOf(order.run.id.task.job).steps[order.run.id.task.step].size
            executor.start(model.nowMillis, order.order, ResourceAmounts(size.cpuMillis, size.memoryMb, 0))
        }

        is ExecutorOrder.Stop -> executor.stop(
            model.nowMillis,
            order.run,
            Epoch(call.holder.epoch),
            heldUp = model.nowMillis - call.sentMillis > ModelHolder.timeoutMillis(order),
        )

        is ExecutorOrder.Poll -> {
            val refused = if (call.stage == CallStage.WAITING) null else executor.applyPoll(order.order)
            refused ?: executor.report(model.nowMillis)
        }

        is ExecutorOrder.Forget -> error("not a call")
    }

    @Suppress("UNCHECKED_CAST")
    private fun passOn(call: ModelCall) {
        calls -= call
        passVerdict(call)
    }

    @Suppress("UNCHECKED_CAST")
    private fun passVerdict(call: ModelCall) {
        call.given = true
        val holder = call.holder
        if (!holder.acts) return
        when (val order = call.order) {
            is ExecutorOrder.Start ->
                holder.onStartAnswered(model.nowMillis, order, call.answer as Verdict<OrderAnswer>)

            is ExecutorOrder.Stop -> holder.onStopAnswered(model.nowMillis, order, call.answer as Verdict<OrderAnswer>)

            is ExecutorOrder.Poll -> holder.onPollAnswered(model.nowMillis, order, call.answer as Verdict<PollAnswer>)

            is ExecutorOrder.Forget -> Unit
        }
    }

    /** Tells the holders of calls whose time is over. Their orders may still be carried out. */
    fun failOverdue() {
        val overdue = calls.filter {
            !it.given && !it.holder.paused &&
                (it.holder.closed || model.nowMillis - it.sentMillis >= ModelHolder.timeoutMillis(it.order))
        }
        overdue.forEach { call ->
            call.answer = ModelCall.NO_ANSWER
            passVerdict(call)
            // A call that no executor can have received by now is given up for good.
            if (call.stage != CallStage.SENT || executorAt(call) == null || isSilent(call)) calls -= call
        }
        while (calls.count { it.given } > MAX_GHOSTS) calls -= calls.first { it.given }
    }

    /** Handles that [executor] is gone: what waits there, and calls that failed before, have no effect any more. */
    fun onExecutorEnded(executor: ModelExecutor) {
        calls.filter { it.stage == CallStage.WAITING && it.executor === executor }.forEach { it.stage = CallStage.LOST }
        calls.removeAll { it.given && it.order.target.address == executor.address }
    }

    /** Removes the orders of failed calls. */
    fun dropGhosts() {
        calls.removeAll { it.given || it.holder.closed }
    }

    /** Carries out and answers all calls that have not failed and that [select] accepts. */
    fun carryAll(select: (ModelCall) -> Boolean) {
        calls.filter { !it.given && select(it) }.forEach { call ->
            if (mayDeliver(call)) deliver(call)
            if (mayAnswer(call)) passOn(call)
        }
    }

    private companion object {
        /** Number of orders of failed calls that may still be carried out. */
        const val MAX_GHOSTS = 4
    }
}
