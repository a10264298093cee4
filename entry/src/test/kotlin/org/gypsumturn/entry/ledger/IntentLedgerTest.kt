// Checks the intent ledger and the retention sweep in virtual time, over a fake table.

package org.gypsumturn.entry.ledger

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.model.IdempotencyKey
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.ServiceId
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.ports.fake.PortFault
import org.gypsumturn.request.IntentOutcome

class IntentLedgerTest : AnnotationSpec() {
    private val settings = LedgerSettings(lingerMillis = 5, maxGroupRows = 10, repeatWaitMillis = 100)
    private val outcomesByAttempt = HashMap<Long, IntentOutcome>()

    private fun keyOf(name: String): RowKey = IntentRowCodec.keyOf(ServiceId("orders"), IdempotencyKey(name))

    private fun row(attempt: Long, hash: String = "same") =
        IntentRow(hash, NodeId("entry-1"), attempt, IntentState.STARTED, 0)

    private fun intent(name: String, attempt: Long, hash: String = "same", deadlineMillis: Long = 10_000) =
        LedgerCommand.Intent(keyOf(name), row(attempt, hash), deadlineMillis) { outcome, _ ->
            outcomesByAttempt[attempt] = outcome
        }

    private fun answeredOutcome(name: String, attempt: Long, size: Int = 3): LedgerCommand.Outcome {
        val answer =
            IntentRowCodec.encodeAnswer(HttpAnswer(200, emptyList(), ByteArray(size)), settings.maxRecordedBytes)
        return LedgerCommand.Outcome(
            keyOf(name),
            row(attempt),
            row(attempt).copy(state = IntentState.ANSWERED, answer = answer),
        ) {
        }
    }

    @BeforeEach
    fun clear() = outcomesByAttempt.clear()

    @Test
    fun `intents share a transaction that is committed when the linger time has passed`() {
        val table = FakeTableStore()
        val ledger = IntentLedger(table, settings)
        (1L..4L).forEach { ledger.accept(it, intent("k$it", it)) }
        ledger.processDue(5)
        table.usage().commits shouldBe 0
        ledger.processDue(6)
        table.usage().commits shouldBe 1
        outcomesByAttempt.values.toSet() shouldBe setOf(IntentOutcome.Recorded)
        outcomesByAttempt.size shouldBe 4
    }

    @Test
    fun `a conflict of one intent does not fail the other intents of its transaction`() {
        val table = FakeTableStore()
        IntentLedger(table, settings).apply {
            accept(0, intent("k2", 100, hash = "other"))
            processDue(5)
        }
        val ledger = IntentLedger(table, settings)
        (1L..4L).forEach { ledger.accept(10, intent("k$it", it)) }
        ledger.processDue(15)
        outcomesByAttempt.getValue(2) shouldBe IntentOutcome.PayloadDiffers
        listOf(1L, 3L, 4L).forEach { outcomesByAttempt.getValue(it) shouldBe IntentOutcome.Recorded }
        table.usage().commits shouldBe 3
    }

    @Test
    fun `of two intents with the same key only one is recorded`() {
        val ledger = IntentLedger(FakeTableStore(), settings)
        ledger.accept(0, intent("k", 1))
        ledger.accept(0, intent("k", 2))
        ledger.processDue(5)
        ledger.processDue(10)
        outcomesByAttempt shouldBe mapOf(1L to IntentOutcome.Recorded)
        ledger.processDue(200)
        outcomesByAttempt.getValue(2) shouldBe IntentOutcome.AlreadyStarted
    }

    @Test
    fun `an intent is not written after its deadline`() {
        val table = FakeTableStore()
        val ledger = IntentLedger(table, settings)
        ledger.accept(0, intent("k", 1, deadlineMillis = 3))
        ledger.processDue(5)
        outcomesByAttempt.getValue(1).shouldBeInstanceOf<IntentOutcome.NotRecorded>()
        table.usage().commits shouldBe 0
    }

    @Test
    fun `a request costs two row writes and leaves no row if it was not run`() {
        val table = FakeTableStore()
        val ledger = IntentLedger(table, settings)
        ledger.accept(0, intent("ran", 1))
        ledger.accept(0, intent("not-run", 2))
        ledger.processDue(5)
        ledger.accept(10, answeredOutcome("ran", 1))
        ledger.accept(10, LedgerCommand.Outcome(keyOf("not-run"), row(2), null) {})
        ledger.processDue(15)
        table.usage().writtenRows shouldBe 4
        table.usage().readRows shouldBe 0
        ledger.isIdle shouldBe true
        val rows = table.read(listOf(keyOf("ran"), keyOf("not-run")), 1_000).valueOrNull()!!
        rows[0].value?.let(IntentRowCodec::decode)?.state shouldBe IntentState.ANSWERED
        rows[1].revision shouldBe Revision.ABSENT
    }

    @Test
    fun `an answer that is too large is not recorded and a repeat is reported as already started`() {
        val ledger = IntentLedger(FakeTableStore(), settings)
        ledger.accept(0, intent("k", 1))
        ledger.processDue(5)
        ledger.accept(10, answeredOutcome("k", 1, size = settings.maxRecordedBytes + 1))
        ledger.processDue(15)
        ledger.accept(20, intent("k", 2))
        ledger.processDue(25)
        outcomesByAttempt.getValue(2) shouldBe IntentOutcome.AlreadyStarted
    }

    @Test
    fun `an outcome is written again until the table confirms it even if the answer of the table was lost`() {
        val faults = ArrayDeque(listOf(PortFault.NONE, PortFault.REFUSE, PortFault.LOSE_ANSWER))
        var blind = false
        val table = FakeTableStore { isCommit ->
            when {
                isCommit -> (faults.removeFirstOrNull() ?: PortFault.NONE).also {
                    blind = it == PortFault.LOSE_ANSWER
                }

                blind -> PortFault.REFUSE

                else -> PortFault.NONE
            }
        }
        val ledger = IntentLedger(table, settings)
        ledger.accept(0, intent("k", 1))
        ledger.processDue(5)
        ledger.accept(10, answeredOutcome("k", 1))
        ledger.processDue(15)
        ledger.isIdle shouldBe false
        ledger.processDue(600)
        ledger.isIdle shouldBe false
        ledger.processDue(1_200)
        ledger.isIdle shouldBe true
        table.read(listOf(keyOf("k")), 1_000).valueOrNull()!!.single().value
            ?.let(IntentRowCodec::decode)?.state shouldBe IntentState.ANSWERED
    }

    @Test
    fun `the sweep removes old rows page by page and keeps the others`() {
        val table = FakeTableStore()
        val ledger = IntentLedger(table, settings)
        (1L..25L).forEach { number ->
            val old = row(number).copy(atMillis = if (number <= 20) 0 else 1_000)
            ledger.accept(0, LedgerCommand.Intent(keyOf("k$number"), old, 10_000) { _, _ -> })
        }
        ledger.processDue(5)
        val sweep = RetentionSweep(table, retentionMillis = 500, pageRows = 10, storeTimeoutMillis = 1_000)
        (1..3).sumOf { sweep.sweepPage(1_200) } shouldBe 20
        table.scan(IntentRowCodec.PREFIX, null, 100, 1_000).valueOrNull()!!.size shouldBe 5
    }
}
