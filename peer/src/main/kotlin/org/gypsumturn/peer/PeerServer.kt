// The gRPC server that answers the calls of other nodes.

package org.gypsumturn.peer

import io.grpc.BindableService
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.StreamObserver
import org.gypsumturn.runtime.settings.HostAndPort
import org.gypsumturn.schema.peer.ExchangeReply
import org.gypsumturn.schema.peer.ExchangeRequest
import org.gypsumturn.schema.peer.PeerGrpc
import org.gypsumturn.schema.peer.ShareSlotsReply
import org.gypsumturn.schema.peer.ShareSlotsRequest
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Answers the calls of other nodes. [onExchange] and [onShareSlots] must be thread-safe and must not block. */
public class PeerService(
    private val onExchange: (ExchangeRequest) -> ExchangeReply,
    private val onShareSlots: (ShareSlotsRequest) -> ShareSlotsReply = { ShareSlotsReply.getDefaultInstance() },
) : PeerGrpc.PeerImplBase() {
    override fun exchange(request: ExchangeRequest, responseObserver: StreamObserver<ExchangeReply>) {
        responseObserver.onNext(onExchange(request))
        responseObserver.onCompleted()
    }

    override fun shareSlots(request: ShareSlotsRequest, responseObserver: StreamObserver<ShareSlotsReply>) {
        responseObserver.onNext(onShareSlots(request))
        responseObserver.onCompleted()
    }
}

/** A running gRPC server. Closing it waits up to 2 s for running calls to end, then cancels them. */
public class GrpcServer private constructor(private val server: io.grpc.Server) : AutoCloseable {
    /** The TCP port that the server listens on. */
    public val port: Int get() = server.port

    override fun close() {
        server.shutdown()
        if (!server.awaitTermination(CLOSE_WAIT_MILLIS, TimeUnit.MILLISECONDS)) server.shutdownNow()
    }

    public companion object {
        private const val CLOSE_WAIT_MILLIS = 2_000L

        /** Listens on [address] and serves [services]; port 0 selects any free port. Throws IOException on failure. */
        public fun open(address: HostAndPort, services: List<BindableService>): GrpcServer {
            val builder = NettyServerBuilder.forAddress(InetSocketAddress(address.host, address.port))
            services.forEach { builder.addService(it) }
            return GrpcServer(builder.build().start())
        }
    }
}
