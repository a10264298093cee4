// Settings of the owner's duty.

package org.gypsumturn.jobs

import org.gypsumturn.placement.PlacementSettings

/**
 * Settings of a [JobOwner].
 *
 * @property leaseMillis time without renewal after which a worker stops a task
 * @property leaseMarginMillis added to the lease before a task counts as stopped; covers clocks and delays
 * @property renewEveryMillis time between two renewals of one worker's leases
 * @property busyRenewMillis the same while jobs of the pool wait for room
 * @property recordRunningAfterMillis age of an attempt at which its row says that it runs
 * @property inboxPollMillis time between two looks for new jobs
 * @property maxRowsPerCommit largest number of jobs in one grouped commit
 * @property maxCommitsPerStep largest number of grouped commits in one round
 * @property maxWorkersPerCall workers that are called at once in one round of renewals
 * @property maxSuspectsPerStep workers without an answer to the last call that are called again in one round
 * @property maxPendingEnds ends that wait in memory for the table; further ends stay with their workers
 * @property maxAwaitingStart jobs of one pool that may wait for the commit of their assignment
 * @property tableRetryMillis first time between two tries while the table is down; it doubles up to
 *   [maxTableRetryMillis]
 * @property firstReclaimDelayMillis time before a pool that another process took is claimed again
 * @property reclaimDelayMillis longest such time; it doubles while the pool is taken again and again
 * @property verifyEveryMillis time between two looks whether the owned pools are still held
 * @property retentionMillis time for which an ended job is kept; a repeat of its id is recognised that long
 * @property sweepEveryMillis time between two looks for ended jobs to remove
 * @property usageEveryMillis time between two exchanges of what teams hold
 */
public data class JobOwnerSettings(
    public val leaseMillis: Long = 30_000,
    public val leaseMarginMillis: Long = 5_000,
    public val renewEveryMillis: Long = 5_000,
    public val busyRenewMillis: Long = 1_000,
    public val recordRunningAfterMillis: Long = 60_000,
    public val inboxPollMillis: Long = 500,
    public val tableTimeoutMillis: Long = 1_000,
    public val workerTimeoutMillis: Long = 500,
    public val maxRowsPerCommit: Int = 100,
    public val maxCommitsPerStep: Int = 4,
    public val maxWorkersPerCall: Int = 32,
    public val maxSuspectsPerStep: Int = 8,
    public val maxPendingEnds: Int = 20_000,
    public val maxAwaitingStart: Int = 200,
    public val tableRetryMillis: Long = 1_000,
    public val maxTableRetryMillis: Long = 8_000,
    public val firstReclaimDelayMillis: Long = 250,
    public val reclaimDelayMillis: Long = 5_000,
    public val maxClaimsPerStep: Int = 32,
    public val verifyEveryMillis: Long = 5_000,
    public val retentionMillis: Long = 86_400_000,
    public val sweepEveryMillis: Long = 10_000,
    public val usageEveryMillis: Long = 5_000,
    public val placement: PlacementSettings = PlacementSettings(),
)
