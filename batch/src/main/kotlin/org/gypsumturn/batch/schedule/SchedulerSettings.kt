// Times that the scheduler works with. Those that depend on the installation come from the settings of the process.

package org.gypsumturn.batch.schedule

/**
 * Which jobs wait while a pool can't do all of them in time. With `PLAN` those that came first, since they have the
 * least time left; with `COST` those for which waiting costs callers least.
 */
public enum class OverloadOrder { PLAN, COST }

/**
 * Settings of the scheduler that depend on the installation.
 *
 * @property leaseMillis lease given to the runs on an executor
 * @property maxLeaseMillis longest lease that an executor grants, whatever it is asked for
 * @property statusSeconds time for which the state of an ended job is kept
 * @property outageSettleMillis time within which executors write their entries again after an outage of the store
 * @property stopMillis longest time that stopping a run takes
 * @property overloadOrder what waits while a pool has too little capacity
 * @property cancelMillis time after the acknowledgement of a cancellation from which on no task of the job may start
 * @property maxProgressBytes largest value of the row in which the progress of a job is stored
 */
public data class SchedulerSettings(
    public val leaseMillis: Long,
    public val maxLeaseMillis: Long,
    public val statusSeconds: Long,
    public val outageSettleMillis: Long = 2_000,
    public val stopMillis: Long = 900,
    public val overloadOrder: OverloadOrder = OverloadOrder.PLAN,
    public val maxProgressBytes: Int = DEFAULT_MAX_PROGRESS_BYTES,
    public val cancelMillis: Long = DEFAULT_CANCEL_MILLIS,
) {
    /**
     * Age of the knowledge of jobs up to which tasks are started. A start order may take [ORDER_TIMEOUT_MILLIS] to
     * reach its executor.
     */
    public val maxJobsAgeMillis: Long get() = cancelMillis - ORDER_TIMEOUT_MILLIS

    /** Time for which the state of an ended job is kept. */
    public val endedJobKeptMillis: Long get() = statusSeconds * MILLIS_PER_SECOND + EXPIRY_SLACK_MILLIS

    /**
     * Time from the beginning of a term after which the leases of all runs that earlier holders have started have
     * lapsed. An earlier holder may have given a lease to an executor that had restarted, which grants the longest one.
     */
    public val earlierLeasesMillis: Long
        get() = maxLeaseMillis + maxLeaseMillis / SLOW_CLOCK_DIVISOR + LAST_ORDER_MILLIS

    public companion object {
        /** Largest value of a row by the default of the setting `max_row_bytes`. */
        public const val DEFAULT_MAX_PROGRESS_BYTES: Int = 65_536

        /** The default of the setting `cancel_millis`. */
        public const val DEFAULT_CANCEL_MILLIS: Long = 3_000

        /** The epoch of the first holder, before which nothing was started. */
        public const val FIRST_EPOCH: Long = 1

        /**
         * Longest time that an executor holds back the answer to a long poll. It bounds how late a silent executor is
         * noticed.
         */
        public const val POLL_WAIT_MILLIS: Long = 600

        /**
         * Time after the end of its wait at which a poll has failed. It covers several round trips and a slow executor.
         */
        public const val POLL_TIMEOUT_MILLIS: Long = 300

        /** Pause between two polls of an executor while ends of its runs wait to be stored. */
        public const val POLL_GAP_MILLIS: Long = 40

        /** Pause before a failed call to an executor or to the advisor is repeated. */
        public const val RETRY_MILLIS: Long = 300

        /** Pause between two polls of an executor without runs. */
        public const val IDLE_POLL_MILLIS: Long = 4_000

        /** Time after which a start or stop without an answer has failed. */
        public const val ORDER_TIMEOUT_MILLIS: Long = 600

        /** Time after an executor's entry shows that it drains from which on no task may start there. */
        public const val DRAIN_MILLIS: Long = 2_000

        /**
         * Age of the knowledge of the executors' entries up to which tasks are started. A start order may take
         * [ORDER_TIMEOUT_MILLIS] to reach its executor.
         */
        public const val MAX_EXECUTORS_AGE_MILLIS: Long = DRAIN_MILLIS - ORDER_TIMEOUT_MILLIS

        /**
         * Shortest run lease with which tasks are started. Quick tasks take about as long, so a shorter lease would
         * lapse before they end.
         */
        public const val MIN_LEASE_MILLIS: Long = 1_500

        /** Number of start orders for one run that may stay unanswered before the run is stopped. */
        public const val START_TRIES: Int = 4

        /** Time without new runs for an executor that refused a run for lack of capacity although it seemed to fit. */
        public const val FULL_EXECUTOR_PAUSE_MILLIS: Long = 150

        /**
         * Time without new runs for an executor that reported itself unhealthy, and before a task whose start was
         * refused as invalid is started again.
         */
        public const val UNHEALTHY_EXECUTOR_PAUSE_MILLIS: Long = 1_000

        /** Number of tasks that are kept in memory at most. Further jobs wait; a job with more tasks can't be run. */
        public const val MAX_TASKS_IN_MEMORY: Long = 300_000

        /**
         * Number of occurrences of one job that are kept in memory at most. Each pass looks at all of them, and so does
         * each write of the job's progress.
         */
        public const val MAX_OCCURRENCES_IN_MEMORY: Int = 1_000

        /** Attempt numbers reserved for each epoch, so that the attempts of two holders never share a number. */
        public const val ATTEMPTS_PER_EPOCH: Long = 1_000

        private const val MILLIS_PER_SECOND = 1_000L

        /** The clock of an executor may be up to 2 % slow. The lease divided by this is more than that. */
        private const val SLOW_CLOCK_DIVISOR = 30

        /** Time that the last order of an earlier lease holder may take to reach an executor. */
        private const val LAST_ORDER_MILLIS = 200L

        /** Time for which an ended job is kept beyond the promised one. */
        private const val EXPIRY_SLACK_MILLIS = 30_000L
    }
}
