// The registry of the nodes of the installation. Each node writes its own row when it starts and reads the rows of the
// others at intervals. A node that was replaced leaves its row behind. Calls to it fail, and callers try another node.

package org.gypsumturn.node

import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.port.RowPage
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.model.Verdict
import org.gypsumturn.transport.Endpoint

/**
 * Registers this node in the store and lists the other nodes.
 *
 * @param self address at which other nodes reach this one
 * @param postDelayed runs retries and the next reading after a delay
 */
public class NodeDirectory(
    private val node: String,
    private val self: Endpoint,
    private val store: RowStore,
    private val postDelayed: DelayedPost,
) {
    /** Addresses of the other nodes as last read. They may include nodes that no longer exist. */
    @Volatile
    public var peers: List<Endpoint> = emptyList()
        private set

    /** Registers this node and starts reading the rows of the others. Both are retried until they succeed. */
    public fun start() {
        register()
        readNodes()
    }

    private fun register() {
        val row = RowAddress(TABLE, PARTITION, node)
        val write = RowWrite(row, self.toString().encodeToByteArray())
        store.transact(RowTransaction(emptyList(), listOf(write)), CALL_TIMEOUT_MILLIS) { verdict ->
            if (verdict !is Verdict.Ran) postDelayed(RETRY_MILLIS, ::register)
        }
    }

    private fun readNodes() {
        store.read(TABLE, PARTITION, null, MAX_NODES, CALL_TIMEOUT_MILLIS) { verdict ->
            if (verdict is Verdict.Ran) updatePeers(verdict.value)
            postDelayed(if (verdict is Verdict.Ran) READ_INTERVAL_MILLIS else RETRY_MILLIS, ::readNodes)
        }
    }

    private fun updatePeers(page: RowPage) {
        val found = page.rows.mapNotNull { row -> row.value?.decodeToString()?.let(Endpoint::parse) } - self
        if (found.toSet() != peers.toSet()) logEvent("nodes known", "peers" to found.size, "revision" to page.revision)
        peers = found
    }

    private companion object {
        const val TABLE = "nodes"
        const val PARTITION = "nodes"

        /** Number of rows that are read. Other nodes only relay calls to the store, and these are enough for that. */
        const val MAX_NODES = 100

        const val CALL_TIMEOUT_MILLIS = 1_000L
        const val RETRY_MILLIS = 500L

        /** Time between two readings. Nodes come and go within minutes, not seconds. */
        const val READ_INTERVAL_MILLIS = 4_000L
    }
}
