// Calls the administration API at a list of servers. The next server is asked only where that cannot carry a change out
// twice: after a not-run verdict, or since a repeat carries the same operation id.

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

/** Where and how calls are made. An empty [token] sends none; an empty [authorityFile] makes calls without TLS. */
internal data class ClientOptions(
    val servers: List<HostAndPort>,
    val token: String,
    val timeoutMillis: Long,
    val authorityFile: String = "",
)

/** Client of the administration API. */
internal class AdminClient(private val options: ClientOptions) {
    /** Makes one call with a deadline at each server that it asks. Every mutation must carry an operation id. */
    fun <T> call(kind: CallKind, send: (AdminBlockingStub) -> T): CallResult<T> =
        callEach(kind) { stub -> send(stub.withDeadlineAfter(options.timeoutMillis, TimeUnit.MILLISECONDS)) }

    /** Makes one call without a deadline; keep-alive tells a connection that went silent. */
    fun <T> listen(send: (AdminBlockingStub) -> T): CallResult<T> = callEach(CallKind.READ, send)

    private fun <T> callEach(kind: CallKind, send: (AdminBlockingStub) -> T): CallResult<T> {
        val attempts = mutableListOf<String>()
        var mayHaveRun = false
        for (server in options.servers) {
            val place = "${server.host}:${server.port}"
            when (val attempt = attempt(server, send)) {
                is Attempt.Answered -> return CallResult.Answered(attempt.value)

                // An earlier attempt may still take effect, so this rejection does not settle the matter.
                is Attempt.Rejected -> {
                    if (!mayHaveRun) return CallResult.Rejected(attempt.error)
                    attempts += "$place: ${attempt.error.message}"
                }

                is Attempt.NotRun -> attempts += "$place: not run: ${attempt.reason}"

                is Attempt.MayHaveRun -> {
                    mayHaveRun = kind == CallKind.MUTATION
                    attempts += "$place: ${attempt.reason}"
                }
            }
        }
        return CallResult.Unanswered(mayHaveRun, attempts)
    }

    private fun <T> attempt(server: HostAndPort, send: (AdminBlockingStub) -> T): Attempt<T> {
        val channel = open(server)
        val tracker = SendTracker()
        return try {
            Attempt.Answered(send(stub(channel, tracker)))
        } catch (e: StatusRuntimeException) {
            classify(e, tracker.mayHaveSent)
        } finally {
            channel.shutdownNow()
        }
    }

    private fun stub(channel: ManagedChannel, tracker: SendTracker): AdminBlockingStub {
        val headers = Metadata()
        if (options.token.isNotEmpty()) headers.put(AUTHORIZATION, "Bearer ${options.token}")
        return AdminGrpc
            .newBlockingStub(channel)
            .withInterceptors(MetadataUtils.newAttachHeadersInterceptor(headers), tracker.interceptor())
    }

    private fun open(server: HostAndPort): ManagedChannel = secured(
        NettyChannelBuilder.forAddress(InetSocketAddress(server.host, server.port)),
    )
        .disableRetry()
        .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
        .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .maxInboundMessageSize(MAX_ANSWER_BYTES)
        .build()

    private fun secured(builder: NettyChannelBuilder): NettyChannelBuilder {
        if (options.authorityFile.isEmpty()) return builder.usePlaintext()
        val context = GrpcSslContexts.forClient().trustManager(File(options.authorityFile)).build()
        return builder.sslContext(context)
    }
}
