// Settings of the placement of jobs.

package org.gypsumturn.placement

/**
 * Settings of a pool's placement.
 *
 * @property urgentReserve part of a pool's workers, from 0 to 1, that only urgent jobs may use
 * @property processorQuantile quantile of the learned processor use that is set aside for a job
 * @property memoryQuantile quantile of the learned memory use that is set aside for a job
 * @property declaredWeight number of measured jobs that a declared size counts for
 * @property patienceMillis time for which later jobs may start in place of one that does not fit; then a worker is kept
 *   free for it
 * @property batchPatienceMillis waiting time after which a batch job may go before normal ones
 * @property batchShare starts that such batch jobs get for each start of a normal one
 * @property runTimeWeight weight of a job's expected run time against the time that it has waited
 * @property maxCountedRunMillis expected run times above this count as this
 * @property throttledShare part of its processors, from 0 to 1, that a throttled job keeps
 * @property stopAfterMillis time that a job has to checkpoint before it is stopped for an urgent one
 * @property maxPreemptions number of times that a job may be taken off its worker for urgent ones
 * @property suspensionMillis time without new jobs for a worker that did not take one
 */
public data class PlacementSettings(
    public val urgentReserve: Double = 0.03,
    public val processorQuantile: Double = 0.5,
    public val memoryQuantile: Double = 0.95,
    public val declaredWeight: Double = 10.0,
    public val patienceMillis: Long = 60_000,
    public val batchPatienceMillis: Long = 600_000,
    public val batchShare: Double = 0.25,
    public val runTimeWeight: Double = 3.0,
    public val maxCountedRunMillis: Long = 1_800_000,
    public val throttledShare: Double = 0.25,
    public val stopAfterMillis: Long = 800,
    public val maxPreemptions: Int = 2,
    public val suspensionMillis: Long = 10_000,
)
