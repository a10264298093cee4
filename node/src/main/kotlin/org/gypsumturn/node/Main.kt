// Entry point of the node process.

package org.gypsumturn.node

import org.gypsumturn.runtime.log.configureEventLogging
import org.gypsumturn.runtime.log.stopLogging
import org.gypsumturn.runtime.program.ReloadSignal
import org.gypsumturn.runtime.program.runProgram
import org.gypsumturn.runtime.program.serveUntilShutdown

/** Runs a node until the process is asked to terminate. A request to reload reads the settings file again. */
public fun main(args: Array<String>) {
    val reloadSignal = ReloadSignal()
    runProgram("gypsumturn-node", NodeSettings.schema, args) { settings, file ->
        configureEventLogging()
        val reloadableSettings = ReloadableSettings(NodeSettings.schema, file, settings)
        val program = NodeProgram(reloadableSettings)
        reloadSignal.handleWith { reloadableSettings.reloadIfNeeded(requested = true) }
        serveUntilShutdown(program::start) {
            program.shutDown()
            stopLogging()
        }
    }
}
