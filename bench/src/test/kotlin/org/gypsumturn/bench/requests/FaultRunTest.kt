// Checks that the guarantees to callers hold while faults are injected, and that the statistics detect violations.

package org.gypsumturn.bench.requests

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.IdempotencyKey
import org.gypsumturn.model.Priority
import org.gypsumturn.model.Verdict

class FaultRunTest : AnnotationSpec() {
    private val classes = listOf(RequestClass(Priority.NORMAL, 1.0, deadlineMillis = 2_000, keyedShare = 0.3))

    private fun run(faults: RandomFaults, event: RequestSimulation.() -> Unit): RunStatistics {
        val seed = 51L
        println("seed $seed")
        return RequestSimulation(
            Scenario(
                seed = seed,
                seconds = 6,
                loadAt = { _, _ -> 0.9 },
                classes = classes,
                faults = faults,
                events = listOf(2.0 to event),
            ),
        ).run()
    }

    private fun check(statistics: RunStatistics) {
        statistics.calls.size shouldNotBe 0
        listOf(
            statistics.unanswered,
            statistics.duplicates,
            statistics.falselyNotRun,
            statistics.wrongAnswers.toInt(),
        ) shouldBe listOf(0, 0, 0, 0)
    }

    @Test
    fun `guarantees to callers hold while connections go silent and answers are cut off`() {
        check(run(RandomFaults(silentShare = 0.05, resetShare = 0.05)) { executors[0].mode = ExecutorMode.SILENT })
    }

    @Test
    fun `guarantees to callers hold while callers leave and repeat keys and the intent store fails`() {
        val faults = RandomFaults(leavingCallerShare = 0.1, repeatShare = 0.9, lostIntentAnswerShare = 0.1)
        check(run(faults) { intentStore.isDown = true })
    }

    @Test
    fun `guarantees to callers hold while an entry crashes and another pauses`() {
        check(
            run(RandomFaults(repeatShare = 0.9)) {
                entries[1].crash()
                entries[2].pause(2 * MICROS_PER_SECOND)
            },
        )
    }

    @Test
    fun `a key that runs twice and a call that ran although it was told not run are counted`() {
        val statistics = RunStatistics()
        val key = IdempotencyKey("k")
        repeat(2) {
            val call = Call(it.toLong(), 0, Priority.NORMAL, key, false, 0, 1, 1)
            call.runs = 1
            call.verdict = Verdict.NotRun(Failure(FailureKind.TIMEOUT, "test"))
            statistics.calls += call
        }
        listOf(statistics.unanswered, statistics.duplicates, statistics.falselyNotRun) shouldBe listOf(2, 1, 2)
    }
}
