// Checks on which thread the answers to queries arrive.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.QueueId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.transport.HttpClient
import org.gypsumturn.transport.HttpClientLimits
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

class PeerCallsThreadTest : AnnotationSpec() {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()

    @AfterAll
    fun stopEventLoop() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    /** Replies on a thread of its own, as the control thread does. */
    private val local = object : LocalHolderQueries {
        override fun queryJobState(id: JobId, reply: (HolderAnswer?) -> Unit) {
            thread { reply(HolderAnswer.NoJob()) }
        }

        override fun countPendingJobs(queue: QueueId, reply: (Int?) -> Unit) {
            thread { reply(1) }
        }

        override fun applyCancellation(notice: CancellationNotice) = Unit
    }

    // Guards against: on the node that holds the lease, cancellations go to the committer of jobs on the control thread
    // while submissions do on the event loop, so that a request is lost or never answered.
    @Test
    fun `answers of this process as the holder arrive on the event loop`() {
        val client = HttpClient(loop, HttpClientLimits(1, 500, 1_000, 1_000))
        val peers = PeerCalls(client, local, { HolderAddress.Self }) { action -> loop.execute(action) }
        val queue = Queue(QueueId("q"), "h", "/q/", PoolId("p"), 0, 1, 1.0, 0, 3_000, null)
        val isOnLoop = List(2) { CompletableFuture<Boolean>() }
        loop.execute {
            peers.queryState(JobId("00c0ffee00c0ffee"), 1_000) { isOnLoop[0].complete(loop.inEventLoop()) }
            peers.countPending(queue, 1_000) { isOnLoop[1].complete(loop.inEventLoop()) }
        }
        isOnLoop.map { it.get(10, TimeUnit.SECONDS) } shouldBe listOf(true, true)
    }
}
