// Entry point of the node.

package org.gypsumturn.node

import org.gypsumturn.runtime.log.configureEventLogging
import org.gypsumturn.runtime.program.onReload
import org.gypsumturn.runtime.program.runProgram
import org.gypsumturn.runtime.program.serveUntilShutdown

/** Runs a node. */
public fun main(args: Array<String>) {
    runProgram("gypsumturn-node", NodeSettings.schema, args) { settings, file ->
        configureEventLogging()
        val keeper = SettingsKeeper(NodeSettings.schema, file, settings)
        val program = NodeProgram(keeper)
        onReload { keeper.check(asked = true) }
        program.start()
        serveUntilShutdown(program::end)
    }
}
