// A TCP proxy for tests that can lose track of its open connections: bytes vanish, and no end learns of it.

package org.gypsumturn.ports.grpc

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

internal class SilentProxy(private val host: InetAddress, private val targetPort: Int) : AutoCloseable {
    private class Link(val near: Socket, val far: Socket, @Volatile var silent: Boolean = false)

    private val listener = ServerSocket(0, 50, host)
    private val links = CopyOnWriteArrayList<Link>()

    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true, name = "proxy-accept") { accept() }
    }

    fun silenceOpenConnections() {
        links.forEach { it.silent = true }
    }

    override fun close() {
        listener.close()
        links.forEach {
            it.near.close()
            it.far.close()
        }
    }

    private fun accept() {
        try {
            while (true) {
                val link = Link(listener.accept(), Socket(host, targetPort))
                links += link
                thread(isDaemon = true) { copy(link, link.near, link.far) }
                thread(isDaemon = true) { copy(link, link.far, link.near) }
            }
        } catch (e: IOException) {
            return
        }
    }

    private fun copy(link: Link, from: Socket, to: Socket) {
        val buffer = ByteArray(8_192)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) return
                if (!link.silent) to.getOutputStream().write(buffer, 0, count)
            }
        } catch (e: IOException) {
            return
        }
    }
}
