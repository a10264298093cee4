package org.gypsumturn.entry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import org.gypsumturn.entry.ledger.IntentRow
import org.gypsumturn.entry.ledger.IntentRows
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

/** Keyed requests through entries that share one table. */
class KeyedRequestTest : AnnotationSpec() {
    private val path = "/services/orders/"

    private fun keyed(caller: RawCaller, key: String, body: String) =
        caller.call(path, body, headers = listOf("Idempotency-Key: $key"))

    private fun EntryFixture.keyed(key: String, body: String) = caller().use { keyed(it, key, body) }

    private fun rowOf(table: FakeTableStore, key: String): IntentRow? {
        val rowKey = IntentRows.keyOf(ServiceId("orders"), IdempotencyKey(key))
        return table.read(listOf(rowKey), 1_000).valueOrNull()!!.single().value?.let(IntentRows::decode)
    }

    private fun twoEntries(target: FakeTarget, table: FakeTableStore, test: (EntryFixture, EntryFixture) -> Unit) {
        val view = SetView(viewOf(listOf(target.port)))
        EntryFixture(view, table, "entry-1").use { one -> EntryFixture(view, table, "entry-2").use { test(one, it) } }
    }

    @Test
    fun `a repeat through another entry gets the recorded answer`() {
        val table = FakeTableStore()
        FakeTarget { seen, side -> side.answer("done ${seen.body}", 201, "X-Own: kept\r\n") }.use { target ->
            twoEntries(target, table) { one, two ->
                one.keyed("k", "order").body shouldBe "done order"
                await { rowOf(table, "k")?.state == IntentState.ANSWERED }
                val repeat = two.keyed("k", "order")
                repeat.status shouldBe 201
                repeat.verdict shouldBe "ran"
                repeat.headers["x-own"] shouldBe "kept"
                repeat.body shouldBe "done order"
                target.seen.size shouldBe 1
            }
        }
    }

    @Test
    fun `another payload under a used key conflicts and is not run`() {
        val table = FakeTableStore()
        FakeTarget().use { target ->
            twoEntries(target, table) { one, two ->
                one.keyed("k", "order").verdict shouldBe "ran"
                val other = two.keyed("k", "another order")
                other.status shouldBe 409
                other.verdict shouldBe "not-run"
                target.seen.size shouldBe 1
            }
        }
    }

    @Test
    fun `two entries that race with the same keys run each request once and give both callers its answer`() {
        val table = FakeTableStore()
        FakeTarget().use { target ->
            twoEntries(target, table) { one, two ->
                val answers = ConcurrentLinkedQueue<Pair<String, SeenAnswer>>()
                val callers = listOf(one, two).map { entry ->
                    thread {
                        entry.caller().use { caller ->
                            repeat(50) { answers += "order-$it" to keyed(caller, "k$it", "order-$it") }
                        }
                    }
                }
                callers.forEach { it.join() }
                target.seen.map { it.body } shouldContainExactlyInAnyOrder (0 until 50).map { "order-$it" }
                answers.size shouldBe 100
                answers.forEach { (body, answer) ->
                    answer.verdict shouldBe "ran"
                    answer.body shouldBe body
                }
            }
        }
    }

    @Test
    fun `while the store is down nothing keyed runs, and what needs no write still does`() {
        val table = FakeTableStore { PortFault.REFUSE }
        FakeTarget().use { target ->
            twoEntries(target, table) { one, _ ->
                val answer = one.keyed("k", "order")
                answer.status shouldBe 503
                answer.verdict shouldBe "not-run"
                one.caller().use { it.call(path, "unkeyed") }.body shouldBe "unkeyed"
                target.seen.map { it.body } shouldBe listOf("unkeyed")
            }
        }
    }

    @Test
    fun `an intent whose answer was lost is read back and runs once`() {
        var fault = PortFault.LOSE_ANSWER
        val table =
            FakeTableStore { isCommit -> if (isCommit) fault.also { fault = PortFault.NONE } else PortFault.NONE }
        FakeTarget().use { target ->
            twoEntries(target, table) { one, two ->
                one.keyed("k", "order").body shouldBe "order"
                await { rowOf(table, "k")?.state == IntentState.ANSWERED }
                two.keyed("k", "order").body shouldBe "order"
                target.seen.size shouldBe 1
            }
        }
    }

    @Test
    fun `an intent that was lost on its way is written again`() {
        var fault = PortFault.LOSE_REQUEST
        val table =
            FakeTableStore { isCommit -> if (isCommit) fault.also { fault = PortFault.NONE } else PortFault.NONE }
        FakeTarget().use { target ->
            twoEntries(target, table) { one, _ ->
                one.keyed("k", "order").body shouldBe "order"
                target.seen.size shouldBe 1
            }
        }
    }

    @Test
    fun `an intent that cannot be settled is not run, and its row is released when the store is back`() {
        var down = true
        val table = FakeTableStore { isCommit ->
            when {
                !down -> PortFault.NONE
                isCommit -> PortFault.LOSE_ANSWER
                else -> PortFault.REFUSE
            }
        }
        FakeTarget().use { target ->
            twoEntries(target, table) { one, two ->
                one.keyed("k", "order").verdict shouldBe "not-run"
                target.seen.size shouldBe 0
                down = false
                await { rowOf(table, "k") == null }
                two.keyed("k", "order").body shouldBe "order"
                target.seen.size shouldBe 1
            }
        }
    }

    @Test
    fun `a request that was certainly not run gives its key back`() {
        val table = FakeTableStore()
        val closedPort = FakeTarget().use { it.port }
        val view = SetView(viewOf(listOf(closedPort), timeoutMillis = 1_000))
        EntryFixture(view, table).use { entry ->
            entry.keyed("k", "order").verdict shouldBe "not-run"
            rowOf(table, "k") shouldBe null
            FakeTarget().use { target ->
                view.view = viewOf(listOf(target.port))
                entry.keyed("k", "order").body shouldBe "order"
            }
        }
    }

    @Test
    fun `the store failing after the intent does not lose the answer, and the outcome is recorded later`() {
        var down = false
        val table = FakeTableStore { if (down) PortFault.REFUSE else PortFault.NONE }
        FakeTarget { seen, side ->
            down = true
            side.answer(seen.body)
        }.use { target ->
            twoEntries(target, table) { one, two ->
                one.keyed("k", "order").body shouldBe "order"
                two.keyed("k", "order").verdict shouldBe "not-run"
                down = false
                await { rowOf(table, "k")?.state == IntentState.ANSWERED }
                two.keyed("k", "order").body shouldBe "order"
                target.seen.size shouldBe 1
            }
        }
    }

    @Test
    fun `an entry that dies between intent and dispatch leaves a key that never runs`() {
        val table = FakeTableStore()
        FakeTarget().use { target ->
            val view = SetView(viewOf(emptyList()))
            val dying = EntryFixture(view, table, "entry-1")
            dying.caller().use { caller ->
                caller.send(path, "order", headers = listOf("Idempotency-Key: k"))
                await { rowOf(table, "k")?.state == IntentState.STARTED }
                dying.close()
            }
            EntryFixture(SetView(viewOf(listOf(target.port))), table, "entry-2").use { two ->
                two.keyed("k", "order").verdict shouldBe "may-have-run"
                target.seen.size shouldBe 0
            }
        }
    }

    @Test
    fun `an entry that dies between dispatch and answer leaves a key that runs no second time`() {
        val table = FakeTableStore()
        val arrived = CountDownLatch(1)
        FakeTarget { _, _ -> arrived.countDown() }.use { target ->
            val view = SetView(viewOf(listOf(target.port)))
            val dying = EntryFixture(view, table, "entry-1")
            dying.caller().use { caller ->
                caller.send(path, "order", headers = listOf("Idempotency-Key: k"))
                arrived.await()
                dying.close()
            }
            EntryFixture(view, table, "entry-2").use { two ->
                val repeat = two.keyed("k", "order")
                repeat.status shouldBe 504
                repeat.verdict shouldBe "may-have-run"
                target.seen.size shouldBe 1
            }
        }
    }

    @Test
    fun `a repeat waits for the first request to end and gets its answer`() {
        val table = FakeTableStore()
        val arrived = CountDownLatch(1)
        val go = CountDownLatch(1)
        FakeTarget { seen, side ->
            arrived.countDown()
            go.await()
            side.answer(seen.body)
        }.use { target ->
            val config = TEST_CONFIG.copy(ledger = TEST_CONFIG.ledger.copy(repeatWaitMillis = 30_000))
            val view = SetView(viewOf(listOf(target.port)))
            EntryFixture(view, table, "entry-1", config).use { one ->
                EntryFixture(view, table, "entry-2", config).use { two ->
                    val first = one.caller()
                    first.send(path, "order", headers = listOf("Idempotency-Key: k"))
                    arrived.await()
                    val second = two.caller()
                    second.send(path, "order", headers = listOf("Idempotency-Key: k"))
                    await { two.node.openRequests == 1 }
                    go.countDown()
                    first.read().body shouldBe "order"
                    second.read().body shouldBe "order"
                    target.seen.size shouldBe 1
                }
            }
        }
    }

    @Test
    fun `a target that breaks its answer leaves a key that may have run, for every repeat`() {
        val table = FakeTableStore()
        FakeTarget { _, side -> side.reset() }.use { target ->
            twoEntries(target, table) { one, two ->
                one.keyed("k", "order").verdict shouldBe "may-have-run"
                await { rowOf(table, "k")?.state == IntentState.MAY_HAVE_RUN }
                two.keyed("k", "order").verdict shouldBe "may-have-run"
                target.seen.size shouldBe 1
            }
        }
    }

    /** Sends one order to an entry to which [during] happens while its intent is being written. */
    private fun interrupted(during: (EntryFixture) -> Unit) {
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
            EntryFixture(SetView(viewOf(listOf(target.port))), table).use { paused ->
                entry = paused
                paused.keyed("k", "order").verdict shouldBe "not-run"
                target.seen.size shouldBe 0
                await { rowOf(table, "k") == null }
            }
        }
    }

    @Test
    fun `an entry that is paused past the deadline while it records an intent sends nothing`() =
        interrupted { it.pausedMillis = 60_000 }

    @Test
    fun `an entry whose view's lease runs out while it records an intent sends nothing`() =
        interrupted { it.view.readiness = Readiness(false, "the view's lease lapsed") }
}
