package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.port.RowChanges
import org.gypsumturn.batch.port.RowCondition
import org.gypsumturn.batch.port.RowPage
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.transport.Endpoint
import org.gypsumturn.transport.HttpClient
import org.gypsumturn.transport.HttpClientLimits
import org.gypsumturn.transport.HttpServer
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Limit of a call that is answered; a busy machine may take its time. */
private const val ANSWERED_MILLIS = 9_000L

class RelayedRowStoreTest : AnnotationSpec() {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop: EventLoop = group.next()
    private val client = HttpClient(loop, HttpClientLimits(4, 300, 5_000, 1_000_000))
    private val row = RowAddress("jobs", "p", "a")
    private lateinit var here: MemoryRowStore
    private lateinit var there: MemoryRowStore
    private lateinit var store: RelayedRowStore
    private var nowMillis = 0L

    @BeforeEach
    fun connect() {
        nowMillis = 0
        here = MemoryRowStore()
        there = MemoryRowStore()
        val peer = Endpoint("127.0.0.1", ServerSocket(0).use { it.localPort })
        val relay = RelayedRowStore(there, client, { emptyList() }, { nowMillis }) { loop.execute(it) }
        HttpServer(loop, peer, 1_000_000, relay::handle).start()
        store = RelayedRowStore(here, client, { listOf(peer) }, { nowMillis }) { loop.execute(it) }
    }

    @AfterAll
    fun stop() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    private fun <T> await(call: ((Verdict<T>) -> Unit) -> Unit): Verdict<T> {
        val answer = CompletableFuture<Verdict<T>>()
        call { answer.complete(it) }
        return answer.get(10, TimeUnit.SECONDS)
    }

    private fun write(revision: Revision = Revision.ABSENT): Verdict<TransactionOutcome> = await { done ->
        val write = RowWrite(row, byteArrayOf(1, 2))
        store.transact(RowTransaction(listOf(RowCondition(row, revision)), listOf(write)), ANSWERED_MILLIS, done)
    }

    @Test
    fun `calls go directly while that works`() {
        write().shouldBeInstanceOf<Verdict.Ran<TransactionOutcome>>()
        there.calls shouldBe 0
    }

    @Test
    fun `a machine that the store refuses writes and reads through another node`() {
        here.trouble = StoreTrouble.REFUSES
        write() shouldBe Verdict.Ran(TransactionOutcome.Committed(Revision(1), 1))
        val page = await<RowPage> { store.read("jobs", "p", null, 5, ANSWERED_MILLIS, it) } as Verdict.Ran
        page.value.rows.single().value?.toList() shouldBe listOf<Byte>(1, 2)
        val changes = await<RowChanges> {
            store.awaitChanges("jobs", Revision.ABSENT, 0, ANSWERED_MILLIS, it)
        } as Verdict.Ran
        changes.value.shouldBeInstanceOf<RowChanges.Known>().rows.single().address shouldBe row
    }

    @Test
    fun `a conflict found through another node shows the present row`() {
        here.trouble = StoreTrouble.REFUSES
        write()
        val outcome = (write() as Verdict.Ran).value
        outcome.shouldBeInstanceOf<TransactionOutcome.Conflict>().current.single().revision shouldBe Revision(1)
    }

    @Test
    fun `a call without an answer is not repeated, and later calls go through the other node`() {
        here.trouble = StoreTrouble.SILENT
        write().shouldBeInstanceOf<Verdict.MayHaveRun>()
        there.calls shouldBe 0
        write().shouldBeInstanceOf<Verdict.Ran<TransactionOutcome>>()
        here.calls shouldBe 1
    }

    @Test
    fun `the direct way is tried again and used when it works`() {
        here.trouble = StoreTrouble.REFUSES
        write()
        here.trouble = StoreTrouble.NONE
        nowMillis += 600
        write()
        here.rows.size shouldBe 1
        write(Revision(1))
        there.rows.size shouldBe 1
    }

    @Test
    fun `a store that is down for all was not asked, however it is reached`() {
        here.trouble = StoreTrouble.REFUSES
        there.trouble = StoreTrouble.REFUSES
        write().shouldBeInstanceOf<Verdict.NotRun>()
        val asked = there.calls
        write().shouldBeInstanceOf<Verdict.NotRun>()
        there.calls shouldBe asked
    }

    @Test
    fun `a write whose answer was lost behind the other node may have run`() {
        here.trouble = StoreTrouble.REFUSES
        there.trouble = StoreTrouble.ANSWER_LOST
        write().shouldBeInstanceOf<Verdict.MayHaveRun>()
        there.rows.size shouldBe 1
    }

    @Test
    fun `the store counts as away when it has answered on no way for a second`() {
        write()
        here.trouble = StoreTrouble.REFUSES
        there.trouble = StoreTrouble.REFUSES
        nowMillis += 600
        write(Revision(1))
        store.isAway(nowMillis) shouldBe false
        nowMillis += 500
        write(Revision(1))
        store.isAway(nowMillis) shouldBe true
        there.trouble = StoreTrouble.NONE
        nowMillis += 500
        write()
        store.isAway(nowMillis) shouldBe false
    }
}
