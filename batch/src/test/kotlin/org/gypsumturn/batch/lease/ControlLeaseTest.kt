// Tests how the control lease is claimed, renewed, released and lost, against a store in memory.

package org.gypsumturn.batch.lease

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.StoredRow
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.Revision

class ControlLeaseTest : AnnotationSpec() {
    private val times = LeaseTimes(3_000, 600, 150)

    /** A store in memory with revisions, conditional transactions and a clock. */
    private class LeaseStore {
        private val rows = HashMap<Any, StoredRow>()
        private var revision = 0L
        var millis = 500L

        fun allRows() = rows.values.toList()

        fun commit(transaction: RowTransaction): TransactionOutcome {
            val allHold = transaction.conditions.all {
                (rows[it.address]?.revision ?: Revision.ABSENT) == it.revision
            }
            if (!allHold) return TransactionOutcome.Conflict(transaction.conditions.mapNotNull { rows[it.address] })
            revision++
            transaction.writes.forEach { rows[it.address] = StoredRow(it.address, Revision(revision), it.value) }
            return TransactionOutcome.Committed(Revision(revision), millis)
        }
    }

    private var store = LeaseStore()

    @BeforeEach
    fun resetStore() {
        store = LeaseStore()
    }

    private fun lease(node: String, incarnation: String = "1") =
        ControlLease(node, "$node/$incarnation", "10.0.0.1:1", times)

    private fun ControlLease.readRows() = applyRows(store.allRows(), store.millis)

    private fun ControlLease.claimAt(millis: Long): Boolean {
        val outcome = store.commit(claimTransaction())
        if (outcome is TransactionOutcome.Committed) onClaimCommitted(outcome, clocksAt(millis))
        if (outcome is TransactionOutcome.Conflict) onConflict(outcome)
        return isHeld
    }

    private fun clocksAt(millis: Long) = ClockReadings(millis, millis)

    @Test
    fun `a lease whose rows have not been read is not claimable`() {
        lease("a").isClaimable() shouldBe false
    }

    @Test
    fun `of two processes that claim the lease at the same time, only the first one holds it`() {
        val a = lease("a").apply { readRows() }
        val b = lease("b").apply { readRows() }
        a.claimAt(0) shouldBe true
        b.claimAt(0) shouldBe false
        b.owner?.node shouldBe "a"
    }

    @Test
    fun `the epoch is the claimed one even if the rows are read before the claim is answered`() {
        val a = lease("a").apply { readRows() }
        val outcome = store.commit(a.claimTransaction()) as TransactionOutcome.Committed
        a.readRows()
        a.onClaimCommitted(outcome, clocksAt(0))
        a.epoch shouldBe Epoch(1)
    }

    @Test
    fun `a lease becomes claimable when it lapses on the store's clock, after it became invalid for the holder`() {
        val a = lease("a").apply { readRows() }
        a.claimAt(100)
        val b = lease("b").apply { readRows() }
        store.millis += 2_900
        b.readRows()
        b.isClaimable() shouldBe false
        a.isValid(clocksAt(100 + 2_900)) shouldBe false
        store.millis += 100
        b.readRows()
        b.isClaimable() shouldBe true
    }

    @Test
    fun `the lease of a holder that was suspended becomes invalid by the time of day`() {
        val a = lease("a").apply { readRows() }
        a.claimAt(0)
        a.isValid(ClockReadings(100, 100)) shouldBe true
        a.isValid(ClockReadings(100, 4_000)) shouldBe false
    }

    @Test
    fun `a renewal whose answer is lost does not make the holder lose the lease`() {
        val a = lease("a").apply { readRows() }
        a.claimAt(0)
        store.commit(a.renewalTransaction())
        a.onConflict(store.commit(a.renewalTransaction()) as TransactionOutcome.Conflict)
        a.isHeld shouldBe true
        val outcome = store.commit(a.renewalTransaction()) as TransactionOutcome.Committed
        a.onRenewalCommitted(outcome, clocksAt(700))
        a.isValid(clocksAt(700)) shouldBe true
    }

    @Test
    fun `a released lease and a lease of an earlier process of the same node are claimable immediately`() {
        val a = lease("a").apply { readRows() }
        a.claimAt(0)
        lease("a", "2").apply { readRows() }.isClaimable() shouldBe true
        val b = lease("b").apply { readRows() }
        b.isClaimable() shouldBe false
        store.commit(a.renewalTransaction(release = true))
        b.readRows()
        b.isClaimable() shouldBe true
    }

    @Test
    fun `a holder whose lease was claimed by another process learns it from its next renewal`() {
        val a = lease("a").apply { readRows() }
        a.claimAt(0)
        val b = lease("b").apply { readRows() }
        store.millis += 3_000
        b.readRows()
        b.claimAt(3_000) shouldBe true
        a.onConflict(store.commit(a.renewalTransaction()) as TransactionOutcome.Conflict)
        a.isHeld shouldBe false
        a.isValid(clocksAt(10)) shouldBe false
    }

    @Test
    fun `a holder that learns of its successor from a conflict waits for the full lapse time before it claims again`() {
        val first = lease("a").apply { readRows() }
        first.claimAt(0)
        store.millis += 10_000
        val second = lease("b").apply { readRows() }
        second.readRows()
        store.millis += 5_000
        second.readRows()
        second.claimAt(15_000) shouldBe true
        val renewal = store.commit(first.renewalTransaction())
        first.onConflict(renewal as TransactionOutcome.Conflict)
        first.isHeld shouldBe false
        store.millis += 100
        first.applyRows(emptyList(), store.millis)
        first.isClaimable() shouldBe false
        store.millis += times.lapseMillis
        first.applyRows(emptyList(), store.millis)
        first.isClaimable() shouldBe true
    }
}
