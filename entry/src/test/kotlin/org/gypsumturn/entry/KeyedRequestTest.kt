// Checks that a keyed request runs at most once, even with several entries, faults of the store, and crashes or pauses
// of an entry between recording the intent, dispatching the request and recording the outcome.

package org.gypsumturn.entry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import org.gypsumturn.entry.ledger.IntentRow
import org.gypsumturn.entry.ledger.IntentRowCodec
import org.gypsumturn.entry.ledger.IntentState
import org.gypsumturn.model.IdempotencyKey
import org.gypsumturn.model.ServiceId
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.ports.fake.PortFault
import org.gypsumturn.view.Readiness
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/** Keyed requests through one or two entries that share one table. */
class KeyedRequestTest : AnnotationSpec() {
    private val path = "/services/orders/"

    private fun callWithKey(caller: RawCaller, key: String, body: String) =
        caller.call(path, body, headers = listOf("Idempotency-Key: $key"))

    private fun EntryFixture.callWithKey(key: String, body: String) = caller().use { callWithKey(it, key, body) }

    private fun rowOf(table: FakeTableStore, key: String): IntentRow? {
        val rowKey = IntentRowCodec.keyOf(ServiceId("orders"), IdempotencyKey(key))
        return table.read(listOf(rowKey), 1_000).valueOrNull()!!.single().value?.let(IntentRowCodec::decode)
    }

    private fun withTwoEntries(target: FakeTarget, table: FakeTableStore, test: (EntryFixture, EntryFixture) -> Unit) {
        val view = SettableViewSource(viewOf(listOf(target.port)))
        EntryFixture(view, table, "entry-1").use { one -> EntryFixture(view, table, "entry-2").use { test(one, it) } }
    }

    @Test
    fun `a repeat through another entry gets the recorded answer`() {
        val table = FakeTableStore()
        FakeTarget { request, socket -> socket.answer("done ${request.body}", 201, "X-Own: kept\r\n") }.use { target ->
            withTwoEntries(target, table) { one, two ->
                one.callWithKey("k", "order").body shouldBe "done order"
                await { rowOf(table, "k")?.state == IntentState.ANSWERED }
                val repeat = two.callWithKey("k", "order")
                repeat.status shouldBe 201
                repeat.verdict shouldBe "ran"
                repeat.headers["x-own"] shouldBe "kept"
                repeat.body shouldBe "done order"
                target.receivedRequests.size shouldBe 1
            }
        }
    }

    @Test
    fun `a request that reuses a key with another payload is answered 409 and not run`() {
        val table = FakeTableStore()
        FakeTarget().use { target ->
            withTwoEntries(target, table) { one, two ->
                one.callWithKey("k", "order").verdict shouldBe "ran"
                val other = two.callWithKey("k", "another order")
                other.status shouldBe 409
                other.verdict shouldBe "not-run"
                target.receivedRequests.size shouldBe 1
            }
        }
    }

    @Test
    fun `two entries that receive the same keys at once run each request once and answer both callers`() {
        val table = FakeTableStore()
        FakeTarget().use { target ->
            withTwoEntries(target, table) { one, two ->
                val answers = ConcurrentLinkedQueue<Pair<String, ReceivedAnswer>>()
                val callers = listOf(one, two).map { entry ->
                    thread {
                        entry.caller().use { caller ->
                            repeat(50) { answers += "order-$it" to callWithKey(caller, "k$it", "order-$it") }
                        }
                    }
                }
                callers.forEach { it.join() }
                target.receivedRequests.map { it.body } shouldContainExactlyInAnyOrder (0 until 50).map { "order-$it" }
                answers.size shouldBe 100
                answers.forEach { (body, answer) ->
                    answer.verdict shouldBe "ran"
                    answer.body shouldBe body
                }
            }
        }
    }

    @Test
    fun `while the store is down no keyed request runs but requests without a key still do`() {
        val table = FakeTableStore { PortFault.REFUSE }
        FakeTarget().use { target ->
            withTwoEntries(target, table) { one, _ ->
                val answer = one.callWithKey("k", "order")
                answer.status shouldBe 503
                answer.verdict shouldBe "not-run"
                one.caller().use { it.call(path, "unkeyed") }.body shouldBe "unkeyed"
                target.receivedRequests.map { it.body } shouldBe listOf("unkeyed")
            }
        }
    }

    @Test
    fun `a request runs once if the answer of the store to its intent was lost`() {
        var fault = PortFault.LOSE_ANSWER
        val table =
            FakeTableStore { isCommit -> if (isCommit) fault.also { fault = PortFault.NONE } else PortFault.NONE }
        FakeTarget().use { target ->
            withTwoEntries(target, table) { one, two ->
                one.callWithKey("k", "order").body shouldBe "order"
                await { rowOf(table, "k")?.state == IntentState.ANSWERED }
                two.callWithKey("k", "order").body shouldBe "order"
                target.receivedRequests.size shouldBe 1
            }
        }
    }

    @Test
    fun `an intent is written again if the call to the store was lost`() {
        var fault = PortFault.LOSE_REQUEST
        val table =
            FakeTableStore { isCommit -> if (isCommit) fault.also { fault = PortFault.NONE } else PortFault.NONE }
        FakeTarget().use { target ->
            withTwoEntries(target, table) { one, _ ->
                one.callWithKey("k", "order").body shouldBe "order"
                target.receivedRequests.size shouldBe 1
            }
        }
    }

    @Test
    fun `a request whose intent may have been recorded does not run and its row is removed when the store is back`() {
        var down = true
        val table = FakeTableStore { isCommit ->
            when {
                !down -> PortFault.NONE
                isCommit -> PortFault.LOSE_ANSWER
                else -> PortFault.REFUSE
            }
        }
        FakeTarget().use { target ->
            withTwoEntries(target, table) { one, two ->
                one.callWithKey("k", "order").verdict shouldBe "not-run"
                target.receivedRequests.size shouldBe 0
                down = false
                await { rowOf(table, "k") == null }
                two.callWithKey("k", "order").body shouldBe "order"
                target.receivedRequests.size shouldBe 1
            }
        }
    }

    @Test
    fun `the key of a request that was certainly not run can be used again`() {
        val table = FakeTableStore()
        val closedPort = FakeTarget().use { it.port }
        val view = SettableViewSource(viewOf(listOf(closedPort), timeoutMillis = 1_000))
        EntryFixture(view, table).use { entry ->
            entry.callWithKey("k", "order").verdict shouldBe "not-run"
            rowOf(table, "k") shouldBe null
            FakeTarget().use { target ->
                view.view = viewOf(listOf(target.port))
                entry.callWithKey("k", "order").body shouldBe "order"
            }
        }
    }

    @Test
    fun `a store failure after the intent does not lose the answer and the outcome is recorded later`() {
        var down = false
        val table = FakeTableStore { if (down) PortFault.REFUSE else PortFault.NONE }
        FakeTarget { request, socket ->
            down = true
            socket.answer(request.body)
        }.use { target ->
            withTwoEntries(target, table) { one, two ->
                one.callWithKey("k", "order").body shouldBe "order"
                two.callWithKey("k", "order").verdict shouldBe "not-run"
                down = false
                await { rowOf(table, "k")?.state == IntentState.ANSWERED }
                two.callWithKey("k", "order").body shouldBe "order"
                target.receivedRequests.size shouldBe 1
            }
        }
    }

    @Test
    fun `a key never runs if its entry crashes between recording the intent and dispatching the request`() {
        val table = FakeTableStore()
        FakeTarget().use { target ->
            val view = SettableViewSource(viewOf(emptyList()))
            val dying = EntryFixture(view, table, "entry-1")
            dying.caller().use { caller ->
                caller.send(path, "order", headers = listOf("Idempotency-Key: k"))
                await { rowOf(table, "k")?.state == IntentState.STARTED }
                dying.close()
            }
            EntryFixture(SettableViewSource(viewOf(listOf(target.port))), table, "entry-2").use { two ->
                two.callWithKey("k", "order").verdict shouldBe "may-have-run"
                target.receivedRequests.size shouldBe 0
            }
        }
    }

    @Test
    fun `a key does not run a second time if its entry crashes between dispatch and answer`() {
        val table = FakeTableStore()
        val arrived = CountDownLatch(1)
        FakeTarget { _, _ -> arrived.countDown() }.use { target ->
            val view = SettableViewSource(viewOf(listOf(target.port)))
            val dying = EntryFixture(view, table, "entry-1")
            dying.caller().use { caller ->
                caller.send(path, "order", headers = listOf("Idempotency-Key: k"))
                arrived.await()
                dying.close()
            }
            EntryFixture(view, table, "entry-2").use { two ->
                val repeat = two.callWithKey("k", "order")
                repeat.status shouldBe 504
                repeat.verdict shouldBe "may-have-run"
                target.receivedRequests.size shouldBe 1
            }
        }
    }

    @Test
    fun `a repeat waits for the first request to end and gets its answer`() {
        val table = FakeTableStore()
        val arrived = CountDownLatch(1)
        val proceed = CountDownLatch(1)
        FakeTarget { request, socket ->
            arrived.countDown()
            proceed.await()
            socket.answer(request.body)
        }.use { target ->
            val config = TEST_CONFIG.copy(ledger = TEST_CONFIG.ledger.copy(repeatWaitMillis = 30_000))
            val view = SettableViewSource(viewOf(listOf(target.port)))
            EntryFixture(view, table, "entry-1", config).use { one ->
                EntryFixture(view, table, "entry-2", config).use { two ->
                    val first = one.caller()
                    first.send(path, "order", headers = listOf("Idempotency-Key: k"))
                    arrived.await()
                    val second = two.caller()
                    second.send(path, "order", headers = listOf("Idempotency-Key: k"))
                    await { two.node.openRequests == 1 }
                    proceed.countDown()
                    first.read().body shouldBe "order"
                    second.read().body shouldBe "order"
                    target.receivedRequests.size shouldBe 1
                }
            }
        }
    }

    @Test
    fun `repeats of a key get may-have-run if the target broke its answer to the first request`() {
        val table = FakeTableStore()
        FakeTarget { _, socket -> socket.reset() }.use { target ->
            withTwoEntries(target, table) { one, two ->
                one.callWithKey("k", "order").verdict shouldBe "may-have-run"
                await { rowOf(table, "k")?.state == IntentState.MAY_HAVE_RUN }
                two.callWithKey("k", "order").verdict shouldBe "may-have-run"
                target.receivedRequests.size shouldBe 1
            }
        }
    }

    /** Runs [during] while the entry records the intent of a request. Checks that the request is not run. */
    private fun shouldNotRunWhenInterrupted(during: (EntryFixture) -> Unit) {
        var entry: EntryFixture? = null
        var pending = true
        val table = FakeTableStore { isCommit ->
            if (isCommit && pending) {
                pending = false
                during(checkNotNull(entry))
            }
            PortFault.NONE
        }
        FakeTarget().use { target ->
            EntryFixture(SettableViewSource(viewOf(listOf(target.port))), table).use { paused ->
                entry = paused
                paused.callWithKey("k", "order").verdict shouldBe "not-run"
                target.receivedRequests.size shouldBe 0
                await { rowOf(table, "k") == null }
            }
        }
    }

    @Test
    fun `an entry that is paused past the deadline while it records an intent does not send the request`() =
        shouldNotRunWhenInterrupted { it.clockAheadMillis = 60_000 }

    @Test
    fun `an entry whose view lease lapses while it records an intent does not send the request`() =
        shouldNotRunWhenInterrupted { it.view.readiness = Readiness(false, "the view's lease lapsed") }
}
