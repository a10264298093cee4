// Bounds the connections that callers may hold open at once.

package org.gypsumturn.entry.http

import java.util.concurrent.atomic.AtomicInteger

/** Admits up to [max] connections at once; [onRefused] is called for each one beyond. Thread-safe. */
internal class ConnectionLimit(private val max: Int, private val onRefused: () -> Unit) {
    private val open = AtomicInteger()

    /** Takes a place for a connection; false if all are taken. */
    fun admit(): Boolean {
        if (open.incrementAndGet() <= max) return true
        open.decrementAndGet()
        onRefused()
        return false
    }

    /** Gives the place of an admitted connection back. */
    fun release() {
        open.decrementAndGet()
    }
}
