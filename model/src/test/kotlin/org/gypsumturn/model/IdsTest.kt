package org.gypsumturn.model

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class IdsTest : AnnotationSpec() {
    @Test
    fun `prints its value`() {
        PoolId("a").toString() shouldBe "a"
    }
}
