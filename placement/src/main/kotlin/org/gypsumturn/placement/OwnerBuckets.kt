// Divides the pools into buckets. One control process owns each bucket and reads its inbox.

package org.gypsumturn.placement

import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.ownerOf
import org.gypsumturn.model.stableHash

/** Number of buckets. All pools of a bucket have the same owner and share one inbox. */
public const val OWNER_BUCKETS: Int = 64

/** The bucket of [pool], from zero to [OWNER_BUCKETS] exclusive. */
public fun bucketOf(pool: PoolId): Int = Math.floorMod(stableHash(pool.value), OWNER_BUCKETS.toLong()).toInt()

/** The process among [live] that owns [bucket], or null if [live] is empty. */
public fun ownerOfBucket(bucket: Int, live: Set<NodeId>): NodeId? = ownerOf("bucket-$bucket", live)
