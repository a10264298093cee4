// A small fixed set of the random schedules, and proof that their audit finds what it is there for.

package org.gypsumturn.bench.fleet

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

private const val SCHEDULES = 100

internal class RandomSchedulesTest : AnnotationSpec() {
    @Test
    fun `schedules with crashes, losses and races breach no budget and share no instance`() {
        val audit = runSchedules(SCHEDULES, ScheduleRules())
        withClue(audit.firstFinding ?: "seeds 1..$SCHEDULES") {
            audit.breaches shouldBe 0
            audit.doubleMemberships shouldBe 0
        }
    }

    @Test
    fun `the audit finds breaches where budgets are not kept`() {
        runSchedules(SCHEDULES, ScheduleRules(keepsBudgets = false)).breaches shouldBeGreaterThan 0
    }

    @Test
    fun `the audit finds shared instances where drains do not wait for the entries`() {
        runSchedules(SCHEDULES, ScheduleRules(waitsForEntries = false)).doubleMemberships shouldBeGreaterThan 0
    }
}
