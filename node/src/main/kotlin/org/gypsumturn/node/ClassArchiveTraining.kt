// Entry point of the training run for the class data archive. The build runs it with -XX:ArchiveClassesAtExit, so that
// nodes map their classes from the archive instead of reading and verifying class files at each start.

package org.gypsumturn.node

import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.model.JobId
import org.gypsumturn.runtime.log.configureEventLogging
import org.gypsumturn.runtime.settings.SettingsResult
import java.io.File
import java.net.ServerSocket
import java.util.jar.JarFile
import kotlin.system.exitProcess

/** Starts and stops a node without a store, uses its codecs, and loads the other classes of the project. */
public fun main() {
    val file = File.createTempFile("training", ".ini").apply { deleteOnExit() }
    file.writeText(trainingSettings())
    val loaded = NodeSettings.schema.load(file)
    check(loaded is SettingsResult.Loaded) { "the settings of the training run are invalid: $loaded" }
    configureEventLogging()
    val program = NodeProgram(ReloadableSettings(NodeSettings.schema, file, loaded.settings))
    program.start()
    useCodecs()
    projectClassNames().forEach { Class.forName(it, false, NodeProgram::class.java.classLoader) }
    Thread.sleep(TRAINING_MILLIS)
    program.shutDown()
    exitProcess(0)
}

/** Settings of a node on free ports. Nothing listens at the address of its store. */
private fun trainingSettings(): String {
    val sockets = List(FREE_PORTS) { ServerSocket(0) }
    val ports = sockets.map { it.localPort }
    sockets.forEach { it.close() }
    return """
        [node]
        name = training
        data_centre = training
        host = 127.0.0.1
        peer_port = ${ports[0]}
        metrics_port = ${ports[1]}
        caller_address = 127.0.0.1:${ports[2]}
        ready_address = 127.0.0.1:${ports[3]}

        [platform]
        store_address = 127.0.0.1:${ports[4]}

        [limits]
        grace_seconds = 1
    """.trimIndent()
}

private fun useCodecs() {
    val step = Step(2, ResourceAmounts(1_000, 100, 0), 1_000, emptyList())
    JobRows.decode(JobRows.encode(BatchJob(JobId("0123456789abcdef"), "training.example", "/", "", listOf(step))))
    ProgressRecord.decode(ProgressRecord(JobPhase.RUNNING, mapOf("0.0" to listOf(0))).encode())
}

/** Names of all classes in the project's own archives on the class path. */
private fun projectClassNames(): List<String> {
    val nodeArchive = File(NodeProgram::class.java.protectionDomain.codeSource.location.toURI())
    val archives = nodeArchive.parentFile.listFiles { candidate -> candidate.name.startsWith("gypsumturn-") }.orEmpty()
    return archives.sorted().flatMap { archive ->
        JarFile(archive).use { jar ->
            jar.entries().toList().map { it.name }.filter { it.endsWith(CLASS_SUFFIX) && !it.startsWith("META-INF") }
        }
    }.map { it.removeSuffix(CLASS_SUFFIX).replace('/', '.') }
}

private const val CLASS_SUFFIX = ".class"
private const val FREE_PORTS = 5

/** Covers the first calls to the store and their retries. */
private const val TRAINING_MILLIS = 1_500L
