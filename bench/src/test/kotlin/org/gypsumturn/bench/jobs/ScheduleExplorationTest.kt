// Explores all schedules of three actions and checks that no guarantee for jobs is violated.

package org.gypsumturn.bench.jobs

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

class ScheduleExplorationTest : AnnotationSpec() {
    @Test
    fun `no schedule of three actions of two owners loses the job or violates another guarantee`() {
        val exploration = exploreSchedules(length = 3)
        exploration.schedules shouldBe 2 * 12 * 12 * 12
        exploration.violations.shouldBeEmpty()
    }
}
