// Nodes in virtual time between a store and executors: one that competes for the lease and schedules, and another one
// that serves callers. All parts of the nodes are the real ones.

package org.gypsumturn.node

import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.gypsumturn.batch.desk.CallerAnswer
import org.gypsumturn.batch.lease.ClockReadings
import org.gypsumturn.batch.lease.ControlLease
import org.gypsumturn.batch.lease.LeaseTimes
import org.gypsumturn.batch.machines.MachineTimes
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.CallerLimits
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.JobLimits
import org.gypsumturn.batch.model.PoolRecord
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.model.queueId
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import kotlin.random.Random

internal class VirtualNodes(
    seed: Long = 1,
    executors: Int = 3,
    cancelMillis: Long = SchedulerSettings.DEFAULT_CANCEL_MILLIS,
) {
    private val settings = SchedulerSettings(5_000, 6_000, 120, cancelMillis = cancelMillis)
    val loop = VirtualLoop()
    val store = VirtualStoreServer(loop, Random(seed))
    val executors =
        VirtualExecutors(loop, executors, POOL, ResourceAmounts(4_000, 8_000, 0), RUN_MILLIS) {
            store.callMillis.takeUnless { store.isDown }
        }
    val queue = Queue(queueId("h", "/q/"), "h", "/q/", POOL, 0, 2, 1.6, 600, 3_000, null)
    private val configuration =
        FleetConfiguration(1, listOf(queue), mapOf(POOL to PoolRecord(POOL, true, false, "")), CallerLimits(1_000))

    /** Whether notices of cancellations reach the holder. */
    var noticesArrive = false

    /** Lines of the holders by event. */
    val lines = HashMap<String, MutableList<Map<String, Any?>>>()
    private var holder = Holder("a")
    private val holderQueries = object : HolderQueries {
        override fun queryState(id: JobId, timeoutMillis: Long, reply: (HolderAnswer?) -> Unit) {
            var isAnswered = false
            val replyOnce = { answer: HolderAnswer? ->
                if (!isAnswered) reply(answer)
                isAnswered = true
            }
            loop.runAfter(timeoutMillis) { replyOnce(null) }
            holder.elector.queryJobState(id, replyOnce)
        }

        override fun countPending(queue: Queue, timeoutMillis: Long, reply: (Int?) -> Unit) = reply(null)
    }
    private val otherStore = store.Client()
    private val otherNode = NodeJobRequestHandler(
        { configuration },
        otherStore,
        holderQueries,
        JobCommitter(otherStore, { false }, loop::runAfter) { loop.nowMillis },
        JobRows.partitions[1],
        JobLimits(65_536),
        NodeMetrics(PrometheusRegistry()),
        { notice -> if (noticesArrive) loop.runAfter(2) { holder.elector.applyCancellation(notice) } },
    ) { loop.nowMillis }

    /** By how much the clocks of a session are ahead of the beginning of a pass, as if each took that long. */
    var passMillis = 0L

    /** A process that competes for the lease. It does nothing while it is [suspended]. */
    private inner class Holder(node: String) {
        var suspended = false
        private val delayed = ArrayDeque<() -> Unit>()
        private val client = store.Client()
        private val lease = ControlLease(node, "$node/1", "10.0.0.1:1", LeaseTimes(2_400, 600, 150))
        private val post: Post = { action -> if (suspended) delayed.addLast(action) else action() }
        val elector = ControlLeaseElector(lease, client, 0, post, { ClockReadings(loop.nowMillis, loop.nowMillis) }) {
            HolderSession(
                it,
                settings,
                MachineTimes(0, 0, 0),
                SessionPorts(
                    client,
                    executors.updates,
                    executors,
                    null,
                    null,
                    client,
                    nowMillis = { loop.nowMillis + passMillis },
                    wallMillis = { loop.nowMillis + passMillis },
                ),
                { event, fields -> lines.getOrPut(event) { ArrayList() } += fields.toMap() },
                { },
                post,
            ) { delayMillis, action -> loop.runAfter(delayMillis) { post(action) } }
        }

        init {
            elector.configure(configuration)
            tick()
        }

        private fun tick() {
            if (!suspended) elector.runDueWork()
            loop.runAfter(TICK_MILLIS, ::tick)
        }

        /** Goes on with the answers that have arrived meanwhile. */
        fun resume() {
            suspended = false
            while (delayed.isNotEmpty()) {
                delayed.removeFirst()()
                elector.runDueWork()
            }
        }
    }

    fun run(millis: Long) = loop.runUntil(loop.nowMillis + millis)

    /** Suspends the holder for ever and lets another process compete for the lease. */
    fun replaceHolder() {
        holder.suspended = true
        holder = Holder("c")
    }

    /** Suspends the process of the holder for [millis]. */
    fun suspendHolder(millis: Long) {
        val suspended = holder
        suspended.suspended = true
        loop.runAfter(millis, suspended::resume)
    }

    /** Submits job [number] with [tasks] tasks at the other node. */
    fun submit(number: Int, tasks: Int): JobId {
        val id = JobId("%016x".format(number))
        val step = Step(tasks, ResourceAmounts(1_000, 100, 0), RUN_MILLIS)
        otherNode.submit(queue, BatchJob(id, "h", "/q/", "", listOf(step)), 3_000) { }
        return id
    }

    /** Cancels job [id] at the other node. [onAcknowledged] gets the time of the acknowledgement. */
    fun cancel(id: JobId, onAcknowledged: (Long) -> Unit) {
        otherNode.cancel(queue, id, null, 3_000) { answer ->
            if (answer == CallerAnswer.CancelStored || answer == CallerAnswer.NoSuchJob) onAcknowledged(loop.nowMillis)
        }
    }

    /** Starts of tasks of job [id] from [fromMillis] until [untilMillis]. */
    fun starts(id: JobId?, fromMillis: Long, untilMillis: Long = Long.MAX_VALUE): Int =
        executors.starts.count { (id == null || it.run.task.job == id) && it.atMillis in fromMillis until untilMillis }

    private companion object {
        val POOL = PoolId("p")
        const val TICK_MILLIS = 10L

        /** Time that a task takes. */
        const val RUN_MILLIS = 400L
    }
}
