// Makes this process a node of the system: adds it to the view, and writes its heartbeat to the table. Other nodes read
// from the heartbeat that the node is live and which version of the view it has in force.

package org.gypsumturn.peer

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.Node
import org.gypsumturn.model.OperationId
import org.gypsumturn.model.OperatorId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.runtime.duty.EventLoopThread
import org.gypsumturn.view.NodeHeartbeat
import org.gypsumturn.view.NodeHeartbeatStore
import org.gypsumturn.view.PoolLoad
import org.gypsumturn.view.mayChangeMembership
import org.slf4j.LoggerFactory
import java.util.UUID

/**
 * What a node reports about itself in a heartbeat.
 *
 * @property version version of the view that all parts of the node have in force; null if the version of the view
 *   replica is to be reported
 * @property busy instances out of service on which the node still has running requests or jobs
 * @property load load of each pool as seen by the node
 * @property quarantined workers of pools owned by the node that fail the tasks they start
 */
public data class NodeActivity(
    public val version: ViewVersion? = null,
    public val busy: List<InstanceId> = emptyList(),
    public val load: List<PoolLoad> = emptyList(),
    public val quarantined: List<InstanceId> = emptyList(),
)

/**
 * Keeps [self] in the view, and writes its heartbeats, until closed.
 *
 * @param monotonicMillis the node's monotonic clock
 * @param wallMillis the wall clock, for the times that are recorded with changes
 * @param activity returns what the next heartbeat reports; called at short intervals on the thread of this class
 */
public class NodeMembership(
    private val self: Node,
    private val replica: ViewReplica,
    private val runner: ChangeRunner,
    private val heartbeatStore: NodeHeartbeatStore,
    private val timing: ViewTiming,
    private val monotonicMillis: () -> Long,
    private val wallMillis: () -> Long,
    private val activity: () -> NodeActivity = { NodeActivity() },
) : AutoCloseable {
    private val eventLoop = EventLoopThread<Unit>("membership", QUEUE_CAPACITY, TICK_MILLIS, {}, ::tick)
    private val startedAtMillis = monotonicMillis()
    private var nextHeartbeatAtMillis = 0L
    private var nextJoinAtMillis = 0L
    private var reportedVersion = ViewVersion.NONE
    private var reportedBusy = emptyList<InstanceId>()
    private var heartbeatCount = 0L
    private var hasWrittenHeartbeat = false
    private var nextJoinLogAtMillis = 0L

    /** Starts writing heartbeats; the node joins the view after the first one. */
    public fun start() {
        eventLoop.start()
        replica.onView { eventLoop.offer(Unit) }
    }

    /**
     * Stops the heartbeats and removes this node from the view and its heartbeat from the table, so that other nodes do
     * not wait for its acknowledgement. Blocks while the table is written.
     */
    override fun close() {
        eventLoop.close()
        runChange("leave", "node ${self.id} leaves") { listOf(Mutation.RemoveNode(self.id)) }
        heartbeatStore.remove(listOf(self.id))
    }

    private fun tick() {
        val now = monotonicMillis()
        val current = activity()
        val version = current.version ?: replica.currentView().version
        val changed = version != reportedVersion || current.busy != reportedBusy
        if (now >= nextHeartbeatAtMillis || changed) writeHeartbeat(now, version, current)
        val isMember = self.id in replica.currentView().nodes
        // Drains do not wait for a member without a heartbeat, so the node joins only after its first heartbeat.
        if (!isMember && hasWrittenHeartbeat && now >= nextJoinAtMillis) {
            nextJoinAtMillis = now + JOIN_RETRY_MILLIS
            join(now)
        }
    }

    private fun join(now: Long) {
        val read = heartbeatStore.readAll()
        if (read !is Verdict.Ran) {
            logJoin(now, read)
            return
        }
        val heartbeats = read.value.map { it.heartbeat }
        // A node that died before it acknowledged its own membership must not prevent others from joining forever.
        val mayForce = now - startedAtMillis > FORCED_JOIN_AFTER_MILLIS
        val result =
            runChange("join", "node ${self.id} joins") { view ->
                val allowed = mayChangeMembership(view, heartbeats) || mayForce
                if (allowed) listOf(Mutation.PutNode(self)) else emptyList()
            }
        if (result !is Verdict.Ran) logJoin(now, result)
    }

    private fun logJoin(now: Long, result: Verdict<*>) {
        if (now < nextJoinLogAtMillis) return
        nextJoinLogAtMillis = now + JOIN_LOG_INTERVAL_MILLIS
        LOG.info("this node could not join the view, will retry: {}", result)
    }

    private fun runChange(
        action: String,
        summary: String,
        mutations: (FleetView) -> List<Mutation>,
    ): Verdict<ChangeOutcome<Nothing>> {
        val operation = OperationId("$action-${self.id}-${UUID.randomUUID()}")
        val header = ChangeHeader(operation, OperatorId(self.id.value), wallMillis())
        return runner.run(header) { view -> ChangeDecision.Make(mutations(view), summary) }
    }

    private fun writeHeartbeat(now: Long, version: ViewVersion, current: NodeActivity) {
        nextHeartbeatAtMillis = now + timing.heartbeatIntervalMillis
        val heartbeat =
            NodeHeartbeat(self.id, version, ++heartbeatCount, current.busy, current.load, current.quarantined)
        if (heartbeatStore.write(heartbeat) is Verdict.Ran) {
            hasWrittenHeartbeat = true
            reportedVersion = version
            reportedBusy = current.busy
        }
    }

    private companion object {
        const val QUEUE_CAPACITY = 64
        const val TICK_MILLIS = 100L
        const val JOIN_RETRY_MILLIS = 200L
        const val JOIN_LOG_INTERVAL_MILLIS = 5_000L
        const val FORCED_JOIN_AFTER_MILLIS = 60_000L
        val LOG = LoggerFactory.getLogger(NodeMembership::class.java)
    }
}
