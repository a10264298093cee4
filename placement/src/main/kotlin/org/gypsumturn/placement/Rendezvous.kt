// Division of pools among control processes by rendezvous hashing: each process works out the same owner from the same
// set of live processes, and a process that leaves moves only what it owned.

package org.gypsumturn.placement

import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId

/** Number of buckets into which pools fall; a bucket's pools have one owner and share one inbox. */
public const val OWNER_BUCKETS: Int = 64

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L

/** Bucket of [pool], from zero to [OWNER_BUCKETS] exclusive. */
public fun bucketOf(pool: PoolId): Int = Math.floorMod(mixedHash(pool.value), OWNER_BUCKETS.toLong()).toInt()

/** The process among [live] that owns [bucket], or null where none lives. */
public fun ownerOf(bucket: Int, live: Set<NodeId>): NodeId? =
    live.maxWithOrNull(compareBy<NodeId> { mixedHash("$bucket/${it.value}") }.thenBy { it })

/** FNV-1a over the characters, finished with the mixing step of MurmurHash3 so that short texts spread evenly. */
private fun mixedHash(text: String): Long {
    var hash = FNV_OFFSET
    for (character in text) {
        hash = (hash xor character.code.toLong()) * FNV_PRIME
    }
    hash = (hash xor (hash ushr 33)) * -0xae502812aa7333L
    hash = (hash xor (hash ushr 33)) * -0x3b314601e57a13adL
    return hash xor (hash ushr 33)
}
