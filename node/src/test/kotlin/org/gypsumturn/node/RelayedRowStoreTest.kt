// Tests of the choice between direct and relayed calls to the store. The peer is a real HTTP server in this process.

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
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.port.VerdictCallback
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.transport.Endpoint
import org.gypsumturn.transport.HttpClient
import org.gypsumturn.transport.HttpClientLimits
import org.gypsumturn.transport.HttpServer
import org.gypsumturn.transport.ServedAnswer
import org.gypsumturn.transport.ServedRequest
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Timeout of calls to the store. Those of these tests get an answer, but may be slow on a busy machine. */
private const val CALL_TIMEOUT_MILLIS = 9_000L

class RelayedRowStoreTest : AnnotationSpec() {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop: EventLoop = group.next()
    private val client = HttpClient(loop, HttpClientLimits(4, 300, 5_000, 1_000_000))
    private val row = RowAddress("jobs", "p", "a")
    private lateinit var localStore: MemoryRowStore
    private lateinit var peerStore: MemoryRowStore
    private lateinit var store: RelayedRowStore
    private var nowMillis = 0L

    @BeforeEach
    fun startPeer() {
        nowMillis = 0
        localStore = MemoryRowStore()
        peerStore = MemoryRowStore()
        val peer = startPeerOf(peerStore)
        store = storeWithPeers(peer)
    }

    private fun startPeerOf(directStore: MemoryRowStore): Endpoint {
        val peerRelay = RelayedRowStore(directStore, client, { emptyList() }, { nowMillis }) { loop.execute(it) }
        return startServer(peerRelay::handle)
    }

    private fun startServer(handler: (ServedRequest, (ServedAnswer) -> Unit) -> Unit): Endpoint {
        val endpoint = Endpoint("127.0.0.1", ServerSocket(0).use { it.localPort })
        HttpServer(loop, endpoint, 1_000_000, handler).start()
        return endpoint
    }

    private fun storeWithPeers(vararg peers: Endpoint) =
        RelayedRowStore(localStore, client, { peers.toList() }, { nowMillis }) { loop.execute(it) }

    @AfterAll
    fun stopEventLoop() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    private fun <T> awaitVerdict(call: ((Verdict<T>) -> Unit) -> Unit): Verdict<T> {
        val future = CompletableFuture<Verdict<T>>()
        call { future.complete(it) }
        return future.get(10, TimeUnit.SECONDS)
    }

    private fun write(revision: Revision = Revision.ABSENT): Verdict<TransactionOutcome> = awaitVerdict { onVerdict ->
        val write = RowWrite(row, byteArrayOf(1, 2))
        store.transact(
            RowTransaction(listOf(RowCondition(row, revision)), listOf(write)),
            CALL_TIMEOUT_MILLIS,
            onVerdict,
        )
    }

    @Test
    fun `calls are not relayed while direct calls succeed`() {
        write().shouldBeInstanceOf<Verdict.Ran<TransactionOutcome>>()
        peerStore.callCount shouldBe 0
    }

    @Test
    fun `writes, reads and long polls are relayed through a peer while the store refuses this machine`() {
        localStore.failureMode = StoreFailureMode.REFUSES
        write() shouldBe Verdict.Ran(TransactionOutcome.Committed(Revision(1), 1))
        val page = awaitVerdict<RowPage> { store.read("jobs", "p", null, 5, CALL_TIMEOUT_MILLIS, it) } as Verdict.Ran
        page.value.rows.single().value?.toList() shouldBe listOf<Byte>(1, 2)
        val changes = awaitVerdict<RowChanges> {
            store.awaitChanges("jobs", Revision.ABSENT, 0, CALL_TIMEOUT_MILLIS, it)
        } as Verdict.Ran
        changes.value.shouldBeInstanceOf<RowChanges.Known>().rows.single().address shouldBe row
    }

    @Test
    fun `a conflict of a relayed transaction has the present row`() {
        localStore.failureMode = StoreFailureMode.REFUSES
        write()
        val outcome = (write() as Verdict.Ran).value
        outcome.shouldBeInstanceOf<TransactionOutcome.Conflict>().current.single().revision shouldBe Revision(1)
    }

    @Test
    fun `a call without an answer is not repeated, and later calls are relayed`() {
        localStore.failureMode = StoreFailureMode.SILENT
        write().shouldBeInstanceOf<Verdict.MayHaveRun>()
        peerStore.callCount shouldBe 0
        write().shouldBeInstanceOf<Verdict.Ran<TransactionOutcome>>()
        localStore.callCount shouldBe 1
    }

    @Test
    fun `direct calls are tried again after a while and used when they succeed`() {
        localStore.failureMode = StoreFailureMode.REFUSES
        write()
        localStore.failureMode = StoreFailureMode.NONE
        nowMillis += 600
        write()
        localStore.rows.size shouldBe 1
        write(Revision(1))
        peerStore.rows.size shouldBe 1
    }

    @Test
    fun `calls are reported as not run and relaying pauses when no peer reaches the store either`() {
        localStore.failureMode = StoreFailureMode.REFUSES
        peerStore.failureMode = StoreFailureMode.REFUSES
        write().shouldBeInstanceOf<Verdict.NotRun>()
        val callCountBefore = peerStore.callCount
        write().shouldBeInstanceOf<Verdict.NotRun>()
        peerStore.callCount shouldBe callCountBefore
    }

    @Test
    fun `while the store is silent to this machine, no call of a caller tests the direct way`() {
        localStore.failureMode = StoreFailureMode.SILENT
        write()
        repeat(5) { number ->
            nowMillis += 600
            write(Revision(number.toLong())).shouldBeInstanceOf<Verdict.Ran<TransactionOutcome>>()
        }
        peerStore.rows.getValue(row).revision shouldBe Revision(5)
    }

    @Test
    fun `a peer to which the store is silent declines at once, and the call goes to another peer`() {
        val silentStore = MemoryRowStore().apply { failureMode = StoreFailureMode.SILENT }
        val silentPeer = startPeerOf(silentStore)
        localStore.failureMode = StoreFailureMode.REFUSES
        store = storeWithPeers(silentPeer)
        write().shouldBeInstanceOf<Verdict.MayHaveRun>()
        store = storeWithPeers(silentPeer, startPeerOf(peerStore))
        write().shouldBeInstanceOf<Verdict.Ran<TransactionOutcome>>()
        silentStore.rows.size shouldBe 0
        peerStore.rows.size shouldBe 1
    }

    @Test
    fun `an answer of a peer that can't be read counts as possibly run, and an unreadable call is refused`() {
        localStore.failureMode = StoreFailureMode.REFUSES
        store = storeWithPeers(startServer { _, reply -> reply(ServedAnswer(200, "{\"rows\":7".encodeToByteArray())) })
        write().shouldBeInstanceOf<Verdict.MayHaveRun>()
        val answer = CompletableFuture<ServedAnswer>()
        val request = ServedRequest("POST", RelayedRowStore.PATH, "", "{}".encodeToByteArray()) { emptyList() }
        store.handle(request) { answer.complete(it) }
        answer.get(10, TimeUnit.SECONDS).status shouldBe 400
    }

    @Test
    fun `a relayed write whose answer was lost is reported as possibly run`() {
        localStore.failureMode = StoreFailureMode.REFUSES
        peerStore.failureMode = StoreFailureMode.ANSWER_LOST
        write().shouldBeInstanceOf<Verdict.MayHaveRun>()
        peerStore.rows.size shouldBe 1
    }

    @Test
    fun `the store counts as unreachable after a second without a direct or relayed answer`() {
        write()
        localStore.failureMode = StoreFailureMode.REFUSES
        peerStore.failureMode = StoreFailureMode.REFUSES
        nowMillis += 600
        write(Revision(1))
        store.isUnreachable(nowMillis) shouldBe false
        nowMillis += 500
        write(Revision(1))
        store.isUnreachable(nowMillis) shouldBe true
        peerStore.failureMode = StoreFailureMode.NONE
        nowMillis += 500
        write()
        store.isUnreachable(nowMillis) shouldBe false
    }

    private fun poll(): Verdict<RowChanges> =
        awaitVerdict { store.awaitChanges("jobs", Revision.ABSENT, 0, CALL_TIMEOUT_MILLIS, it) }

    /** A store whose long polls end with [verdict], or never if that is null. */
    private fun storeWithPolls(memory: MemoryRowStore, verdict: Verdict<RowChanges>?) = object : RowStore by memory {
        override fun awaitChanges(
            table: String,
            after: Revision,
            waitMillis: Long,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<RowChanges>,
        ) {
            verdict?.let(onVerdict)
        }
    }

    // Guards against: each further poll hangs on the way on which the first one hangs.
    @Test
    fun `a long poll beside an open one of the same table takes another way`() {
        val hangingPeer = startServer { _, _ -> }
        val peer = startPeerOf(peerStore)
        val direct = storeWithPolls(localStore, null)
        val peers = ArrayList(listOf(hangingPeer))
        store = RelayedRowStore(direct, client, { peers }, { nowMillis }) { loop.execute(it) }
        repeat(2) { store.awaitChanges("jobs", Revision.ABSENT, 0, CALL_TIMEOUT_MILLIS) { } }
        peers += peer
        repeat(5) { number ->
            nowMillis = number.toLong()
            poll().shouldBeInstanceOf<Verdict.Ran<RowChanges>>()
        }
        peerStore.callCount shouldBe 5
        write().shouldBeInstanceOf<Verdict.Ran<TransactionOutcome>>()
        localStore.rows.size shouldBe 1
    }

    // Guards against: polls that hang for all nodes make each node that relays one take its own way for lost.
    @Test
    fun `a node at which a relayed poll fails goes on relaying other calls`() {
        val timeout = Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer in time"))
        val relay = RelayedRowStore(storeWithPolls(peerStore, timeout), client, { emptyList() }, { nowMillis }) {
            loop.execute(it)
        }
        store = storeWithPeers(startServer(relay::handle))
        localStore.failureMode = StoreFailureMode.REFUSES
        poll().shouldBeInstanceOf<Verdict.MayHaveRun>()
        write().shouldBeInstanceOf<Verdict.Ran<TransactionOutcome>>()
        peerStore.rows.size shouldBe 1
    }

    // Guards against: an outage of the store can't be told from a process that made no calls.
    @Test
    fun `the last answer and the sending of the last failed call are known`() {
        nowMillis = 50
        write()
        store.lastAnswerMillis shouldBe 50
        store.failedCallSentMillis shouldBe null
        nowMillis = 100
        localStore.failureMode = StoreFailureMode.SILENT
        write()
        store.lastAnswerMillis shouldBe 50
        store.failedCallSentMillis shouldBe 100
    }

    // Guards against: one long poll without an answer makes a holder that reaches the store hand its lease over.
    @Test
    fun `a long poll without an answer counts against the direct way only if no later direct call was answered`() {
        val polls = ArrayList<(Verdict<RowChanges>) -> Unit>()
        val direct = object : RowStore by localStore {
            override fun awaitChanges(
                table: String,
                after: Revision,
                waitMillis: Long,
                timeoutMillis: Long,
                onVerdict: VerdictCallback<RowChanges>,
            ) {
                polls += onVerdict
            }
        }
        val peer = startPeerOf(peerStore)
        store = RelayedRowStore(direct, client, { listOf(peer) }, { nowMillis }) { loop.execute(it) }
        val timeout = Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer in time"))
        for (isAnsweredMeanwhile in listOf(true, false)) {
            nowMillis += 10_000
            localStore.failureMode = if (isAnsweredMeanwhile) StoreFailureMode.NONE else StoreFailureMode.SILENT
            val polled = CompletableFuture<Verdict<RowChanges>>()
            store.awaitChanges("jobs", Revision.ABSENT, 0, CALL_TIMEOUT_MILLIS) { polled.complete(it) }
            nowMillis += 1_900
            if (isAnsweredMeanwhile) write()
            nowMillis += 100
            loop.execute { polls.last()(timeout) }
            polled.get(10, TimeUnit.SECONDS)
            nowMillis += 310
            awaitVerdict<RowPage> { store.read("jobs", "p", null, 5, CALL_TIMEOUT_MILLIS, it) }
            store.isReachedOnlyThroughPeers(nowMillis) shouldBe !isAnsweredMeanwhile
        }
    }
}
