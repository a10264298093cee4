// Carries the scheduler's orders out and hands the answers back.

package org.gypsumturn.node

import org.gypsumturn.batch.port.Advice
import org.gypsumturn.batch.port.ExecutorCalls
import org.gypsumturn.batch.port.PlacementAdvisor
import org.gypsumturn.batch.schedule.AdviceQuestion
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.ExecutorOrder
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Verdict

/** Sends orders of [scheduler] to [executors]. */
public class OrderCarrier(
    private val scheduler: BatchScheduler,
    private val executors: ExecutorCalls,
    private val advisor: PlacementAdvisor?,
    private val epoch: Epoch,
    private val post: Post,
) {
    /** Whether answers are passed over, since the term of the lease is over. */
    public var closed: Boolean = false

    /** Carries [order] out. */
    public fun carry(order: ExecutorOrder) {
        when (order) {
            is ExecutorOrder.Start -> start(order)
            is ExecutorOrder.Stop -> stop(order)
            is ExecutorOrder.Poll -> look(order)
            is ExecutorOrder.Forget -> executors.closeConnections(order.target)
        }
    }

    /** Puts [question] to the advisor. */
    public fun ask(question: AdviceQuestion) {
        val answered = { verdict: Verdict<Advice> ->
            whenOpen { scheduler.onAdviceAnswered(NodeClock.steadyMillis(), question, verdict) }
        }
        if (advisor == null) {
            answered(Verdict.NotRun(Failure(FailureKind.INVALID, "no advisor is set")))
        } else {
            advisor.advise(question.step.tasks.first().name, question.executors, ADVICE_TIMEOUT_MILLIS, answered)
        }
    }

    private fun start(order: ExecutorOrder.Start) {
        executors.startRun(order.target, order.order, SchedulerSettings.ORDER_TIMEOUT_MILLIS) { verdict ->
            whenOpen { scheduler.onStartAnswered(NodeClock.steadyMillis(), order.run, verdict) }
        }
    }

    private fun stop(order: ExecutorOrder.Stop) {
        executors.stopRun(order.target, order.run, epoch, SchedulerSettings.ORDER_TIMEOUT_MILLIS) { verdict ->
            whenOpen { scheduler.onStopAnswered(NodeClock.steadyMillis(), order.target.id, order.run, verdict) }
        }
    }

    private fun look(order: ExecutorOrder.Poll) {
        val timeoutMillis = (order.order.waitMillis ?: 0) + SchedulerSettings.POLL_TIMEOUT_MILLIS
        executors.poll(order.target, order.order, timeoutMillis) { verdict ->
            whenOpen { scheduler.onPollAnswered(NodeClock.steadyMillis(), order.target.id, verdict) }
        }
    }

    private fun whenOpen(action: () -> Unit) {
        post { if (!closed) action() }
    }

    private companion object {
        /** Longest wait for advice: thirty executors take the advisor about half a second, and a call may wait. */
        const val ADVICE_TIMEOUT_MILLIS = 2_000L
    }
}
