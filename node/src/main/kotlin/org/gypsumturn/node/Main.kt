// Entry point of the node.

package org.gypsumturn.node

import org.gypsumturn.runtime.log.configureEventLogging
import org.gypsumturn.runtime.program.runProgram
import org.gypsumturn.runtime.program.serveUntilShutdown

/** Runs a node. */
public fun main(args: Array<String>) {
    runProgram("gypsumturn-node", NodeSettings.schema, args) { settings ->
        configureEventLogging()
        val program = NodeProgram(settings)
        program.start()
        serveUntilShutdown(program::end)
    }
}
