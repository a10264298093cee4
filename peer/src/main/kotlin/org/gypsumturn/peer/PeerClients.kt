// gRPC channels to other nodes. Calls do not block; an answer or a failure is handed to a function.

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

/** Channels to other nodes, opened on first use. A channel on which a call timed out is replaced. Thread-safe. */
public class PeerClients(private val timeoutMillis: Long) : AutoCloseable {
    private val channels = ConcurrentHashMap<Address, ManagedChannel>()

    /** Asks the node at [address] for its view; [onEnd] gets the reply, or null if there is none. */
    public fun exchange(address: Address, request: ExchangeRequest, onEnd: (ExchangeReply?) -> Unit) {
        call(address, onEnd) { stub -> stub.exchange(request) }
    }

    /** Tells the node at [address] this node's use of slots; [onEnd] gets the reply, or null if there is none. */
    public fun shareSlots(address: Address, request: ShareSlotsRequest, onEnd: (ShareSlotsReply?) -> Unit) {
        call(address, onEnd) { stub -> stub.shareSlots(request) }
    }

    /** Closes the channels to all nodes but those at [addresses]. */
    public fun retain(addresses: Set<Address>) {
        channels.keys.filter { it !in addresses }.forEach { channels.remove(it)?.shutdownNow() }
    }

    override fun close() {
        channels.values.forEach { it.shutdownNow() }
        channels.clear()
    }

    private fun <R> call(
        address: Address,
        onEnd: (R?) -> Unit,
        start: (PeerGrpc.PeerFutureStub) -> ListenableFuture<R>,
    ) {
        val channel = channels.computeIfAbsent(address, ::open)
        val stub = PeerGrpc.newFutureStub(channel).withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)
        val callback =
            object : FutureCallback<R> {
                override fun onSuccess(result: R) {
                    onEnd(result)
                }

                override fun onFailure(t: Throwable) {
                    // A connection may be silent for good; the next call opens another one.
                    if (channels.remove(address, channel)) channel.shutdown()
                    onEnd(null)
                }
            }
        Futures.addCallback(start(stub), callback, MoreExecutors.directExecutor())
    }

    private fun open(address: Address): ManagedChannel =
        NettyChannelBuilder.forAddress(address.host, address.port).usePlaintext().directExecutor().build()
}
