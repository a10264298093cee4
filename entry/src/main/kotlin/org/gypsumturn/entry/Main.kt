// Main function of the program gypsumturn-entry, which accepts the requests and jobs of callers.

package org.gypsumturn.entry

import org.gypsumturn.runtime.metrics.Metrics
import org.gypsumturn.runtime.program.runProgram
import org.gypsumturn.runtime.program.serveUntilShutdown
import org.gypsumturn.runtime.settings.CommonSettings
import org.gypsumturn.runtime.trace.Tracing

/** Runs an entry until the process is asked to shut down. */
public fun main(args: Array<String>) {
    runProgram("gypsumturn-entry", EntrySettings.schema, args) { settings ->
        val tracing = Tracing.of(settings)
        val metrics = Metrics()
        val metricsServer = metrics.serve(settings[CommonSettings.metricsAddress])
        val program = EntryProgram(settings, tracing, metrics)
        program.start()
        serveUntilShutdown {
            program.shutDown()
            metricsServer.close()
            tracing.close()
        }
    }
}
