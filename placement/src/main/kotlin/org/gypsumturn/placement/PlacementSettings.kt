// Settings of the placement of jobs on workers, with their defaults.

package org.gypsumturn.placement

/**
 * Settings of the placement in one pool. Shares and quantiles are numbers from 0 to 1.
 *
 * @property urgentReserve share of the workers of a pool that only urgent jobs may use
 * @property processorQuantile quantile of the processor use of earlier jobs of the class that is allocated to a job
 * @property memoryQuantile quantile of the memory use of earlier jobs of the class that is allocated to a job
 * @property declaredWeight number of measured jobs that has the same weight as the declared size
 * @property reservationDelayMillis time during which later jobs may start before a job that does not fit; after that a
 *   worker is reserved for it
 * @property batchAgingMillis waiting time after which a batch job may start before normal jobs, and after which a job
 *   that is larger than every worker is reported
 * @property agedBatchShare number of starts that such batch jobs get for each start of a normal job
 * @property runTimeWeight weight of the expected run time of a job against its waiting time
 * @property maxCountedRunMillis upper bound of the expected run time in this comparison
 * @property throttledShare share of its processors that a throttled job keeps
 * @property checkpointTimeoutMillis time that a job has to checkpoint before it is stopped to make room for an urgent
 *   job
 * @property maxPreemptions number of times that a job may be evicted to make room for urgent jobs
 * @property suspensionMillis time for which a worker gets no new jobs after it did not take one
 */
public data class PlacementSettings(
    public val urgentReserve: Double = 0.03,
    public val processorQuantile: Double = 0.5,
    public val memoryQuantile: Double = 0.95,
    public val declaredWeight: Double = 10.0,
    public val reservationDelayMillis: Long = 60_000,
    public val batchAgingMillis: Long = 600_000,
    public val agedBatchShare: Double = 0.25,
    public val runTimeWeight: Double = 3.0,
    public val maxCountedRunMillis: Long = 1_800_000,
    public val throttledShare: Double = 0.25,
    public val checkpointTimeoutMillis: Long = 800,
    public val maxPreemptions: Int = 2,
    public val suspensionMillis: Long = 10_000,
)
