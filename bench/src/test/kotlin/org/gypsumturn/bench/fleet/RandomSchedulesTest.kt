// Runs a small fixed set of random schedules, and checks that the audit finds violations when a rule is switched off.

package org.gypsumturn.bench.fleet

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

private const val SCHEDULES = 100

internal class RandomSchedulesTest : AnnotationSpec() {
    @Test
    fun `schedules with crashes, losses and competing operators cause no budget breach and no double membership`() {
        val audit = runSchedules(SCHEDULES, ScheduleRules())
        withClue(audit.firstFinding ?: "seeds 1..$SCHEDULES") {
            audit.breaches shouldBe 0
            audit.doubleMemberships shouldBe 0
        }
    }

    @Test
    fun `the audit finds budget breaches when commands are decided without budgets`() {
        runSchedules(SCHEDULES, ScheduleRules(enforcesBudgets = false)).breaches shouldBeGreaterThan 0
    }

    @Test
    fun `the audit finds double memberships when drains do not wait for the entries`() {
        runSchedules(SCHEDULES, ScheduleRules(waitsForEntries = false)).doubleMemberships shouldBeGreaterThan 0
    }
}
