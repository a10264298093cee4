// Carries the scheduler's orders out and hands the answers back.

package org.gypsumturn.node

import org.gypsumturn.batch.port.Advice
import org.gypsumturn.batch.port.ExecutorCalls
import org.gypsumturn.batch.port.PlacementAdvisor
import org.gypsumturn.batch.schedule.AdviceQuestion
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.Order
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
    public fun carry(order: Order) {
        when (order) {
            is Order.Start -> start(order)
            is Order.Stop -> stop(order)
            is Order.Look -> look(order)
            is Order.Forget -> executors.closeConnections(order.target)
        }
    }

    /** Puts [question] to the advisor. */
    public fun ask(question: AdviceQuestion) {
        val answered = { verdict: Verdict<Advice> ->
            whenOpen { scheduler.advised(NodeClock.steadyMillis(), question, verdict) }
        }
        if (advisor == null) {
            answered(Verdict.NotRun(Failure(FailureKind.INVALID, "no advisor is set")))
        } else {
            advisor.advise(question.step.tasks.first().name, question.executors, ADVICE_TIMEOUT_MILLIS, answered)
        }
    }

    private fun start(order: Order.Start) {
        executors.startRun(order.target, order.order, SchedulerSettings.ORDER_TIMEOUT_MILLIS) { verdict ->
            whenOpen { scheduler.startAnswered(NodeClock.steadyMillis(), order.run, verdict) }
        }
    }

    private fun stop(order: Order.Stop) {
        executors.stopRun(order.target, order.run, epoch, SchedulerSettings.ORDER_TIMEOUT_MILLIS) { verdict ->
            whenOpen { scheduler.stopAnswered(NodeClock.steadyMillis(), order.target.id, order.run, verdict) }
        }
    }

    private fun look(order: Order.Look) {
        val timeoutMillis = (order.order.waitMillis ?: 0) + SchedulerSettings.LOOK_TIMEOUT_MILLIS
        executors.poll(order.target, order.order, timeoutMillis) { verdict ->
            whenOpen { scheduler.looked(NodeClock.steadyMillis(), order.target.id, verdict) }
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
