// Tests of the groups in which jobs are stored, and of the verdicts when the store is slow, busy or unreachable.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.port.VerdictCallback
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

class JobCommitterTest : AnnotationSpec() {
    /** Leaves transactions open until the test answers them. */
    private class PendingTransactionStore(private val memory: MemoryRowStore = MemoryRowStore()) : RowStore by memory {
        val pending = ArrayDeque<Pair<RowTransaction, VerdictCallback<TransactionOutcome>>>()

        override fun transact(
            transaction: RowTransaction,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<TransactionOutcome>,
        ) {
            pending.addLast(transaction to onVerdict)
        }

        fun answerNext(verdict: Verdict<TransactionOutcome>): RowTransaction {
            val (transaction, onVerdict) = pending.removeFirst()
            onVerdict(verdict)
            return transaction
        }
    }

    private val committed = Verdict.Ran(TransactionOutcome.Committed(Revision(1), 0))
    private val busy = Verdict.NotRun(Failure(FailureKind.OVERLOADED, "status 429"))
    private val unavailable = Verdict.NotRun(Failure(FailureKind.NOT_READY, "status 503"))
    private val timedOut = Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer in time"))
    private var nowMillis = 0L
    private var unreachable = false
    private var delayedActions = ArrayList<() -> Unit>()
    private var store = PendingTransactionStore()
    private var committer = committer()
    private var verdicts = ArrayList<Verdict<Unit>>()

    private fun committer() =
        JobCommitter(store, { unreachable }, { _, action -> delayedActions += action }) { nowMillis }

    @BeforeEach
    fun reset() {
        nowMillis = 0
        unreachable = false
        delayedActions = ArrayList()
        store = PendingTransactionStore()
        committer = committer()
        verdicts = ArrayList()
    }

    private fun commit(number: Int) {
        val write = RowWrite(RowAddress("jobs", "p", "$number"), byteArrayOf(1))
        committer.commit(write, nowMillis + 2_900) { verdicts += it }
    }

    private fun advanceClock(millis: Long) {
        nowMillis += millis
        val actions = delayedActions
        delayedActions = ArrayList()
        actions.forEach { it() }
    }

    @Test
    fun `rows that arrive while a transaction is open are written together in the next one`() {
        repeat(40) { commit(it) }
        store.pending shouldHaveSize 1
        store.answerNext(committed).writes shouldHaveSize 1
        store.answerNext(committed).writes shouldHaveSize 39
        verdicts.count { it is Verdict.Ran } shouldBe 40
    }

    @Test
    fun `a transaction never has more rows than the store accepts`() {
        repeat(250) { commit(it) }
        while (store.pending.isNotEmpty()) store.answerNext(committed).writes.size shouldBeLessThanOrEqual 100
        verdicts shouldHaveSize 250
    }

    @Test
    fun `a write that the store refuses is rejected at once`() {
        commit(1)
        store.answerNext(unavailable)
        verdicts.single().shouldBeInstanceOf<Verdict.NotRun>()
    }

    @Test
    fun `a write to a busy partition is repeated for a while and then rejected`() {
        commit(1)
        store.answerNext(busy)
        verdicts shouldHaveSize 0
        advanceClock(150)
        store.answerNext(busy)
        advanceClock(1_100)
        store.answerNext(busy)
        verdicts.single().shouldBeInstanceOf<Verdict.NotRun>()
    }

    @Test
    fun `a write without an answer is repeated and not reported as rejected`() {
        commit(1)
        store.answerNext(timedOut)
        advanceClock(50)
        store.answerNext(unavailable)
        verdicts shouldHaveSize 0
        advanceClock(50)
        store.answerNext(committed)
        verdicts.single().shouldBeInstanceOf<Verdict.Ran<Unit>>()
    }

    @Test
    fun `a write without an answer until the caller's deadline is reported as possibly done`() {
        commit(1)
        store.answerNext(timedOut)
        advanceClock(3_000)
        verdicts.single().shouldBeInstanceOf<Verdict.MayHaveRun>()
    }

    @Test
    fun `while the store is known to be unreachable writes are rejected at once and not sent`() {
        unreachable = true
        commit(1)
        verdicts.single().shouldBeInstanceOf<Verdict.NotRun>()
        store.pending.size shouldBe 0
        unreachable = false
        commit(2)
        store.answerNext(committed)
        verdicts.last() shouldBe Verdict.Ran(Unit)
    }
}
