// A store in virtual time with long polls, latencies and faults of its parts, for tests of whole nodes. Each node calls
// it through a client of its own.

package org.gypsumturn.node

import org.gypsumturn.batch.port.RowChanges
import org.gypsumturn.batch.port.RowPage
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.port.VerdictCallback
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import kotlin.random.Random

internal class VirtualStoreServer(private val loop: VirtualLoop, private val random: Random = Random(1)) {
    private class Waiter(val table: String, val after: Revision, val answer: () -> Unit)

    val memory = MemoryRowStore { loop.nowMillis }

    /** Time that a call takes, beside the wait of a long poll. */
    var callMillis = 4L

    /** Whether no call is answered or performed. */
    var isDown = false

    /** Share of the calls whose answers are lost. */
    var lostShare = 0.0

    /** Tables whose long polls get no answer. */
    val silentFeeds = HashSet<String>()

    /** Partitions whose reads get no answer. */
    val unreadablePartitions = HashSet<String>()

    /** Revisions up to this one are no longer in the history of changes. */
    var discardedUntil = Revision(0)
    private val waiters = ArrayList<Waiter>()

    /** Number of pages of rows of jobs that were read. */
    var jobPageReads = 0

    /** Most long polls of rows of jobs that one client had open at a time. */
    var mostOpenPolls = 0

    val revision: Revision
        get() {
            var newest = Revision(0)
            memory.read("", "", null, 1, 0) { newest = (it as Verdict.Ran).value.revision }
            return newest
        }

    private fun changes(table: String, after: Revision): RowChanges.Known {
        lateinit var changes: RowChanges
        memory.awaitChanges(table, after, 0, 0) { changes = (it as Verdict.Ran).value }
        return changes as RowChanges.Known
    }

    private fun wakeWaiters() {
        val ready = waiters.filter { changes(it.table, it.after).rows.isNotEmpty() }
        waiters.removeAll(ready.toSet())
        ready.forEach { it.answer() }
    }

    /** A client of one node. */
    inner class Client :
        RowStore,
        StoreContact {
        override var lastAnswerMillis = loop.nowMillis
        override var failedCallSentMillis: Long? = null
        private var openPolls = 0

        override fun transact(
            transaction: RowTransaction,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<TransactionOutcome>,
        ) = call(timeoutMillis, onVerdict) { answer ->
            memory.transact(transaction, timeoutMillis) { answer((it as Verdict.Ran).value) }
            wakeWaiters()
        }

        override fun read(
            table: String,
            partition: String,
            from: String?,
            limit: Int,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<RowPage>,
        ) = call(timeoutMillis, onVerdict) { answer ->
            if (table == JobRows.TABLE && limit > 1) jobPageReads++
            memory.read(table, partition, from, limit, timeoutMillis) {
                if (partition !in unreadablePartitions) answer((it as Verdict.Ran).value)
            }
        }

        override fun awaitChanges(
            table: String,
            after: Revision,
            waitMillis: Long,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<RowChanges>,
        ) = call(timeoutMillis, countOpenPoll(table, onVerdict)) { answer ->
            val answerNow = {
                if (table !in silentFeeds) {
                    answer(if (after < discardedUntil) RowChanges.Discarded else changes(table, after))
                }
            }
            if (waitMillis == 0L || after < discardedUntil || changes(table, after).rows.isNotEmpty()) {
                answerNow()
            } else {
                val waiter = Waiter(table, after, answerNow)
                waiters += waiter
                loop.runAfter(waitMillis) { if (waiters.remove(waiter)) answerNow() }
            }
        }

        private fun countOpenPoll(table: String, onVerdict: VerdictCallback<RowChanges>): VerdictCallback<RowChanges> {
            if (table != JobRows.TABLE) return onVerdict
            mostOpenPolls = maxOf(mostOpenPolls, ++openPolls)
            return { verdict ->
                openPolls--
                onVerdict(verdict)
            }
        }

        private fun <T> call(timeoutMillis: Long, onVerdict: VerdictCallback<T>, perform: ((T) -> Unit) -> Unit) {
            val sentMillis = loop.nowMillis
            var isFinished = false
            val finish = { verdict: Verdict<T> ->
                if (!isFinished) {
                    isFinished = true
                    if (verdict is Verdict.Ran) {
                        lastAnswerMillis = loop.nowMillis
                    } else {
                        failedCallSentMillis = maxOf(failedCallSentMillis ?: sentMillis, sentMillis)
                    }
                    onVerdict(verdict)
                }
            }
            val isLost = random.nextDouble() < lostShare
            loop.runAfter(timeoutMillis) {
                finish(Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer in time")))
            }
            loop.runAfter(callMillis / 2) {
                if (!isDown) {
                    perform { value ->
                        loop.runAfter(callMillis - callMillis / 2) {
                            if (!isDown && !isLost) finish(Verdict.Ran(value))
                        }
                    }
                }
            }
        }
    }
}
