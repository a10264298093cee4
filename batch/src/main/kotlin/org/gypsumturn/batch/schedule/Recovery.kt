// After a takeover: which executors may still run what an earlier holder started there. Tasks of jobs from before the
// takeover that are not seen to run are not started again until each such executor was seen, or its leases have
// lapsed.

package org.gypsumturn.batch.schedule

import org.gypsumturn.model.InstanceId

/** Executors that have not been seen since the takeover. */
internal class Recovery {
    private val unseen = HashSet<InstanceId>()
    private var untilMillis = 0L

    /** Whether there is nothing left to wait for. */
    var over: Boolean = true
        private set

    fun begin(ids: Collection<InstanceId>, untilMillis: Long) {
        unseen += ids
        this.untilMillis = untilMillis
        over = false
    }

    fun seen(id: InstanceId) {
        unseen -= id
    }

    /** Whether the recovery has ended with this check. */
    fun check(nowMillis: Long): Boolean {
        if (over || (unseen.isNotEmpty() && nowMillis < untilMillis)) return false
        over = true
        return true
    }
}
