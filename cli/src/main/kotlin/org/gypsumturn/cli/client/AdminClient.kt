// Calls the administration API at a list of servers, one after the other, until one gives a conclusive answer. Trying
// the next server cannot carry out a change twice: either the change did not run at the server before, or the repeat
// carries the same operation id.

package org.gypsumturn.cli.client

import io.grpc.ManagedChannel
import io.grpc.Metadata
import io.grpc.StatusRuntimeException
import io.grpc.netty.GrpcSslContexts
import io.grpc.netty.NettyChannelBuilder
import io.grpc.stub.MetadataUtils
import org.gypsumturn.ports.grpc.SendTracker
import org.gypsumturn.runtime.settings.HostAndPort
import org.gypsumturn.schema.admin.AdminGrpc
import org.gypsumturn.schema.admin.AdminGrpc.AdminBlockingStub
import java.io.File
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

private const val KEEP_ALIVE_SECONDS = 10L
private const val KEEP_ALIVE_TIMEOUT_SECONDS = 5L
private const val MAX_ANSWER_BYTES = 32 * 1_048_576
private val AUTHORIZATION: Metadata.Key<String> =
    Metadata.Key.of("authorization", Metadata.ASCII_STRING_MARSHALLER)

/**
 * Options of an [AdminClient].
 *
 * @property servers control processes, tried in this order
 * @property token bearer token of each call; empty: none is sent
 * @property timeoutMillis deadline of a call at each server
 * @property caCertificateFile PEM file with the CA certificates that servers are verified against; empty: no TLS
 */
internal data class ClientOptions(
    val servers: List<HostAndPort>,
    val token: String,
    val timeoutMillis: Long,
    val caCertificateFile: String = "",
)

/** Client of the administration API. Every call opens a connection of its own. */
internal class AdminClient(private val options: ClientOptions) {
    /** Makes a call; each server that is tried gets the whole timeout. Every mutation must carry an operation id. */
    fun <T> call(kind: CallKind, send: (AdminBlockingStub) -> T): CallResult<T> =
        callServersInOrder(kind) { stub -> send(stub.withDeadlineAfter(options.timeoutMillis, TimeUnit.MILLISECONDS)) }

    /** Makes a read call without a deadline. It fails if the connection stops answering keep-alive pings. */
    fun <T> callWithoutDeadline(send: (AdminBlockingStub) -> T): CallResult<T> = callServersInOrder(CallKind.READ, send)

    private fun <T> callServersInOrder(kind: CallKind, send: (AdminBlockingStub) -> T): CallResult<T> {
        val attempts = mutableListOf<String>()
        var mayHaveRun = false
        for (server in options.servers) {
            val serverAddress = "${server.host}:${server.port}"
            when (val outcome = callServer(server, send)) {
                is AttemptOutcome.Answered -> return CallResult.Answered(outcome.value)

                // This rejection says nothing about an earlier attempt that may still take effect.
                is AttemptOutcome.Rejected -> {
                    if (!mayHaveRun) return CallResult.Rejected(outcome.error)
                    attempts += "$serverAddress: ${outcome.error.message}"
                }

                is AttemptOutcome.NotRun -> attempts += "$serverAddress: not run: ${outcome.reason}"

                is AttemptOutcome.MayHaveRun -> {
                    mayHaveRun = kind == CallKind.MUTATION
                    attempts += "$serverAddress: ${outcome.reason}"
                }
            }
        }
        return CallResult.Unanswered(mayHaveRun, attempts)
    }

    private fun <T> callServer(server: HostAndPort, send: (AdminBlockingStub) -> T): AttemptOutcome<T> {
        val channel = open(server)
        val tracker = SendTracker()
        return try {
            AttemptOutcome.Answered(send(newStub(channel, tracker)))
        } catch (e: StatusRuntimeException) {
            classifyFailure(e, tracker.mayHaveSent)
        } finally {
            channel.shutdownNow()
        }
    }

    private fun newStub(channel: ManagedChannel, tracker: SendTracker): AdminBlockingStub {
        val headers = Metadata()
        if (options.token.isNotEmpty()) headers.put(AUTHORIZATION, "Bearer ${options.token}")
        return AdminGrpc
            .newBlockingStub(channel)
            .withInterceptors(MetadataUtils.newAttachHeadersInterceptor(headers), tracker.interceptor())
    }

    private fun open(server: HostAndPort): ManagedChannel = configureTls(
        NettyChannelBuilder.forAddress(InetSocketAddress(server.host, server.port)),
    )
        .disableRetry()
        .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
        .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .maxInboundMessageSize(MAX_ANSWER_BYTES)
        .build()

    private fun configureTls(builder: NettyChannelBuilder): NettyChannelBuilder {
        if (options.caCertificateFile.isEmpty()) return builder.usePlaintext()
        val context = GrpcSslContexts.forClient().trustManager(File(options.caCertificateFile)).build()
        return builder.sslContext(context)
    }
}
