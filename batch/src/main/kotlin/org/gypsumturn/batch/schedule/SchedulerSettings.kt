// Times that the scheduler works with. Those that the installation bounds come from the settings of the process.

package org.gypsumturn.batch.schedule

/**
 * @property leaseMillis lease given to what runs on an executor
 * @property statusSeconds how long the state of an ended job is kept
 * @property settleMillis how long entries that lapsed during an outage of the store may take to come back
 */
public data class SchedulerSettings(
    public val leaseMillis: Long,
    public val statusSeconds: Long,
    public val settleMillis: Long = 2_000,
) {
    public companion object {
        /** Longest wait of a look at the executor. Bounds how late a silent executor is noticed. */
        public const val LOOK_WAIT_MILLIS: Long = 600

        /** Time beyond its wait after which a look has failed: several round trips and a slow executor. */
        public const val LOOK_TIMEOUT_MILLIS: Long = 300

        /** Pause between two looks while ends wait to be stored. */
        public const val LOOK_GAP_MILLIS: Long = 40

        /** Pause between two tries to reach an executor. */
        public const val RETRY_MILLIS: Long = 300

        /** Pause between two looks at an executor without work. */
        public const val IDLE_LOOK_MILLIS: Long = 4_000

        /** Time after which an order has failed. */
        public const val ORDER_TIMEOUT_MILLIS: Long = 600

        /** Least lease that is worth a start: quick tasks take about as long. */
        public const val LEAST_LEASE_MILLIS: Long = 1_500

        /** Starts of one run that are sent without an answer before the run is stopped. */
        public const val START_TRIES: Int = 4

        /** Time for which an executor is passed over after it had no room for what seemed to fit. */
        public const val FULL_MILLIS: Long = 150

        /** Time for which an executor is passed over after it called itself unhealthy. */
        public const val UNHEALTHY_MILLIS: Long = 1_000

        /** Distance between the first attempts of two holders. */
        public const val ATTEMPTS_PER_EPOCH: Long = 1_000
    }
}
