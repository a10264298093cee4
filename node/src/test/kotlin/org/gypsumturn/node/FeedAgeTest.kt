// Tests the bound on the age of what a holder tells of its job feed.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class FeedAgeTest : AnnotationSpec() {
    @Test
    fun `a holder whose job feed is silent counts waiting jobs for two seconds and not longer`() {
        val age = FeedAge(2_000)
        age.isWithinBound(0) shouldBe false
        age.recordKnown(1_000)
        age.isWithinBound(3_000) shouldBe true
        age.isWithinBound(3_001) shouldBe false
        age.recordKnown(3_500)
        age.isWithinBound(5_500) shouldBe true
    }
}
