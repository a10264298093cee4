// Divides duties among nodes by rendezvous hashing: each duty goes to the node with the greatest hash, so a node that
// leaves or joins moves only the duties that it had or gets. Two nodes may disagree for a while on who is live; writes
// are therefore fenced in the table, and ownership only saves double work.

package org.gypsumturn.model

import java.nio.ByteBuffer
import java.security.MessageDigest

/** The node among [nodes] that owns [duty], or null if there is none. The same for every process and at every time. */
public fun ownerOf(duty: String, nodes: Collection<NodeId>): NodeId? =
    nodes.maxWithOrNull(compareBy<NodeId> { stableHash("$duty\n${it.value}") }.thenBy { it })

/** A hash of [text] that is the same in every process and evenly spread: the first eight bytes of its SHA-256. */
public fun stableHash(text: String): Long =
    ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text.toByteArray())).getLong()
