// Settings of the owner of pools.

package org.gypsumturn.jobs

import org.gypsumturn.placement.PlacementSettings

/**
 * Settings of a [JobOwner].
 *
 * @property leaseMillis time without a renewal after which a worker stops a task
 * @property leaseMarginMillis time that is added to the lease before the owner takes a task as stopped; it covers clock
 *   differences and delays
 * @property renewEveryMillis time between two renewals of the leases of one worker
 * @property renewEveryWhileBusyMillis the same while jobs of the pool wait or a task of the worker is being cancelled
 * @property recordRunningAfterMillis age of an attempt after which its row is updated to say that it runs
 * @property inboxPollMillis time between two reads of the notices of new and cancelled jobs
 * @property tableTimeoutMillis time limit of one call to the table
 * @property workerTimeoutMillis time limit of one call to a worker
 * @property maxRowsPerCommit largest number of jobs in one commit
 * @property maxCommitsPerStep largest number of commits in one round
 * @property maxWorkersPerCall largest number of workers that are called in parallel
 * @property maxUnresponsiveWorkersPerStep largest number of workers without an answer to the last call that are called
 *   again in one round
 * @property maxPendingEnds number of unwritten jobs from which on the owner ignores ends of attempts; the workers keep
 *   these ends and report them again
 * @property maxAwaitingStart largest number of jobs that may wait for the commit of their assignment
 * @property tableRetryMillis first delay before the table is tried again after a failure; it doubles up to
 *   [maxTableRetryMillis]
 * @property firstReclaimDelayMillis first delay before a pool that another process has taken is claimed again
 * @property maxReclaimDelayMillis longest such delay; it doubles while the pool is taken again and again
 * @property maxClaimsPerStep largest number of pools that are claimed in one round
 * @property verifyEveryMillis time between two checks that the owned pools are still owned
 * @property retentionMillis time for which the row of an ended job is kept, and thus a repeat of its id recognised
 * @property sweepEveryMillis time between two searches for ended jobs to remove
 * @property usageEveryMillis time between two exchanges of team usage with the other owners
 */
public data class JobOwnerSettings(
    public val leaseMillis: Long = 30_000,
    public val leaseMarginMillis: Long = 5_000,
    public val renewEveryMillis: Long = 5_000,
    public val renewEveryWhileBusyMillis: Long = 1_000,
    public val recordRunningAfterMillis: Long = 60_000,
    public val inboxPollMillis: Long = 500,
    public val tableTimeoutMillis: Long = 1_000,
    public val workerTimeoutMillis: Long = 500,
    public val maxRowsPerCommit: Int = 100,
    public val maxCommitsPerStep: Int = 4,
    public val maxWorkersPerCall: Int = 32,
    public val maxUnresponsiveWorkersPerStep: Int = 8,
    public val maxPendingEnds: Int = 20_000,
    public val maxAwaitingStart: Int = 200,
    public val tableRetryMillis: Long = 1_000,
    public val maxTableRetryMillis: Long = 8_000,
    public val firstReclaimDelayMillis: Long = 250,
    public val maxReclaimDelayMillis: Long = 5_000,
    public val maxClaimsPerStep: Int = 32,
    public val verifyEveryMillis: Long = 5_000,
    public val retentionMillis: Long = 86_400_000,
    public val sweepEveryMillis: Long = 10_000,
    public val usageEveryMillis: Long = 5_000,
    public val placement: PlacementSettings = PlacementSettings(),
)
