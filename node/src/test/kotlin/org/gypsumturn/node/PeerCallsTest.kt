// Tests of notices between nodes, with a real HTTP server and client in this process.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.gypsumturn.batch.model.QueueId
import org.gypsumturn.batch.state.CancellationCaller
import org.gypsumturn.batch.state.StoredCancellation
import org.gypsumturn.model.JobId
import org.gypsumturn.model.WorkspaceId
import org.gypsumturn.transport.Endpoint
import org.gypsumturn.transport.HttpClient
import org.gypsumturn.transport.HttpClientLimits
import org.gypsumturn.transport.HttpServer
import org.gypsumturn.transport.HttpStatus
import org.gypsumturn.transport.ServedAnswer
import org.gypsumturn.transport.ServedRequest
import java.net.ServerSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

class PeerCallsTest : AnnotationSpec() {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop: EventLoop = group.next()
    private val client = HttpClient(loop, HttpClientLimits(4, 300, 5_000, 1_000_000))
    private val notice = CancellationNotice(
        JobId("00c0ffee00c0ffee"),
        "jobs-3",
        StoredCancellation(CancellationCaller("h/q/", WorkspaceId("w"))),
    )

    private class LocalHolder : LocalHolderQueries {
        val notices = LinkedBlockingQueue<CancellationNotice>()

        override fun queryJobState(id: JobId, reply: (HolderAnswer?) -> Unit) = reply(null)

        override fun countPendingJobs(queue: QueueId, reply: (Int?) -> Unit) = reply(null)

        override fun applyCancellation(notice: CancellationNotice) {
            notices += notice
        }
    }

    private fun startServer(handler: (ServedRequest, (ServedAnswer) -> Unit) -> Unit): Endpoint {
        val endpoint = Endpoint("127.0.0.1", ServerSocket(0).use { it.localPort })
        HttpServer(loop, endpoint, 1_000_000, handler).start()
        return endpoint
    }

    private fun callsTo(address: HolderAddress, local: LocalHolder = LocalHolder()) =
        PeerCalls(client, local, { address }) { action -> loop.execute(action) }

    @AfterAll
    fun stopEventLoop() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    // Guards against: a stored cancellation does not reach the holder, or reaches it as that of another caller.
    @Test
    fun `a notice reaches the holder with its content, in another process and in this one`() {
        val holder = LocalHolder()
        val endpoint = startServer(callsTo(HolderAddress.Self, holder)::handle)
        loop.execute { callsTo(HolderAddress.Peer(endpoint)).notifyHolder(notice) }
        holder.notices.poll(9, TimeUnit.SECONDS) shouldBe notice
        loop.execute { callsTo(HolderAddress.Self, holder).notifyHolder(notice) }
        holder.notices.poll(9, TimeUnit.SECONDS) shouldBe notice
    }

    // Guards against: notices to a holder that is silent pile up.
    @Test
    fun `notices to a holder that does not answer are dropped beyond a bound`() {
        val requests = LinkedBlockingQueue<ServedRequest>()
        val endpoint = startServer { request, _ -> requests += request }
        val calls = callsTo(HolderAddress.Peer(endpoint))
        loop.submit { repeat(1_000) { calls.notifyHolder(notice) } }.get(9, TimeUnit.SECONDS)
        // More than the longest time for which a notice is open.
        TimeUnit.MILLISECONDS.sleep(1_000)
        requests.size shouldBeLessThan 65
        loop.submit { calls.notifyHolder(notice) }.get(9, TimeUnit.SECONDS)
        val sizeBefore = requests.size
        TimeUnit.MILLISECONDS.sleep(200)
        requests.size shouldBe sizeBefore + 1
    }

    // Guards against: a malformed notice ends the handler without an answer.
    @Test
    fun `a malformed notice is rejected`() {
        val holder = LocalHolder()
        val statuses = ArrayList<Int>()
        listOf("", "{}", "{\"job\":7}").forEach { text ->
            val request = ServedRequest("POST", "/cancellations", "", text.encodeToByteArray()) { emptyList() }
            callsTo(HolderAddress.Self, holder).handle(request) { statuses += it.status }
        }
        statuses shouldBe List(3) { HttpStatus.BAD_REQUEST }
        holder.notices.size shouldBe 0
    }
}
