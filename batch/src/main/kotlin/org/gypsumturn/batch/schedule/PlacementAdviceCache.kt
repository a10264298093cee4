// Cache of the advice of the placement advisor, which decides which executors may run the steps of a queue with a
// placement policy. It holds the tickets that the advisor issued and queues questions for those that are missing. The
// advisor answers the calls of a node one after another, so only a few questions are open at once, those of the most
// urgent steps first.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.AdvisorTiming
import org.gypsumturn.batch.port.Advice
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.StepAdvice
import org.gypsumturn.batch.state.StepState
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull

/** A question to the advisor: which of [executors] may run the tasks of [step]. */
public class AdviceQuestion(
    public val step: StepState,
    public val executors: List<InstanceId>,
    internal val timing: AdvisorTiming,
)

/** Holds the advice for all steps, and the questions that wait to be taken. */
internal class PlacementAdviceCache(private val log: DecisionLog) {
    private val questions = ArrayList<AdviceQuestion>()
    private var openQuestions = 0

    /**
     * Returns those of [candidates] that may run the step of [open]. Queues a question about others if these have too
     * little free capacity for the waiting tasks.
     */
    fun allowedExecutors(nowMillis: Long, open: WaitingStep, candidates: List<ExecutorState>): List<ExecutorState> {
        val terms = open.queue.advice ?: return candidates
        val advice = open.step.advice ?: StepAdvice().also { open.step.advice = it }
        val known = candidates.filter { advice.ticket(nowMillis, it.record.id) != null }
        val needed = open.step.tasks.count { it.needsRun(nowMillis) }
        if (known.sumOf { slotsOn(it, open.step) } < needed) askAdvisor(nowMillis, open.step, advice, candidates, terms)
        return known
    }

    /** Number of tasks of [step] that [executor] has capacity for now. */
    private fun slotsOn(executor: ExecutorState, step: StepState): Int {
        var slots = 0
        var remaining = executor.free
        val maxSlots = if (step.step.maxPerExecutor ==
            0
        ) {
            step.step.count
        } else {
            step.step.maxPerExecutor - step.runsOn(executor)
        }
        while (slots < maxSlots && step.reservedSize.fitsInto(remaining)) {
            remaining -= step.reservedSize
            slots++
        }
        return slots
    }

    private fun askAdvisor(
        nowMillis: Long,
        step: StepState,
        advice: StepAdvice,
        candidates: List<ExecutorState>,
        timing: AdvisorTiming,
    ) {
        if (advice.questionOpen || nowMillis < advice.retryAtMillis || openQuestions >= MAX_OPEN_QUESTIONS) return
        val asked = candidates.filter { advice.mayAskAbout(nowMillis, it.record.id) && slotsOn(it, step) > 0 }
            .sortedByDescending { it.record.id in advice.allowedExecutors }
            .take(MAX_ASKED_EXECUTORS)
            .map { it.record.id }
        if (asked.isEmpty()) return
        advice.questionOpen = true
        openQuestions++
        questions += AdviceQuestion(step, asked, timing)
    }

    /** Stores the answer of the advisor to [question], or schedules a retry if it failed. */
    fun onAnswer(nowMillis: Long, question: AdviceQuestion, verdict: Verdict<Advice>) {
        openQuestions--
        val advice = question.step.advice ?: return
        advice.questionOpen = false
        val answer = (verdict as? Verdict.Ran)?.value
        log(
            "advice",
            arrayOf(
                "step" to question.step.tasks.first().name,
                "asked" to question.executors.size,
                "allowed" to answer?.tickets?.size,
                "why" to verdict.failureOrNull()?.message,
            ),
        )
        if (answer == null) {
            advice.retryAtMillis = nowMillis + SchedulerSettings.RETRY_MILLIS
            return
        }
        val validMillis = answer.validMillis ?: question.timing.ticketMillis
        val marginMillis = minOf(TICKET_MARGIN_MILLIS, validMillis / TICKET_MARGIN_DIVISOR)
        answer.tickets.forEach { advice.addTicket(it, nowMillis + validMillis - marginMillis) }
        val allowed = answer.tickets.mapTo(HashSet()) { it.executor }
        advice.refusedExecutors += question.executors.filter { it !in allowed }
    }

    /** Drops the ticket that [executor] refused for [step]: it may have been issued for an earlier incarnation. */
    fun onTicketRefused(step: StepState, executor: InstanceId) {
        step.advice?.removeTicket(executor)
    }

    /** Removes and returns the queued questions. */
    fun takeQuestions(): List<AdviceQuestion> {
        val taken = questions.toList()
        questions.clear()
        return taken
    }

    private companion object {
        /**
         * Most executors in one question. The platform sizes the advisor for one call with thirty executors for each
         * step.
         */
        const val MAX_ASKED_EXECUTORS = 30

        /** Most questions open at once: one that the advisor answers, and the next that is on its way. */
        const val MAX_OPEN_QUESTIONS = 2

        /**
         * Time before the end of a ticket from which it is no longer used, since the start takes time and may be
         * repeated.
         */
        const val TICKET_MARGIN_MILLIS = 700L

        /** The margin is at most the validity of the ticket divided by this. */
        const val TICKET_MARGIN_DIVISOR = 4
    }
}
