// Division of pools into buckets, each of which one control process owns and reads one inbox for.

package org.gypsumturn.placement

import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.ownerOf
import org.gypsumturn.model.stableHash

/** Number of buckets into which pools fall; a bucket's pools have one owner and share one inbox. */
public const val OWNER_BUCKETS: Int = 64

/** Bucket of [pool], from zero to [OWNER_BUCKETS] exclusive. */
public fun bucketOf(pool: PoolId): Int = Math.floorMod(stableHash(pool.value), OWNER_BUCKETS.toLong()).toInt()

/** The process among [live] that owns [bucket], or null where none lives. */
public fun ownerOfBucket(bucket: Int, live: Set<NodeId>): NodeId? = ownerOf("bucket-$bucket", live)
