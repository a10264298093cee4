// Tells whether a gRPC call can have reached the other side. A call that was never handed to a connection was certainly
// not run, whatever its status says.

package org.gypsumturn.ports.grpc

import io.grpc.CallOptions
import io.grpc.Channel
import io.grpc.ClientCall
import io.grpc.ClientInterceptor
import io.grpc.ClientStreamTracer
import io.grpc.Metadata
import io.grpc.MethodDescriptor

/** Notes whether any part of one call was handed to a connection. Make a new one for each call. */
public class SendTracker {
    /** Whether the call's headers, at least, may have been sent. */
    @Volatile
    public var mayHaveSent: Boolean = false
        private set

    private val factory =
        object : ClientStreamTracer.Factory() {
            override fun newClientStreamTracer(info: ClientStreamTracer.StreamInfo, headers: Metadata) =
                object : ClientStreamTracer() {
                    override fun outboundHeaders() {
                        mayHaveSent = true
                    }
                }
        }

    /** The interceptor through which the call must go. */
    public fun interceptor(): ClientInterceptor = object : ClientInterceptor {
        override fun <Q, A> interceptCall(
            method: MethodDescriptor<Q, A>,
            options: CallOptions,
            next: Channel,
        ): ClientCall<Q, A> = next.newCall(method, options.withStreamTracerFactory(factory))
    }
}
