// The simulated world tells a broken promise from a kept one.

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

    private fun run(faults: RandomFaults, event: World.() -> Unit): Tally {
        val seed = 51L
        println("seed $seed")
        return World(
            Scenario(
                seed = seed,
                seconds = 6,
                loadOf = { _, _ -> 0.9 },
                classes = classes,
                faults = faults,
                events = listOf(2.0 to event),
            ),
        ).run()
    }

    private fun check(tally: Tally) {
        tally.calls.size shouldNotBe 0
        listOf(tally.lost, tally.doubled, tally.falselyNotRun, tally.crossed.toInt()) shouldBe listOf(0, 0, 0, 0)
    }

    @Test
    fun `promises hold while connections go silent and answers are cut`() {
        check(run(RandomFaults(silentShare = 0.05, resetShare = 0.05)) { executors[0].mode = ExecutorMode.SILENT })
    }

    @Test
    fun `promises hold while callers leave and repeat keys and the store fails`() {
        val faults = RandomFaults(leaverShare = 0.1, repeatShare = 0.9, lostIntentAnswerShare = 0.1)
        check(run(faults) { intents.down = true })
    }

    @Test
    fun `promises hold while an entry dies and another pauses`() {
        check(
            run(RandomFaults(repeatShare = 0.9)) {
                entries[1].die()
                entries[2].pause(2 * MICROS_PER_SECOND)
            },
        )
    }

    @Test
    fun `a key that runs twice and a false verdict are counted`() {
        val tally = Tally()
        val key = IdempotencyKey("k")
        repeat(2) {
            val call = Call(it.toLong(), 0, Priority.NORMAL, key, false, 0, 1, 1)
            call.runs = 1
            call.verdict = Verdict.NotRun(Failure(FailureKind.TIMEOUT, "test"))
            tally.calls += call
        }
        listOf(tally.lost, tally.doubled, tally.falselyNotRun) shouldBe listOf(2, 1, 2)
    }
}
