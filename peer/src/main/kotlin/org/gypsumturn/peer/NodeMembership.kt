// Makes this process a node of the system: adds it to the view, and writes its beat to the table, so that others know
// which version it has in force and that it is alive.

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
 * What a node reports of itself at the time of a beat.
 *
 * @property version version that every duty of the node has in force, or null if only the view's keeper has to
 * @property busy instances out of service on which the node still has requests or jobs under way
 * @property quarantined workers of pools that the node owns which fail what they start
 */
public data class NodeActivity(
    public val version: ViewVersion? = null,
    public val busy: List<InstanceId> = emptyList(),
    public val load: List<PoolLoad> = emptyList(),
    public val quarantined: List<InstanceId> = emptyList(),
)

/** Keeps [self] a node of the system until closed. */
public class NodeMembership(
    private val self: Node,
    private val keeper: ViewKeeper,
    private val runner: ChangeRunner,
    private val beats: NodeHeartbeatStore,
    private val keeping: ViewKeeping,
    private val monotonicMillis: () -> Long,
    private val wallMillis: () -> Long,
    private val activity: () -> NodeActivity = { NodeActivity() },
) : AutoCloseable {
    private val duty = EventLoopThread<Unit>("membership", RING_CAPACITY, TICK_MILLIS, {}, ::tick)
    private val startedAtMillis = monotonicMillis()
    private var nextBeatAtMillis = 0L
    private var nextJoinAtMillis = 0L
    private var toldVersion = ViewVersion.NONE
    private var toldBusy = emptyList<InstanceId>()
    private var beatCount = 0L
    private var hasBeaten = false
    private var nextJoinLogAtMillis = 0L

    /** Starts the beats. */
    public fun start() {
        duty.start()
        keeper.onView { duty.offer(Unit) }
    }

    /** Stops the beats and removes this node from the view, so that nobody waits for it. */
    override fun close() {
        duty.close()
        change("leave", "node ${self.id} leaves") { listOf(Mutation.RemoveNode(self.id)) }
        beats.remove(listOf(self.id))
    }

    private fun tick() {
        val now = monotonicMillis()
        val current = activity()
        val version = current.version ?: keeper.currentView().version
        val changed = version != toldVersion || current.busy != toldBusy
        if (now >= nextBeatAtMillis || changed) beat(now, version, current)
        val isMember = self.id in keeper.currentView().nodes
        // A member without a beat would be waited for by nobody, so the first beat comes before the membership.
        if (!isMember && hasBeaten && now >= nextJoinAtMillis) {
            nextJoinAtMillis = now + JOIN_PAUSE_MILLIS
            join(now)
        }
    }

    private fun join(now: Long) {
        val read = beats.readAll()
        if (read !is Verdict.Ran) {
            logJoin(now, read)
            return
        }
        val told = read.value.map { it.heartbeat }
        // A node that died before it acknowledged its own membership must not keep others out for ever.
        val mayForce = now - startedAtMillis > FORCED_JOIN_MILLIS
        val result =
            change("join", "node ${self.id} joins") { view ->
                val allowed = mayChangeMembership(view, told) || mayForce
                if (allowed) listOf(Mutation.PutNode(self)) else emptyList()
            }
        if (result !is Verdict.Ran) logJoin(now, result)
    }

    private fun logJoin(now: Long, result: Verdict<*>) {
        if (now < nextJoinLogAtMillis) return
        nextJoinLogAtMillis = now + JOIN_LOG_PAUSE_MILLIS
        LOG.info("cannot join yet: {}", result)
    }

    private fun change(
        verb: String,
        summary: String,
        mutations: (FleetView) -> List<Mutation>,
    ): Verdict<ChangeOutcome<Nothing>> {
        val operation = OperationId("$verb-${self.id}-${UUID.randomUUID()}")
        val header = ChangeHeader(operation, OperatorId(self.id.value), wallMillis())
        return runner.run(header) { view -> ChangeDecision.Make(mutations(view), summary) }
    }

    private fun beat(now: Long, version: ViewVersion, current: NodeActivity) {
        nextBeatAtMillis = now + keeping.beatMillis
        val beat = NodeHeartbeat(self.id, version, ++beatCount, current.busy, current.load, current.quarantined)
        if (beats.write(beat) is Verdict.Ran) {
            hasBeaten = true
            toldVersion = version
            toldBusy = current.busy
        }
    }

    private companion object {
        const val RING_CAPACITY = 64
        const val TICK_MILLIS = 100L
        const val JOIN_PAUSE_MILLIS = 200L
        const val JOIN_LOG_PAUSE_MILLIS = 5_000L
        const val FORCED_JOIN_MILLIS = 60_000L
        val LOG = LoggerFactory.getLogger(NodeMembership::class.java)
    }
}
