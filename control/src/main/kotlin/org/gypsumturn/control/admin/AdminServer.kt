// The gRPC server of the administration API. It uses TLS if the settings name a certificate.

package org.gypsumturn.control.admin

import io.grpc.ServerServiceDefinition
import io.grpc.netty.GrpcSslContexts
import io.grpc.netty.NettyServerBuilder
import org.gypsumturn.control.ControlSettings
import org.gypsumturn.runtime.settings.Settings
import java.io.File
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** A running administration server. Closing it waits up to 2 s for running calls to end, then cancels them. */
internal class AdminServer private constructor(private val server: io.grpc.Server) : AutoCloseable {
    override fun close() {
        server.shutdown()
        if (!server.awaitTermination(CLOSE_WAIT_MILLIS, TimeUnit.MILLISECONDS)) server.shutdownNow()
    }

    companion object {
        private const val CLOSE_WAIT_MILLIS = 2_000L
        private const val CALL_THREADS = 4

        fun open(settings: Settings, service: ServerServiceDefinition): AdminServer {
            val address = settings[ControlSettings.adminAddress]
            val builder =
                NettyServerBuilder
                    .forAddress(InetSocketAddress(address.host, address.port))
                    .addService(service)
                    .executor(Executors.newFixedThreadPool(CALL_THREADS))
            val certificate = settings[ControlSettings.certificateFile]
            if (certificate.isNotEmpty()) {
                val key = File(settings[ControlSettings.keyFile])
                builder.sslContext(GrpcSslContexts.forServer(File(certificate), key).build())
            }
            return AdminServer(builder.build().start())
        }
    }
}
