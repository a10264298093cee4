// Sends the scheduler's orders to executors and its questions to the placement advisor, and passes the answers back.

package org.gypsumturn.node

import org.gypsumturn.batch.lease.ClockReadings
import org.gypsumturn.batch.model.OrderAnswer
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

/**
 * Sends the orders and questions of [scheduler] during the term of the lease with [epoch].
 *
 * @param clock reads the clocks of the process
 */
public class ExecutorOrderSender(
    private val scheduler: BatchScheduler,
    private val executors: ExecutorCalls,
    private val advisor: PlacementAdvisor?,
    private val epoch: Epoch,
    private val post: Post,
    private val clock: () -> ClockReadings,
) {
    private val nowMillis get() = clock().steadyMillis

    /** Set when the term is over. Answers that arrive later are ignored. */
    public var closed: Boolean = false

    /** Sends [order], which was decided at [decided], to its executor. The answer goes to the scheduler. */
    public fun send(order: ExecutorOrder, decided: ClockReadings) {
        when (order) {
            is ExecutorOrder.Start -> startRun(order, decided)
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
            postUnlessClosed { scheduler.onAdviceAnswered(nowMillis, question, verdict) }
        }
        if (advisor == null) {
            onVerdict(Verdict.NotRun(Failure(FailureKind.INVALID, "no placement advisor is configured")))
        } else {
            advisor.advise(question.step.tasks.first().name, question.executors, ADVICE_TIMEOUT_MILLIS, onVerdict)
        }
    }

    /**
     * Sends the start unless its time is over, as after a suspension of the process or the machine: another holder may
     * have taken over meanwhile, and the executor may have been replaced by one that does not refuse the order.
     */
    private fun startRun(order: ExecutorOrder.Start, decided: ClockReadings) {
        val onVerdict = { verdict: Verdict<OrderAnswer> ->
            postUnlessClosed { scheduler.onStartAnswered(nowMillis, order, verdict) }
        }
        val now = clock()
        val elapsedMillis = maxOf(now.steadyMillis - decided.steadyMillis, now.wallMillis - decided.wallMillis, 0)
        val remainingMillis = SchedulerSettings.ORDER_TIMEOUT_MILLIS - elapsedMillis
        if (remainingMillis > 0) {
            executors.startRun(order.target, order.order, remainingMillis, onVerdict)
        } else {
            logEvent("start not sent", "task" to order.run.id.task, "decided_ms" to elapsedMillis)
            onVerdict(Verdict.NotRun(Failure(FailureKind.TIMEOUT, "the order was decided too long ago")))
        }
    }

    private fun stopRun(order: ExecutorOrder.Stop) {
        executors.stopRun(order.target, order.run, epoch, SchedulerSettings.ORDER_TIMEOUT_MILLIS) { verdict ->
            postUnlessClosed { scheduler.onStopAnswered(nowMillis, order, verdict) }
        }
    }

    private fun poll(order: ExecutorOrder.Poll) {
        val timeoutMillis = (order.order.waitMillis ?: 0) + SchedulerSettings.POLL_TIMEOUT_MILLIS
        executors.poll(order.target, order.order, timeoutMillis) { verdict ->
            postUnlessClosed { scheduler.onPollAnswered(nowMillis, order, verdict) }
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
