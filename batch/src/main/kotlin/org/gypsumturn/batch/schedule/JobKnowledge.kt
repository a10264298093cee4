// How current the holder's knowledge of jobs and cancellations is, and whether it is current enough to start tasks. A
// holder whose feed of jobs is silent does not see cancellations that other nodes acknowledge meanwhile, even while its
// lease is valid.

package org.gypsumturn.batch.schedule

/**
 * What one process knows of the stored jobs, and when it last reached the store. All times are on its steady clock.
 *
 * @property asOfMillis everything that was stored until this time is known
 * @property storeAnsweredMillis when the store last answered a call of any kind
 * @property failedCallSentMillis when the newest call to the store that has failed was sent; null if none has
 */
public data class JobKnowledge(
    public val asOfMillis: Long,
    public val storeAnsweredMillis: Long,
    public val failedCallSentMillis: Long? = null,
) {
    /** Age of the knowledge at [nowMillis]. */
    public fun ageMillis(nowMillis: Long): Long = nowMillis - asOfMillis

    /**
     * Whether the process may start tasks at [nowMillis], if its knowledge must not lack cancellations that were
     * acknowledged more than [maxAgeMillis] ago.
     *
     * Older knowledge is sufficient while the store is silent to this process: the knowledge is as recent as the last
     * answer of the store, and a call that was sent after that answer has failed. It must have been sent recently too,
     * since a process that was suspended has missed the answers of that time.
     *
     * In an outage of the whole store no cancellation is acknowledged. If only this process is cut off, other nodes
     * may acknowledge cancellations that it misses, and starts go on until its lease lapses, 2.25 s after the last
     * renewal was sent, and for 3.5 s more at most.
     */
    public fun allowsStarts(nowMillis: Long, maxAgeMillis: Long): Boolean {
        if (ageMillis(nowMillis) <= maxAgeMillis) return true
        if (failedCallSentMillis == null || failedCallSentMillis < storeAnsweredMillis) return false
        return storeAnsweredMillis - asOfMillis <= maxAgeMillis && nowMillis - failedCallSentMillis <= maxAgeMillis
    }

    /**
     * Whether the process may start tasks at [nowMillis], if the executors' entries are known up to
     * [executorsAsOfMillis] and must not lack one that was stored more than [maxAgeMillis] ago. Older entries are
     * sufficient while the store is silent to this process. That needs no failed call, which a slow store and one that
     * is away show at the same time: what a suspended process may start is decided by its jobs.
     */
    public fun allowsStartsByEntries(nowMillis: Long, executorsAsOfMillis: Long, maxAgeMillis: Long): Boolean =
        minOf(nowMillis, storeAnsweredMillis) - executorsAsOfMillis <= maxAgeMillis

    public companion object {
        /** Complete knowledge at [nowMillis]. */
        public fun current(nowMillis: Long): JobKnowledge = JobKnowledge(nowMillis, nowMillis)
    }
}
