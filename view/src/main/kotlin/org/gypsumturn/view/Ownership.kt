// Divides duties among live nodes by rendezvous hashing: each duty goes to the node with the greatest hash, so a node
// that leaves or joins moves only the duties that it had or gets. Two nodes may disagree for a while on who is live;
// writes are therefore fenced in the table, and ownership only saves double work.

package org.gypsumturn.view

import org.gypsumturn.model.NodeId
import java.security.MessageDigest

/** The node among [nodes] that owns [duty], or null if there is none. */
public fun ownerOf(duty: String, nodes: Collection<NodeId>): NodeId? = nodes.maxByOrNull { scoreOf(duty, it) }

private fun scoreOf(duty: String, node: NodeId): Long {
    val digest = MessageDigest.getInstance("SHA-256").digest("$duty\n${node.value}".toByteArray())
    return digest.take(Long.SIZE_BYTES).fold(0L) { sum, byte ->
        (sum shl Byte.SIZE_BITS) or
            (byte.toLong() and BYTE_MASK)
    }
}

private const val BYTE_MASK = 0xffL
