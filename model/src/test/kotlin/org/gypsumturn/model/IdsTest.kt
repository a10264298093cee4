// Tests the text form of identifiers, which keys of rows, logs and error messages contain.

package org.gypsumturn.model

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class IdsTest : AnnotationSpec() {
    @Test
    fun `an identifier is printed as its bare value`() {
        PoolId("a").toString() shouldBe "a"
    }
}
