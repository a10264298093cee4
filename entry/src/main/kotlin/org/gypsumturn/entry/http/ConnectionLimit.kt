// Limits the number of connections that callers may have open at once.

package org.gypsumturn.entry.http

import java.util.concurrent.atomic.AtomicInteger

/** Allows up to [maxConnections] open connections; calls [onRefused] for each connection beyond. Thread-safe. */
internal class ConnectionLimit(private val maxConnections: Int, private val onRefused: () -> Unit) {
    private val open = AtomicInteger()

    /** Counts a new connection. Returns false, and does not count it, if the limit is reached. */
    fun tryAcquire(): Boolean {
        if (open.incrementAndGet() <= maxConnections) return true
        open.decrementAndGet()
        onRefused()
        return false
    }

    /** Removes a closed connection from the count. Call it once for each successful [tryAcquire]. */
    fun release() {
        open.decrementAndGet()
    }
}
