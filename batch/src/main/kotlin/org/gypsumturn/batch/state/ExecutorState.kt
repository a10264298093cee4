// State of one executor as the scheduler knows it: free capacity, run leases, clock, reported ends of runs, and health.

package org.gypsumturn.batch.state

import org.gypsumturn.batch.model.ExecutorRecord
import org.gypsumturn.batch.model.Incarnation
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.port.ExecutorTarget
import java.util.TreeMap

/** Factor on the time until a lease has lapsed, which allows for executors whose clocks run slow. */
private const val SLOW_CLOCK_FACTOR = 1.03

/** Longest time of this process within which [millis] pass on the clock of an executor. */
internal fun slowClockMillis(millis: Long): Long = (millis * SLOW_CLOCK_FACTOR).toLong()

/**
 * An executor. All times are on the steady clock of this process, unless they are said to be on the executor's clock.
 */
public class ExecutorState(public var record: ExecutorRecord, nowMillis: Long) {
    /** Time since which its present incarnation is known. */
    public var knownSinceMillis: Long = nowMillis
        private set

    /** Whether an earlier incarnation of it was known to this holder. */
    public var hasRestarted: Boolean = false
        private set

    /** Runs that may be on the executor, including those that are being stopped. */
    public val runs: MutableMap<RunId, Run> = HashMap()

    /** Whether its entry is in the store. */
    public var listed: Boolean = true

    /**
     * Whether the stored roster of its pool names it with its present address. Nothing is started on it before, since a
     * later holder would not wait for it, or would ask for it at an address that may belong to another executor.
     */
    public var recorded: Boolean = false

    /** Time at which its entry was last found to be missing from the store. */
    public var unlistedMillis: Long = 0

    /**
     * Until this time it counts as listed without an entry, since the entry may have lapsed only because the store was
     * unreachable.
     */
    public var presumedListedUntilMillis: Long = Long.MIN_VALUE

    /**
     * Whether it has answered a poll that carried the present epoch, so that it refuses the orders of earlier holders.
     */
    public var knowsEpoch: Boolean = false

    /** Time since which it counts as lost; null while it is reachable. */
    public var unreachableSinceMillis: Long? = null

    /** Number of failed calls in a row. */
    public var failedCalls: Int = 0

    /** Whether a poll is waiting for its answer. */
    public var pollInFlight: Boolean = false

    public var lastPollMillis: Long = 0

    /** Time at which the last poll was sent. */
    public var pollSentMillis: Long = 0

    /** Time at which the timeout of the last poll ends. */
    public var pollTimeoutAtMillis: Long = 0

    /** Number of its last poll, which is waiting for its answer or was answered last; 0 before the first. */
    public var pollNumber: Long = 0

    /** Number of the last poll that was sent before its present incarnation was known. */
    public var incarnationKnownAtPoll: Long = 0

    /** Number of polls in a row that failed while this process was late itself. */
    public var inconclusivePolls: Int = 0

    /** Number of polls in a row that it refused. */
    public var refusedPolls: Int = 0

    /** Whether its machine is about to be moved or taken down, so that it gets no new runs. */
    public var cordoned: Boolean = false

    /** Whether an order that ends everything on its machine was sent and has not been refused. */
    public var terminating: Boolean = false

    /**
     * Reports that were requested before this time do not show that a long-running task is at work, since an order that
     * ends it may take effect after them.
     */
    public var presenceSinceMillis: Long = Long.MIN_VALUE
        private set

    /** It gets no new runs before this time. */
    public var avoidUntilMillis: Long = 0

    /**
     * Runs of the present incarnation whose leases have lapsed while it was silent, so that it is not known how they
     * ended.
     */
    public val lapsedRuns: MutableList<Run> = ArrayList(0)

    /** The run that is on trial here, if any. While it has not survived its start, the executor gets no other runs. */
    public var trial: Run? = null

    /**
     * Until this time it gets no new runs, because it refused one for lack of capacity although its counted capacity
     * seemed enough.
     */
    public var fullUntilMillis: Long = 0

    /** Reported ends of runs that must not be acknowledged yet, by their number. */
    public val pendingEnds: TreeMap<Long, PendingEnd> = TreeMap()

    /** Highest number of an end that was handled. */
    public var lastHandledEndNumber: Long = 0

    /** Highest number of an end that its present incarnation is known to have been told to drop. */
    public var acknowledgedEndNumber: Long = 0

    /** Whether the last poll was answered by a report, so that the executor was up in its present incarnation. */
    public var hasJustReported: Boolean = false

    /** Incarnation that answered last; null before the first answer. */
    public var incarnation: Incarnation? = null

    private var clockMillis: Long? = null
    private var clockReadMillis: Long = 0
    private var latestLeaseEndMillis: Long = 0

    /** Capacity that is reserved for the runs in [runs]. */
    private var reserved: ResourceAmounts = ResourceAmounts.NONE

    /** Sizes of the reported runs that no job needs. They are being stopped and take up capacity until then. */
    private var unwantedRuns: Map<RunId, ResourceAmounts> = emptyMap()

    /** The reported runs that no job needs and that have not ended yet, with their sizes. */
    internal val unwantedRunSizes: Map<RunId, ResourceAmounts> get() = unwantedRuns

    /** Whether it has reported runs that no job needs and that have not ended yet. */
    public val hasUnwantedRuns: Boolean get() = unwantedRuns.isNotEmpty()

    /** Capacity that is in use or reserved. */
    public val used: ResourceAmounts get() = unwantedRuns.values.fold(reserved) { sum, size -> sum + size }

    public val target: ExecutorTarget get() = ExecutorTarget(record.id, record.address)

    public val free: ResourceAmounts get() = record.capacity - used

    /** Whether all that is assigned to it fits into its capacity, which may have shrunk since. */
    public val fitsAll: Boolean get() = ResourceAmounts.NONE.fitsInto(free)

    /** Whether new runs may be assigned to it at [nowMillis]. */
    public fun canTakeNewRuns(nowMillis: Long): Boolean = isUsable(nowMillis) && !holdsTrial

    /** Whether a run is on trial here that has not survived its start. */
    public val holdsTrial: Boolean get() = trial?.survivedStart == false

    /** Whether a run that is assigned to it may be sent to it at [nowMillis]. */
    public fun isUsable(nowMillis: Long): Boolean = !cordoned && isHealthy(nowMillis)

    /**
     * Whether it is cordoned, but could run tasks at [nowMillis] until an order ends what is on it. None has been sent.
     */
    public fun isUsableUntilOrder(nowMillis: Long): Boolean =
        cordoned && !terminating && !holdsTrial && isHealthy(nowMillis)

    private fun isHealthy(nowMillis: Long): Boolean =
        (listed || nowMillis < presumedListedUntilMillis) && recorded && knowsEpoch && !record.draining &&
            unreachableSinceMillis == null && avoidUntilMillis <= nowMillis && clockMillis != null

    /** Lets only reports that are requested at [millis] or later show that long-running tasks are at work. */
    public fun requirePresenceSince(millis: Long) {
        presenceSinceMillis = maxOf(presenceSinceMillis, millis)
    }

    /** Adds a run that may be on the executor and reserves capacity for it. */
    public fun addRun(run: Run) {
        if (runs.put(run.id, run) == null) reserved += run.reservedSize
    }

    /** Replaces the reported runs that no job needs by [sizes], the capacity that each of them takes up. */
    public fun setUnwantedRuns(sizes: Map<RunId, ResourceAmounts>) {
        unwantedRuns = sizes
    }

    /** Removes a run that is no longer on the executor and releases its capacity. */
    public fun removeRun(ended: EndedRun) {
        val run = ended.run
        if (runs.remove(run.id) != null) reserved -= run.reservedSize
        if (trial === run) trial = null
    }

    /** Records the executor's clock, which was read at [nowMillis] or shortly before. */
    public fun recordClock(nowMillis: Long, executorMillis: Long) {
        clockMillis = executorMillis
        clockReadMillis = nowMillis
    }

    /**
     * Time on the executor's clock at which a lease of [leaseMillis] from now ends; null if that clock is not known.
     */
    public fun leaseEndMillis(nowMillis: Long, leaseMillis: Long): Long? {
        val clock = clockMillis ?: return null
        return clock + (nowMillis - clockReadMillis) + leaseMillis
    }

    /** Records that a lease until [executorMillis] on the executor's clock was sent, whether or not it arrived. */
    public fun recordLeaseEnd(executorMillis: Long) {
        latestLeaseEndMillis = maxOf(latestLeaseEndMillis, executorMillis)
    }

    /**
     * Records that all leases which others have given, or which were given to an earlier incarnation and reach this
     * one, end within [longestMillis] of its clock as it was read last.
     */
    public fun recordUnknownLeases(longestMillis: Long) {
        clockMillis?.let { recordLeaseEnd(it + longestMillis) }
    }

    /**
     * Time at which the leases of all of its runs have lapsed, if no further ones are sent. While its clock is not
     * known it may have any lease, of [longestMillis] at most.
     */
    public fun leasesLapsedAtMillis(longestMillis: Long): Long {
        val clock = clockMillis ?: return knownSinceMillis + slowClockMillis(longestMillis)
        return clockReadMillis + slowClockMillis(latestLeaseEndMillis - clock)
    }

    /** Resets what belonged to the earlier incarnation. The caller must end the runs. */
    public fun startNewIncarnation(nowMillis: Long) {
        hasRestarted = true
        knownSinceMillis = nowMillis
        incarnationKnownAtPoll = pollNumber
        clockMillis = null
        latestLeaseEndMillis = 0
        lastHandledEndNumber = 0
        acknowledgedEndNumber = 0
        hasJustReported = false
        pendingEnds.clear()
        lapsedRuns.clear()
        unwantedRuns = emptyMap()
        knowsEpoch = false
    }

    /** Highest number up to which all ends may be acknowledged, so that the executor drops them. */
    public fun acknowledgeableEndNumber(): Long {
        while (pendingEnds.isNotEmpty()) {
            val (number, end) = pendingEnds.firstEntry()
            if (!end.isStored()) return number - 1
            pendingEnds.pollFirstEntry()
        }
        return lastHandledEndNumber
    }
}

/**
 * An end that may be acknowledged once change [changeNumber] of [job] is stored. With a null [job] nothing has to be
 * stored.
 */
public class PendingEnd(private val job: JobState?, private val changeNumber: Long) {
    /** Whether the end is stored or does not have to be. */
    public fun isStored(): Boolean = job == null || job.storedChangeNumber >= changeNumber
}
