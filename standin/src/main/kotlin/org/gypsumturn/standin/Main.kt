// Entry point of the stand-in, a process that replaces the platform in tests and in the quick start.

package org.gypsumturn.standin

import org.gypsumturn.runtime.metrics.Metrics
import org.gypsumturn.runtime.program.ExitCode
import org.gypsumturn.runtime.program.runProgram
import org.gypsumturn.runtime.program.serveUntilShutdown
import org.gypsumturn.runtime.settings.CommonSettings
import org.gypsumturn.runtime.trace.Tracing
import org.slf4j.LoggerFactory
import java.io.IOException
import kotlin.system.exitProcess

/** Serves until the process receives a signal to terminate. */
public fun main(args: Array<String>) {
    runProgram("gypsumturn-standin", StandinSettings.schema, args) { settings ->
        val tracing = Tracing.of(settings)
        val metrics = Metrics()
        val metricsServer = metrics.serve(settings[CommonSettings.metricsAddress])
        val standin = Standin(StandinSettings.optionsOf(settings), tracing, metrics.registry)
        startOrExit(standin)
        serveUntilShutdown {
            standin.close()
            metricsServer.close()
            tracing.close()
        }
    }
}

// Exits if a port is already in use. Without the explicit exit, threads that are already running would keep the process
// alive.
private fun startOrExit(standin: Standin) {
    val log = LoggerFactory.getLogger("org.gypsumturn.standin")
    try {
        standin.start()
        log.info("stand-in serves the platform over gRPC on port {}", standin.port)
    } catch (e: IOException) {
        log.error("stand-in cannot start, the process exits: {}", e.message)
        exitProcess(ExitCode.FAILED)
    }
}
