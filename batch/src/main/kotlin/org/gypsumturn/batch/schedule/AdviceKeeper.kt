// Asks the advisor which executors may run the steps of a queue with a placement policy, and keeps its tickets. The
// advisor answers one call of a node after the other, so that few questions are open at once, the most urgent first.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.AdvisorTiming
import org.gypsumturn.batch.port.Advice
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.StepAdvice
import org.gypsumturn.batch.state.StepState
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull

/** A question to the advisor: which of [executors] may run [step]. */
public class AdviceQuestion(
    public val step: StepState,
    public val executors: List<InstanceId>,
    internal val terms: AdvisorTiming,
)

/** Keeps the advice of all steps. */
internal class AdviceKeeper(private val log: DecisionLog) {
    private val questions = ArrayList<AdviceQuestion>()
    private var underWay = 0

    /** Those of [candidates] that may run the step of [open]; asks for more where they have too little room. */
    fun allowed(nowMillis: Long, open: OpenStep, candidates: List<ExecutorState>): List<ExecutorState> {
        val terms = open.queue.advice ?: return candidates
        val advice = open.step.advice ?: StepAdvice().also { open.step.advice = it }
        val known = candidates.filter { advice.ticket(nowMillis, it.record.id) != null }
        val waiting = open.step.tasks.count { it.waits(nowMillis) }
        if (known.sumOf { placesOn(it, open.step) } < waiting) ask(nowMillis, open.step, advice, candidates, terms)
        return known
    }

    /** How many tasks of [step] the executor can take now. */
    private fun placesOn(executor: ExecutorState, step: StepState): Int {
        var places = 0
        var left = executor.free
        val most = if (step.step.maxPerExecutor ==
            0
        ) {
            step.step.count
        } else {
            step.step.maxPerExecutor - step.runsOn(executor)
        }
        while (places < most && step.room.fitsInto(left)) {
            left -= step.room
            places++
        }
        return places
    }

    private fun ask(
        nowMillis: Long,
        step: StepState,
        advice: StepAdvice,
        candidates: List<ExecutorState>,
        terms: AdvisorTiming,
    ) {
        if (advice.asking || nowMillis < advice.retryMillis || underWay >= OPEN_QUESTIONS) return
        val asked = candidates.filter { advice.isOpen(nowMillis, it.record.id) && placesOn(it, step) > 0 }
            .sortedByDescending { it.record.id in advice.allowed }
            .take(ASKED_EXECUTORS)
            .map { it.record.id }
        if (asked.isEmpty()) return
        advice.asking = true
        underWay++
        questions += AdviceQuestion(step, asked, terms)
    }

    /** Takes the advisor's answer in. */
    fun answered(nowMillis: Long, question: AdviceQuestion, verdict: Verdict<Advice>) {
        underWay--
        val advice = question.step.advice ?: return
        advice.asking = false
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
            advice.retryMillis = nowMillis + SchedulerSettings.RETRY_MILLIS
            return
        }
        val validMillis = answer.validMillis ?: question.terms.ticketMillis
        val marginMillis = minOf(TICKET_MARGIN_MILLIS, validMillis / TICKET_MARGIN_PART)
        answer.tickets.forEach { advice.allow(it, nowMillis + validMillis - marginMillis) }
        val allowed = answer.tickets.mapTo(HashSet()) { it.executor }
        advice.refused += question.executors.filter { it !in allowed }
    }

    /** An executor refused the ticket for [step]; its lifetime may be another one now. */
    fun ticketRefused(step: StepState, executor: InstanceId) {
        step.advice?.forget(executor)
    }

    /** Takes the questions that have gathered. */
    fun takeQuestions(): List<AdviceQuestion> {
        val taken = questions.toList()
        questions.clear()
        return taken
    }

    private companion object {
        /** Executors of a question: the platform counts on one call for thirty a step. */
        const val ASKED_EXECUTORS = 30

        /** Questions open at once: one is answered while the next is on its way. */
        const val OPEN_QUESTIONS = 2

        /** A ticket is not used so shortly before its end: the start takes its time, and may be repeated. */
        const val TICKET_MARGIN_MILLIS = 700L

        /** The margin is at most this part of a ticket's life. */
        const val TICKET_MARGIN_PART = 4
    }
}
