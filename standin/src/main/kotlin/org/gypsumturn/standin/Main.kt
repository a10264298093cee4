// Entry point of the stand-in: a small process that takes the platform's place in tests and in the quick start.

package org.gypsumturn.standin

import org.gypsumturn.runtime.metrics.Metrics
import org.gypsumturn.runtime.program.runProgram
import org.gypsumturn.runtime.program.serveUntilShutdown
import org.gypsumturn.runtime.settings.CommonSettings
import org.gypsumturn.runtime.trace.Tracing
import org.slf4j.LoggerFactory

/** Serves until the process is asked to end. */
public fun main(args: Array<String>) {
    runProgram("gypsumturn-standin", StandinSettings.schema, args) { settings ->
        val tracing = Tracing.of(settings)
        val metrics = Metrics()
        val metricsServer = metrics.serve(settings[CommonSettings.metricsAddress])
        val standin = Standin(StandinSettings.optionsOf(settings), tracing, metrics.registry)
        standin.start()
        LoggerFactory.getLogger("org.gypsumturn.standin").info("stand-in serves at port {}", standin.port)
        serveUntilShutdown {
            standin.close()
            metricsServer.close()
            tracing.close()
        }
    }
}
