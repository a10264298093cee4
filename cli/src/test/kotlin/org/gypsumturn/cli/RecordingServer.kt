// Administration server for tests. It records every call and reacts to it as the test specifies.

package org.gypsumturn.cli

import com.google.protobuf.Message
import io.grpc.Metadata
import io.grpc.MethodDescriptor
import io.grpc.Server
import io.grpc.ServerCall
import io.grpc.ServerServiceDefinition
import io.grpc.Status
import io.grpc.netty.NettyServerBuilder
import org.gypsumturn.schema.admin.AdminError
import org.gypsumturn.schema.admin.AdminGrpc
import org.gypsumturn.schema.admin.ErrorCode
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList

internal class RecordedCall(val method: String, val request: Message, val authorization: String?)

/** How the server ends a call. */
internal sealed interface Reaction {
    /** Sends [messages] and ends the call without an error. */
    data class Answer(val messages: List<Message>) : Reaction

    /** Ends the call with the typed [error] in the trailers. */
    data class Reject(val error: AdminError) : Reaction

    /** Ends the call with the status UNAVAILABLE and no typed error, so the client cannot know whether it ran. */
    data object FailUnavailable : Reaction
}

internal fun rejection(code: ErrorCode, message: String, revision: Long = 0) =
    Reaction.Reject(AdminError.newBuilder().setCode(code).setMessage(message).setCurrentRevision(revision).build())

internal class RecordingServer(private val reactionTo: (RecordedCall) -> Reaction) : AutoCloseable {
    val calls = CopyOnWriteArrayList<RecordedCall>()
    private val server: Server = NettyServerBuilder
        .forAddress(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .addService(serviceDefinition())
        .build()
        .start()

    val address get() = "127.0.0.1:${server.port}"

    override fun close() {
        server.shutdownNow()
    }

    @Suppress("UNCHECKED_CAST")
    private fun serviceDefinition(): ServerServiceDefinition {
        val builder = ServerServiceDefinition.builder(AdminGrpc.getServiceDescriptor())
        AdminGrpc.getServiceDescriptor().methods.forEach { method ->
            builder.addMethod(method as MethodDescriptor<Message, Message>) { call, headers -> handle(call, headers) }
        }
        return builder.build()
    }

    private fun handle(call: ServerCall<Message, Message>, headers: Metadata): ServerCall.Listener<Message> {
        call.request(1)
        return object : ServerCall.Listener<Message>() {
            override fun onMessage(message: Message) {
                val authorization = headers.get(Metadata.Key.of("authorization", Metadata.ASCII_STRING_MARSHALLER))
                val recorded = RecordedCall(call.methodDescriptor.bareMethodName!!, message, authorization)
                calls += recorded
                endCall(call, reactionTo(recorded))
            }
        }
    }

    private fun endCall(call: ServerCall<Message, Message>, reaction: Reaction) {
        val trailers = Metadata()
        when (reaction) {
            is Reaction.Answer -> {
                call.sendHeaders(Metadata())
                reaction.messages.forEach(call::sendMessage)
                call.close(Status.OK, trailers)
            }

            is Reaction.Reject -> {
                val key = Metadata.Key.of("gypsumturn-error-bin", Metadata.BINARY_BYTE_MARSHALLER)
                trailers.put(key, reaction.error.toByteArray())
                call.close(Status.ABORTED, trailers)
            }

            Reaction.FailUnavailable -> call.close(Status.UNAVAILABLE.withDescription("call failed by test"), trailers)
        }
    }
}
