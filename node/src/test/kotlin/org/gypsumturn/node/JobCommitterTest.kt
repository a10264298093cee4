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
    /** Holds transactions back until they are answered by the test. */
    private class HeldStore(private val memory: MemoryRowStore = MemoryRowStore()) : RowStore by memory {
        val held = ArrayDeque<Pair<RowTransaction, VerdictCallback<TransactionOutcome>>>()

        override fun transact(
            transaction: RowTransaction,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<TransactionOutcome>,
        ) {
            held.addLast(transaction to onVerdict)
        }

        fun answer(verdict: Verdict<TransactionOutcome>): RowTransaction {
            val (transaction, done) = held.removeFirst()
            done(verdict)
            return transaction
        }
    }

    private val committed = Verdict.Ran(TransactionOutcome.Committed(Revision(1), 0))
    private val busy = Verdict.NotRun(Failure(FailureKind.OVERLOADED, "status 429"))
    private val down = Verdict.NotRun(Failure(FailureKind.NOT_READY, "status 503"))
    private val silent = Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer in time"))
    private var nowMillis = 0L
    private var away = false
    private var later = ArrayList<() -> Unit>()
    private var store = HeldStore()
    private var committer = committer()
    private var verdicts = ArrayList<Verdict<Unit>>()

    private fun committer() = JobCommitter(store, { away }, { _, action -> later += action }) { nowMillis }

    @BeforeEach
    fun reset() {
        nowMillis = 0
        away = false
        later = ArrayList()
        store = HeldStore()
        committer = committer()
        verdicts = ArrayList()
    }

    private fun commit(number: Int) {
        val write = RowWrite(RowAddress("jobs", "p", "$number"), byteArrayOf(1))
        committer.commit(write, nowMillis + 2_900) { verdicts += it }
    }

    private fun runLater(millis: Long) {
        nowMillis += millis
        val due = later
        later = ArrayList()
        due.forEach { it() }
    }

    @Test
    fun `a slow store gets what has gathered with its next transaction`() {
        repeat(40) { commit(it) }
        store.held shouldHaveSize 1
        store.answer(committed).writes shouldHaveSize 1
        store.answer(committed).writes shouldHaveSize 39
        verdicts.count { it is Verdict.Ran } shouldBe 40
    }

    @Test
    fun `a transaction never holds more rows than the store takes`() {
        repeat(250) { commit(it) }
        while (store.held.isNotEmpty()) store.answer(committed).writes.size shouldBeLessThanOrEqual 100
        verdicts shouldHaveSize 250
    }

    @Test
    fun `a refused job was not accepted and is told so at once`() {
        commit(1)
        store.answer(down)
        verdicts.single().shouldBeInstanceOf<Verdict.NotRun>()
    }

    @Test
    fun `a busy partition is asked again for a while, and then the caller is refused`() {
        commit(1)
        store.answer(busy)
        verdicts shouldHaveSize 0
        runLater(150)
        store.answer(busy)
        runLater(1_100)
        store.answer(busy)
        verdicts.single().shouldBeInstanceOf<Verdict.NotRun>()
    }

    @Test
    fun `a write without an answer is repeated and never told as not accepted`() {
        commit(1)
        store.answer(silent)
        runLater(50)
        store.answer(down)
        verdicts shouldHaveSize 0
        runLater(50)
        store.answer(committed)
        verdicts.single().shouldBeInstanceOf<Verdict.Ran<Unit>>()
    }

    @Test
    fun `a write that stays without an answer may have been done when its caller's time is over`() {
        commit(1)
        store.answer(silent)
        runLater(3_000)
        verdicts.single().shouldBeInstanceOf<Verdict.MayHaveRun>()
    }

    @Test
    fun `while the store is known to be away callers are refused at once and nothing is sent`() {
        away = true
        commit(1)
        verdicts.single().shouldBeInstanceOf<Verdict.NotRun>()
        store.held.size shouldBe 0
        away = false
        commit(2)
        store.answer(committed)
        verdicts.last() shouldBe Verdict.Ran(Unit)
    }
}
