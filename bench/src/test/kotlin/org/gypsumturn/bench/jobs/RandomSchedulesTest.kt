// Runs 200 random schedules with faults and checks that no guarantee for jobs is violated.

package org.gypsumturn.bench.jobs

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan

class RandomSchedulesTest : AnnotationSpec() {
    @Test
    fun `no job is lost and no non-idempotent job runs twice in random schedules`() {
        val outcomes = (1L..SCHEDULES).map(::runRandomSchedule)
        outcomes.forEach { outcome -> withClue("seed ${outcome.seed}") { outcome.violations.shouldBeEmpty() } }
        outcomes.sumOf { it.runs } shouldBeGreaterThan outcomes.size
    }

    private companion object {
        const val SCHEDULES = 200L
    }
}
