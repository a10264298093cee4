// The nodes of the installation: each writes its own row when it starts and reads the others' now and then. A node
// that was replaced leaves a row behind; calls to it fail and it is passed over.

package org.gypsumturn.node

import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.port.RowPage
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.model.Verdict
import org.gypsumturn.transport.Endpoint

/** Knows the other nodes. */
public class NodeDirectory(
    private val node: String,
    private val self: Endpoint,
    private val store: RowStore,
    private val later: Later,
) {
    /** Other nodes' addresses, as last read. */
    @Volatile
    public var peers: List<Endpoint> = emptyList()
        private set

    /** Registers this node and begins to read. */
    public fun start() {
        register()
        read()
    }

    private fun register() {
        val row = RowAddress(TABLE, PARTITION, node)
        val write = RowWrite(row, self.toString().encodeToByteArray())
        store.transact(RowTransaction(emptyList(), listOf(write)), CALL_TIMEOUT_MILLIS) { verdict ->
            if (verdict !is Verdict.Ran) later(RETRY_MILLIS, ::register)
        }
    }

    private fun read() {
        store.read(TABLE, PARTITION, null, MAX_NODES, CALL_TIMEOUT_MILLIS) { verdict ->
            if (verdict is Verdict.Ran) take(verdict.value)
            later(if (verdict is Verdict.Ran) READ_MILLIS else RETRY_MILLIS, ::read)
        }
    }

    private fun take(page: RowPage) {
        val found = page.rows.mapNotNull { row -> row.value?.decodeToString()?.let(Endpoint::parse) } - self
        if (found.toSet() != peers.toSet()) logEvent("nodes known", "peers" to found.size, "revision" to page.revision)
        peers = found
    }

    private companion object {
        const val TABLE = "nodes"
        const val PARTITION = "nodes"

        /** Rows that are read; more nodes than that need no more relays. */
        const val MAX_NODES = 100

        const val CALL_TIMEOUT_MILLIS = 1_000L
        const val RETRY_MILLIS = 500L

        /** Time between two readings: nodes come and go by the minute. */
        const val READ_MILLIS = 4_000L
    }
}
