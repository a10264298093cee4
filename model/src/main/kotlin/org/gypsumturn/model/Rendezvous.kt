// Assigns keys to nodes by rendezvous hashing: each key belongs to the node with the greatest hash, so a node that
// joins or leaves changes the owner only of the keys that it gains or loses. Nodes may disagree for a while on which
// nodes are live. Ownership therefore only avoids duplicate work; fencing tokens in the table protect the writes.

package org.gypsumturn.model

import java.nio.ByteBuffer
import java.security.MessageDigest

/** The owner of [key] among [nodes], or null if there are none. Depends on nothing but the arguments. */
public fun ownerOf(key: String, nodes: Collection<NodeId>): NodeId? =
    nodes.maxWithOrNull(compareBy<NodeId> { stableHash("$key\n${it.value}") }.thenBy { it })

/** A uniformly distributed hash of [text], equal in every process: the first eight bytes of its SHA-256 digest. */
public fun stableHash(text: String): Long =
    ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text.toByteArray())).getLong()
