package org.gypsumturn.bench.jobs

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

class ScheduleExplorationTest : AnnotationSpec() {
    @Test
    fun `every schedule of three actions of two owners keeps the job safe`() {
        val exploration = explore(length = 3)
        exploration.schedules shouldBe 2 * 12 * 12 * 12
        exploration.faults.shouldBeEmpty()
    }
}
