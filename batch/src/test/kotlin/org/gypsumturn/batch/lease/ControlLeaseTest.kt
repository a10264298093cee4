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

    /** Two rows with revisions and a clock, as the store keeps them. */
    private class LeaseStore {
        private val rows = HashMap<Any, StoredRow>()
        private var revision = 0L
        var millis = 500L

        fun all() = rows.values.toList()

        fun apply(transaction: RowTransaction): TransactionOutcome {
            val fits = transaction.conditions.all {
                (rows[it.address]?.revision ?: Revision.ABSENT) == it.revision
            }
            if (!fits) return TransactionOutcome.Conflict(transaction.conditions.mapNotNull { rows[it.address] })
            revision++
            transaction.writes.forEach { rows[it.address] = StoredRow(it.address, Revision(revision), it.value) }
            return TransactionOutcome.Committed(Revision(revision), millis)
        }
    }

    private var rows = LeaseStore()

    @BeforeEach
    fun freshRows() {
        rows = LeaseStore()
    }

    private fun lease(name: String, start: String = "1") = ControlLease(name, "$name/$start", "10.0.0.1:1", times)

    private fun ControlLease.look() = observe(rows.all(), rows.millis)

    private fun ControlLease.claimAt(millis: Long): Boolean {
        val outcome = rows.apply(claim())
        if (outcome is TransactionOutcome.Committed) claimed(outcome, at(millis))
        if (outcome is TransactionOutcome.Conflict) conflicted(outcome)
        return held
    }

    private fun at(millis: Long) = Instants(millis, millis)

    @Test
    fun `an unread lease is not claimed`() {
        lease("a").claimable() shouldBe false
    }

    @Test
    fun `one of two that claim at once holds the lease`() {
        val a = lease("a").apply { look() }
        val b = lease("b").apply { look() }
        a.claimAt(0) shouldBe true
        b.claimAt(0) shouldBe false
        b.owner?.node shouldBe "a"
    }

    @Test
    fun `the epoch is the claimed one even if the rows were read before the claim was answered`() {
        val a = lease("a").apply { look() }
        val outcome = rows.apply(a.claim()) as TransactionOutcome.Committed
        a.look()
        a.claimed(outcome, at(0))
        a.epoch shouldBe Epoch(1)
    }

    @Test
    fun `is claimable once the store's clock shows the silence, and not before the holder has stopped`() {
        val a = lease("a").apply { look() }
        a.claimAt(100)
        val b = lease("b").apply { look() }
        rows.millis += 2_900
        b.look()
        b.claimable() shouldBe false
        a.valid(at(100 + 2_900)) shouldBe false
        rows.millis += 100
        b.look()
        b.claimable() shouldBe true
    }

    @Test
    fun `a holder that was suspended stops by the time of day`() {
        val a = lease("a").apply { look() }
        a.claimAt(0)
        a.valid(Instants(100, 100)) shouldBe true
        a.valid(Instants(100, 4_000)) shouldBe false
    }

    @Test
    fun `a renewal that took effect without an answer does not cost the lease`() {
        val a = lease("a").apply { look() }
        a.claimAt(0)
        rows.apply(a.renew())
        a.conflicted(rows.apply(a.renew()) as TransactionOutcome.Conflict)
        a.held shouldBe true
        val outcome = rows.apply(a.renew()) as TransactionOutcome.Committed
        a.renewed(outcome, at(700))
        a.valid(at(700)) shouldBe true
    }

    @Test
    fun `a released lease and one of an earlier start of the same node are claimable at once`() {
        val a = lease("a").apply { look() }
        a.claimAt(0)
        lease("a", "2").apply { look() }.claimable() shouldBe true
        val b = lease("b").apply { look() }
        b.claimable() shouldBe false
        rows.apply(a.renew(release = true))
        b.look()
        b.claimable() shouldBe true
    }

    @Test
    fun `a holder that was taken over learns it from its next renewal`() {
        val a = lease("a").apply { look() }
        a.claimAt(0)
        val b = lease("b").apply { look() }
        rows.millis += 3_000
        b.look()
        b.claimAt(3_000) shouldBe true
        a.conflicted(rows.apply(a.renew()) as TransactionOutcome.Conflict)
        a.held shouldBe false
        a.valid(at(10)) shouldBe false
    }

    @Test
    fun `a holder that learns of its successor from a conflict does not count the successor as silent`() {
        val first = lease("a").apply { look() }
        first.claimAt(0)
        rows.millis += 10_000
        val second = lease("b").apply { look() }
        second.look()
        rows.millis += 5_000
        second.look()
        second.claimAt(15_000) shouldBe true
        val renewal = rows.apply(first.renew())
        first.conflicted(renewal as TransactionOutcome.Conflict)
        first.held shouldBe false
        rows.millis += 100
        first.observe(emptyList(), rows.millis)
        first.claimable() shouldBe false
        rows.millis += times.lapseMillis
        first.observe(emptyList(), rows.millis)
        first.claimable() shouldBe true
    }
}
