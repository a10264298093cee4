// Tests settings whose value is a list: names, and names with counts.

package org.gypsumturn.runtime.settings

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class ListSettingsTest : AnnotationSpec() {
    private val groups = namedCounts("executors", "groups", null, 100, "groups of executors")

    @Test
    fun `a list of names with counts is parsed, also if it is empty`() {
        groups.parse("plans:8, office:9") shouldBe listOf(NamedCount("plans", 8), NamedCount("office", 9))
        groups.parse("") shouldBe emptyList()
    }

    @Test
    fun `a missing, zero or too large count, a repeated name and a malformed name are rejected`() {
        listOf("plans", "plans:0", "plans:101", "plans:1,plans:2", "pl ans:1", ":1")
            .map(groups.parse) shouldBe List(6) { null }
    }

    @Test
    fun `a list of names must contain at least one name`() {
        val centres = names("standin", "data_centres", null, "data centres")
        centres.parse(" , ") shouldBe null
        centres.parse("dc1,dc2") shouldBe listOf("dc1", "dc2")
    }
}
