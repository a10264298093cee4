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

/** The ledger in virtual time. */
class IntentLedgerTest : AnnotationSpec() {
    private val settings = LedgerSettings(lingerMillis = 5, maxGroupRows = 10, repeatWaitMillis = 100)
    private val ended = HashMap<Long, IntentOutcome>()

    private fun keyOf(name: String): RowKey = IntentRows.keyOf(ServiceId("orders"), IdempotencyKey(name))

    private fun row(attempt: Long, hash: String = "same") =
        IntentRow(hash, NodeId("entry-1"), attempt, IntentState.STARTED, 0)

    private fun intent(name: String, attempt: Long, hash: String = "same", deadlineMillis: Long = 10_000) =
        LedgerOrder.Intent(keyOf(name), row(attempt, hash), deadlineMillis) { outcome, _ -> ended[attempt] = outcome }

    private fun answered(name: String, attempt: Long, size: Int = 3): LedgerOrder.Outcome {
        val answer = IntentRows.record(HttpAnswer(200, emptyList(), ByteArray(size)), settings.maxRecordedBytes)
        return LedgerOrder.Outcome(
            keyOf(name),
            row(attempt),
            row(attempt).copy(state = IntentState.ANSWERED, answer = answer),
        ) {
        }
    }

    @BeforeEach
    fun clear() = ended.clear()

    @Test
    fun `intents share a transaction, after the linger at the latest`() {
        val table = FakeTableStore()
        val ledger = IntentLedger(table, settings)
        (1L..4L).forEach { ledger.accept(it, intent("k$it", it)) }
        ledger.advance(5)
        table.usage().commits shouldBe 0
        ledger.advance(6)
        table.usage().commits shouldBe 1
        ended.values.toSet() shouldBe setOf(IntentOutcome.Recorded)
        ended.size shouldBe 4
    }

    @Test
    fun `a conflict of one intent does not fail the others of its transaction`() {
        val table = FakeTableStore()
        IntentLedger(table, settings).apply {
            accept(0, intent("k2", 100, hash = "other"))
            advance(5)
        }
        val ledger = IntentLedger(table, settings)
        (1L..4L).forEach { ledger.accept(10, intent("k$it", it)) }
        ledger.advance(15)
        ended.getValue(2) shouldBe IntentOutcome.PayloadDiffers
        listOf(1L, 3L, 4L).forEach { ended.getValue(it) shouldBe IntentOutcome.Recorded }
        table.usage().commits shouldBe 3
    }

    @Test
    fun `two intents with one key never share a transaction, and only one is recorded`() {
        val ledger = IntentLedger(FakeTableStore(), settings)
        ledger.accept(0, intent("k", 1))
        ledger.accept(0, intent("k", 2))
        ledger.advance(5)
        ledger.advance(10)
        ended shouldBe mapOf(1L to IntentOutcome.Recorded)
        ledger.advance(200)
        ended.getValue(2) shouldBe IntentOutcome.AlreadyStarted
    }

    @Test
    fun `an intent past its deadline is not written`() {
        val table = FakeTableStore()
        val ledger = IntentLedger(table, settings)
        ledger.accept(0, intent("k", 1, deadlineMillis = 3))
        ledger.advance(5)
        ended.getValue(1).shouldBeInstanceOf<IntentOutcome.NotRecorded>()
        table.usage().commits shouldBe 0
    }

    @Test
    fun `a request costs two row writes, and a released one leaves no row`() {
        val table = FakeTableStore()
        val ledger = IntentLedger(table, settings)
        ledger.accept(0, intent("ran", 1))
        ledger.accept(0, intent("not-run", 2))
        ledger.advance(5)
        ledger.accept(10, answered("ran", 1))
        ledger.accept(10, LedgerOrder.Outcome(keyOf("not-run"), row(2), null) {})
        ledger.advance(15)
        table.usage().writtenRows shouldBe 4
        table.usage().readRows shouldBe 0
        ledger.settled shouldBe true
        val rows = table.read(listOf(keyOf("ran"), keyOf("not-run")), 1_000).valueOrNull()!!
        rows[0].value?.let(IntentRows::decode)?.state shouldBe IntentState.ANSWERED
        rows[1].revision shouldBe Revision.ABSENT
    }

    @Test
    fun `an answer that is too large is not kept, and its repeat may have run`() {
        val ledger = IntentLedger(FakeTableStore(), settings)
        ledger.accept(0, intent("k", 1))
        ledger.advance(5)
        ledger.accept(10, answered("k", 1, size = settings.maxRecordedBytes + 1))
        ledger.advance(15)
        ledger.accept(20, intent("k", 2))
        ledger.advance(25)
        ended.getValue(2) shouldBe IntentOutcome.AlreadyStarted
    }

    @Test
    fun `an outcome is tried again until the table takes it, also after its own answer was lost`() {
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
        ledger.advance(5)
        ledger.accept(10, answered("k", 1))
        ledger.advance(15)
        ledger.settled shouldBe false
        ledger.advance(600)
        ledger.settled shouldBe false
        ledger.advance(1_200)
        ledger.settled shouldBe true
        table.read(listOf(keyOf("k")), 1_000).valueOrNull()!!.single().value
            ?.let(IntentRows::decode)?.state shouldBe IntentState.ANSWERED
    }

    @Test
    fun `the sweep removes old rows page by page and leaves others`() {
        val table = FakeTableStore()
        val ledger = IntentLedger(table, settings)
        (1L..25L).forEach { number ->
            val old = row(number).copy(atMillis = if (number <= 20) 0 else 1_000)
            ledger.accept(0, LedgerOrder.Intent(keyOf("k$number"), old, 10_000) { _, _ -> })
        }
        ledger.advance(5)
        val sweep = RetentionSweep(table, retentionMillis = 500, pageRows = 10, storeTimeoutMillis = 1_000)
        (1..3).sumOf { sweep.step(1_200) } shouldBe 20
        table.scan(IntentRows.PREFIX, null, 100, 1_000).valueOrNull()!!.size shouldBe 5
    }
}
