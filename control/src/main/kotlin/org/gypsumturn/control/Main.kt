// Entry point of `gypsumturn-control`.

package org.gypsumturn.control

import org.gypsumturn.runtime.program.runProgram
import org.gypsumturn.runtime.program.serveUntilShutdown

/** Runs a control process until it is asked to shut down. */
public fun main(args: Array<String>) {
    runProgram("gypsumturn-control", ControlSettings.schema, args) { settings ->
        val node = ControlNode(settings)
        node.start()
        serveUntilShutdown(node::close)
    }
}
