// gRPC clients of other nodes. Calls do not block; a callback gets the reply.

package org.gypsumturn.peer

import com.google.common.util.concurrent.FutureCallback
import com.google.common.util.concurrent.Futures
import com.google.common.util.concurrent.ListenableFuture
import com.google.common.util.concurrent.MoreExecutors
import io.grpc.ManagedChannel
import io.grpc.netty.NettyChannelBuilder
import org.gypsumturn.model.Address
import org.gypsumturn.schema.peer.ExchangeReply
import org.gypsumturn.schema.peer.ExchangeRequest
import org.gypsumturn.schema.peer.PeerGrpc
import org.gypsumturn.schema.peer.ShareSlotsReply
import org.gypsumturn.schema.peer.ShareSlotsRequest
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * gRPC channels to other nodes, opened on first use. A channel on which a call failed is replaced. Thread-safe.
 *
 * @param timeoutMillis deadline of each call, in milliseconds
 */
public class PeerClients(private val timeoutMillis: Long) : AutoCloseable {
    private val channels = ConcurrentHashMap<Address, ManagedChannel>()

    /**
     * Asks the node at [address] for its view. [onReply] is called on a thread of gRPC and must not block; it gets null
     * if the call failed.
     */
    public fun exchange(address: Address, request: ExchangeRequest, onReply: (ExchangeReply?) -> Unit) {
        call(address, onReply) { stub -> stub.exchange(request) }
    }

    /**
     * Reports this node's use of slots to the node at [address]. [onReply] is called on a thread of gRPC and must not
     * block; it gets null if the call failed.
     */
    public fun shareSlots(address: Address, request: ShareSlotsRequest, onReply: (ShareSlotsReply?) -> Unit) {
        call(address, onReply) { stub -> stub.shareSlots(request) }
    }

    /** Closes the channels to all nodes except those at [addresses]. */
    public fun retain(addresses: Set<Address>) {
        channels.keys.filter { it !in addresses }.forEach { channels.remove(it)?.shutdownNow() }
    }

    override fun close() {
        channels.values.forEach { it.shutdownNow() }
        channels.clear()
    }

    private fun <R> call(
        address: Address,
        onReply: (R?) -> Unit,
        start: (PeerGrpc.PeerFutureStub) -> ListenableFuture<R>,
    ) {
        val channel = channels.computeIfAbsent(address, ::open)
        val stub = PeerGrpc.newFutureStub(channel).withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)
        val callback =
            object : FutureCallback<R> {
                override fun onSuccess(result: R) {
                    onReply(result)
                }

                override fun onFailure(t: Throwable) {
                    // The connection may never answer again, so the next call opens a new one.
                    if (channels.remove(address, channel)) channel.shutdown()
                    onReply(null)
                }
            }
        Futures.addCallback(start(stub), callback, MoreExecutors.directExecutor())
    }

    private fun open(address: Address): ManagedChannel =
        NettyChannelBuilder.forAddress(address.host, address.port).usePlaintext().directExecutor().build()
}
