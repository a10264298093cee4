// What the scheduler knows of one executor: room, lease, clock, the ends that it lists, and how sound it looks.

package org.gypsumturn.batch.state

import org.gypsumturn.batch.model.ExecutorRecord
import org.gypsumturn.batch.model.Incarnation
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.port.ExecutorTarget
import java.util.TreeMap

/** Allowance for executors whose clock runs slow, as a factor on the time until a lease has lapsed. */
private const val SLOW_CLOCK_FACTOR = 1.03

/** An executor. All times are steady times of this process but where they are said to be the executor's. */
public class ExecutorState(public var record: ExecutorRecord, nowMillis: Long) {
    /** Since when its present lifetime is known. */
    public var knownSinceMillis: Long = nowMillis
        private set

    /** Runs that may be on it, those that are being stopped included. */
    public val runs: MutableMap<RunId, Run> = HashMap()

    /** Whether its entry stands in the store. */
    public var listed: Boolean = true

    public var unlistedMillis: Long = 0

    /** Counts as listed until this time, since its entry may have lapsed only because the store was away. */
    public var presumedUntilMillis: Long = Long.MIN_VALUE

    /** Whether it has been looked at under the present epoch, so that older holders are fenced off. */
    public var fenced: Boolean = false

    /** Whether the last call failed. */
    public var unreachableSinceMillis: Long? = null

    /** Calls in a row that were not answered. */
    public var failedCalls: Int = 0

    /** Whether a look is under way. */
    public var looking: Boolean = false

    public var lastLookMillis: Long = 0

    /** Whether its machine is about to be moved or taken down, so that it gets nothing new. */
    public var cordoned: Boolean = false

    /** Whether an order that ends everything on it was sent and not refused. */
    public var ending: Boolean = false

    /** Not given new work before this time. */
    public var avoidUntilMillis: Long = 0

    /** Whether its room differs from what is counted here until this time. */
    public var fullUntilMillis: Long = 0

    /** Ends that were listed and may not be forgotten yet, by number: the job's serial that must be stored. */
    public val pendingEnds: TreeMap<Long, PendingEnd> = TreeMap()

    /** Highest number of an end that was handled. */
    public var handledEnd: Long = 0

    /** Highest number that the executor was told to forget. */
    public var acknowledged: Long = 0

    /** Incarnation that answered last; null before the first answer. */
    public var lifetime: Incarnation? = null

    private var clockMillis: Long? = null
    private var clockReadMillis: Long = 0
    private var leaseEndSent: Long = 0

    /** Room taken by runs that may be there. */
    public var used: ResourceAmounts = ResourceAmounts.NONE
        private set

    public val target: ExecutorTarget get() = ExecutorTarget(record.id, record.address)

    public val free: ResourceAmounts get() = record.capacity - used

    /** Whether new work may be sent to it. */
    public fun usable(nowMillis: Long): Boolean = (listed || nowMillis < presumedUntilMillis) && fenced &&
        !record.draining && !cordoned && unreachableSinceMillis == null && avoidUntilMillis <= nowMillis &&
        clockMillis != null

    /** Notes a run that may be there. */
    public fun add(run: Run) {
        if (runs.put(run.id, run) == null) used += run.size
    }

    /** Notes that a run is not there any more. */
    public fun remove(run: Run) {
        if (runs.remove(run.id) != null) used -= run.size
    }

    /** Notes the executor's clock, read at [nowMillis] or shortly before. */
    public fun noteClock(nowMillis: Long, executorMillis: Long) {
        clockMillis = executorMillis
        clockReadMillis = nowMillis
    }

    /** End of a lease of [leaseMillis] from now on, on the executor's clock; null where its clock is not known. */
    public fun leaseEnd(nowMillis: Long, leaseMillis: Long): Long? {
        val clock = clockMillis ?: return null
        return clock + (nowMillis - clockReadMillis) + leaseMillis
    }

    /** Notes that a lease until [executorMillis] was sent, whether or not it arrived. */
    public fun leaseSent(executorMillis: Long) {
        leaseEndSent = maxOf(leaseEndSent, executorMillis)
    }

    /** The time at which everything there has lapsed, if nothing more is sent. */
    public fun lapseMillis(): Long {
        val clock = clockMillis ?: return clockReadMillis
        return clockReadMillis + ((leaseEndSent - clock) * SLOW_CLOCK_FACTOR).toLong()
    }

    /** Forgets what belonged to an earlier lifetime. The runs are the caller's to end. */
    public fun reborn(nowMillis: Long) {
        knownSinceMillis = nowMillis
        clockMillis = null
        leaseEndSent = 0
        handledEnd = 0
        acknowledged = 0
        pendingEnds.clear()
        fenced = false
    }

    /** Highest number up to which every end may be forgotten. */
    public fun forgettable(): Long {
        while (pendingEnds.isNotEmpty()) {
            val (number, end) = pendingEnds.firstEntry()
            if (!end.stored()) return number - 1
            pendingEnds.pollFirstEntry()
        }
        return handledEnd
    }
}

/** An end that may be forgotten once the change [serial] of [job] is stored. */
public class PendingEnd(private val job: JobState?, private val serial: Long) {
    /** Whether the end is stored, or needs not be. */
    public fun stored(): Boolean = job == null || job.storedSerial >= serial
}
