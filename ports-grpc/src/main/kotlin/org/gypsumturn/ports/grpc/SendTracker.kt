// Records whether a gRPC call may have reached the server. A call that was never handed to a connection has certainly
// not run, whatever its status.

package org.gypsumturn.ports.grpc

import io.grpc.CallOptions
import io.grpc.Channel
import io.grpc.ClientCall
import io.grpc.ClientInterceptor
import io.grpc.ClientStreamTracer
import io.grpc.Metadata
import io.grpc.MethodDescriptor

/** Records whether any part of a call was handed to a connection. Each call needs its own tracker. */
public class SendTracker {
    /** Whether at least the headers of the call may have been sent. */
    @Volatile
    public var mayHaveSent: Boolean = false
        private set

    private val tracerFactory =
        object : ClientStreamTracer.Factory() {
            override fun newClientStreamTracer(info: ClientStreamTracer.StreamInfo, headers: Metadata) =
                object : ClientStreamTracer() {
                    override fun outboundHeaders() {
                        mayHaveSent = true
                    }
                }
        }

    /** Interceptor to set on the stub that makes the call. */
    public fun interceptor(): ClientInterceptor = object : ClientInterceptor {
        override fun <Q, A> interceptCall(
            method: MethodDescriptor<Q, A>,
            options: CallOptions,
            next: Channel,
        ): ClientCall<Q, A> = next.newCall(method, options.withStreamTracerFactory(tracerFactory))
    }
}
