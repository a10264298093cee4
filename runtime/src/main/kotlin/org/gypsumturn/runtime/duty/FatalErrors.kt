// Ends the process after an error that it can't recover from. Whoever runs the process starts it again.

package org.gypsumturn.runtime.duty

/** Exit code of a process that an [Error] has ended. */
public const val FATAL_ERROR_EXIT_CODE: Int = 70

/**
 * Ends the process at once, without shutdown hooks: after [error] these may not work. Writes to standard error, since
 * the log may not work either.
 */
public fun haltProcess(error: Error) {
    try {
        System.err.println("the process ends by a fatal error: $error")
    } finally {
        Runtime.getRuntime().halt(FATAL_ERROR_EXIT_CODE)
    }
}
