// Entry point of `gypsumturn-control`.

package org.gypsumturn.control

import org.gypsumturn.runtime.program.runProgram
import org.gypsumturn.runtime.program.serveUntilShutdown

/** Serves the administration API and carries the fleet on, until the process is asked to end. */
public fun main(args: Array<String>) {
    runProgram("gypsumturn-control", ControlSettings.schema, args) { settings ->
        val node = ControlNode(settings)
        node.start()
        serveUntilShutdown(node::close)
    }
}
