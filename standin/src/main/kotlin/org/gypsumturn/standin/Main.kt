// Entry point of the stand-in: a small process that takes the platform's place in tests and in the quick start.

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

/** Serves until the process is asked to end. */
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

// A port that is taken ends the process; its other threads would keep it alive.
private fun startOrExit(standin: Standin) {
    val log = LoggerFactory.getLogger("org.gypsumturn.standin")
    try {
        standin.start()
        log.info("stand-in serves at port {}", standin.port)
    } catch (e: IOException) {
        log.error("cannot start: {}", e.message)
        exitProcess(ExitCode.FAILED)
    }
}
