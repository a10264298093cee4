// Tests the conflicts, faults and scans of the in-memory table.

package org.gypsumturn.ports.fake

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.ports.CommitOutcome
import org.gypsumturn.ports.Condition
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.Transaction
import org.gypsumturn.ports.Write

class FakeTableStoreTest : AnnotationSpec() {
    private val key = RowKey("a/1")

    private fun put(revision: Revision, value: String) =
        Transaction(listOf(Condition(key, revision)), listOf(Write(key, value)))

    @Test
    fun `a transaction that requires an outdated revision conflicts and writes nothing`() {
        val table = FakeTableStore()
        table.commit(put(Revision.ABSENT, "first"), 1_000)
        val second = table.commit(put(Revision.ABSENT, "second"), 1_000).valueOrNull()
        second.shouldBeInstanceOf<CommitOutcome.Conflict>()
        table.read(listOf(key), 1_000).valueOrNull()!!.single().value shouldBe "first"
    }

    @Test
    fun `a commit whose answer is lost takes effect`() {
        var fault = PortFault.LOSE_ANSWER
        val table = FakeTableStore { isCommit -> if (isCommit) fault else PortFault.NONE }
        table.commit(put(Revision.ABSENT, "kept"), 1_000).shouldBeInstanceOf<Verdict.MayHaveRun>()
        fault = PortFault.NONE
        table.read(listOf(key), 1_000).valueOrNull()!!.single().value shouldBe "kept"
    }

    @Test
    fun `a scan returns the rows of its prefix page by page in key order`() {
        val table = FakeTableStore()
        val keys = listOf("a/1", "a/2", "a/3", "b/1").map(::RowKey)
        table.commit(Transaction(emptyList(), keys.map { Write(it, "x") }), 1_000)
        val firstPage = table.scan("a/", null, 2, 1_000).valueOrNull()!!
        val secondPage = table.scan("a/", firstPage.last().key, 2, 1_000).valueOrNull()!!
        (firstPage + secondPage).map { it.key.value } shouldBe listOf("a/1", "a/2", "a/3")
    }
}
