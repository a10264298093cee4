// Sends signals to a real node process that has not started completely.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import java.io.File
import java.net.ServerSocket
import java.util.concurrent.TimeUnit

class NodeStartTest : AnnotationSpec() {
    private val started = ArrayList<Process>()

    @AfterEach
    fun stopProcesses() {
        started.forEach { it.destroyForcibly().waitFor(10, TimeUnit.SECONDS) }
        started.clear()
    }

    // Guards against: a settings file that changes while nodes start ends them, and the reload is lost.
    @Test
    fun `a reload that is requested while the settings are read does not end the process`() {
        val node = startNode()
        node.awaitLine("org.gypsumturn.node.NodeSettings ")
        node.signal("HUP")
        node.awaitLine("settings reloaded")
        node.process.isAlive shouldBe true
    }

    // Guards against: a node that is stopped while it starts ends without answering the requests that it has read.
    @Test
    fun `a termination during the start shuts the node down gracefully`() {
        val node = startNode()
        node.awaitLine("\"message\":\"start\"")
        node.signal("TERM")
        node.process.waitFor(30, TimeUnit.SECONDS) shouldBe true
        node.messages() shouldContain "stopped"
    }

    private class StartedNode(val process: Process, private val output: File) {
        fun awaitLine(part: String) {
            val endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30)
            while (part !in output.readText() && process.isAlive && System.nanoTime() < endNanos) Thread.sleep(1)
            check(part in output.readText()) { "no line with $part, and the process is alive: ${process.isAlive}" }
        }

        fun signal(name: String) {
            ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor()
        }

        /** The messages of the log so far. */
        fun messages(): List<String> =
            output.readLines().map { it.substringAfter("\"message\":\"", "").substringBefore('"') }
    }

    /** Starts a node that logs the classes that it loads, so that tests can tell how far it is. */
    private fun startNode(): StartedNode {
        val settings = File.createTempFile("node", ".ini").apply { deleteOnExit() }
        val output = File.createTempFile("node", ".log").apply { deleteOnExit() }
        settings.writeText(
            """
            [node]
            name = n0
            data_centre = a
            host = 127.0.0.1
            peer_port = ${freePort()}
            metrics_port = ${freePort()}
            caller_address = 127.0.0.1:${freePort()}
            ready_address = 127.0.0.1:${freePort()}

            [platform]
            store_address = 127.0.0.1:${freePort()}
            """.trimIndent(),
        )
        val java = File(System.getProperty("java.home"), "bin/java").path
        val options = listOf("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xlog:class+load:stdout")
        val program = listOf("-cp", System.getProperty("java.class.path"), "org.gypsumturn.node.MainKt")
        val process = ProcessBuilder(listOf(java) + options + program + listOf("--config", settings.path))
            .redirectErrorStream(true).redirectOutput(output).start()
        started += process
        return StartedNode(process, output)
    }

    private fun freePort() = ServerSocket(0).use { it.localPort }
}
