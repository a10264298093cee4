// TCP proxy for tests. It can make its open connections silent: it then drops all bytes in both directions and closes
// neither side, as a firewall that has dropped the state of a connection does.

package org.gypsumturn.ports.grpc

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

internal class SilentProxy(private val host: InetAddress, private val targetPort: Int) : AutoCloseable {
    private class ProxiedConnection(val client: Socket, val server: Socket, @Volatile var silent: Boolean = false)

    private val listener = ServerSocket(0, 50, host)
    private val connections = CopyOnWriteArrayList<ProxiedConnection>()

    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true, name = "proxy-accept") { acceptConnections() }
    }

    fun silenceOpenConnections() {
        connections.forEach { it.silent = true }
    }

    override fun close() {
        listener.close()
        connections.forEach {
            it.client.close()
            it.server.close()
        }
    }

    private fun acceptConnections() {
        try {
            while (true) {
                val connection = ProxiedConnection(listener.accept(), Socket(host, targetPort))
                connections += connection
                thread(isDaemon = true) { forward(connection, connection.client, connection.server) }
                thread(isDaemon = true) { forward(connection, connection.server, connection.client) }
            }
        } catch (e: IOException) {
            return
        }
    }

    private fun forward(connection: ProxiedConnection, from: Socket, to: Socket) {
        val buffer = ByteArray(8_192)
        try {
            while (true) {
                val byteCount = from.getInputStream().read(buffer)
                if (byteCount < 0) return
                if (!connection.silent) to.getOutputStream().write(buffer, 0, byteCount)
            }
        } catch (e: IOException) {
            return
        }
    }
}
