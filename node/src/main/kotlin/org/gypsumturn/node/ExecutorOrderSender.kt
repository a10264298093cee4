// Sends the scheduler's orders to executors and its questions to the placement advisor, and passes the answers back.

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

/** Sends the orders and questions of [scheduler] during the term of the lease with [epoch]. */
public class ExecutorOrderSender(
    private val scheduler: BatchScheduler,
    private val executors: ExecutorCalls,
    private val advisor: PlacementAdvisor?,
    private val epoch: Epoch,
    private val post: Post,
    private val nowMillis: () -> Long,
) {
    /** Set when the term is over. Answers that arrive later are ignored. */
    public var closed: Boolean = false

    /** Sends [order] to its executor. The answer goes to the scheduler. */
    public fun send(order: ExecutorOrder) {
        when (order) {
            is ExecutorOrder.Start -> startRun(order)
            is ExecutorOrder.Stop -> stopRun(order)
            is ExecutorOrder.Poll -> poll(order)
            is ExecutorOrder.Forget -> executors.closeConnections(order.target)
        }
    }

    /**
     * Sends [question] to the advisor and passes the answer to the scheduler. Without an advisor the verdict is
     * [Verdict.NotRun].
     */
    public fun askAdvisor(question: AdviceQuestion) {
        val onVerdict = { verdict: Verdict<Advice> ->
            postUnlessClosed { scheduler.onAdviceAnswered(nowMillis(), question, verdict) }
        }
        if (advisor == null) {
            onVerdict(Verdict.NotRun(Failure(FailureKind.INVALID, "no placement advisor is configured")))
        } else {
            advisor.advise(question.step.tasks.first().name, question.executors, ADVICE_TIMEOUT_MILLIS, onVerdict)
        }
    }

    private fun startRun(order: ExecutorOrder.Start) {
        executors.startRun(order.target, order.order, SchedulerSettings.ORDER_TIMEOUT_MILLIS) { verdict ->
            postUnlessClosed { scheduler.onStartAnswered(nowMillis(), order, verdict) }
        }
    }

    private fun stopRun(order: ExecutorOrder.Stop) {
        executors.stopRun(order.target, order.run, epoch, SchedulerSettings.ORDER_TIMEOUT_MILLIS) { verdict ->
            postUnlessClosed { scheduler.onStopAnswered(nowMillis(), order, verdict) }
        }
    }

    private fun poll(order: ExecutorOrder.Poll) {
        val timeoutMillis = (order.order.waitMillis ?: 0) + SchedulerSettings.POLL_TIMEOUT_MILLIS
        executors.poll(order.target, order.order, timeoutMillis) { verdict ->
            postUnlessClosed { scheduler.onPollAnswered(nowMillis(), order, verdict) }
        }
    }

    private fun postUnlessClosed(action: () -> Unit) {
        post { if (!closed) action() }
    }

    private companion object {
        /** Timeout of a question. The advisor takes about half a second for 30 executors, and calls may queue. */
        const val ADVICE_TIMEOUT_MILLIS = 2_000L
    }
}
