// Tests that pools of jobs change their owner in time. Two control processes share a table in virtual time; each writes
// its heartbeat, reads the heartbeats of both, and runs rounds of its job owner.

package org.gypsumturn.control.job

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.gypsumturn.control.fleet.HeartbeatReader
import org.gypsumturn.jobs.JobAcceptance
import org.gypsumturn.jobs.JobOwner
import org.gypsumturn.model.Address
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobClassId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.Node
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.NodeRole
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.Priority
import org.gypsumturn.model.RackId
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.TeamId
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.ports.fake.FakeWorkerTasks
import org.gypsumturn.ports.fake.TaskScript
import org.gypsumturn.view.NodeHeartbeat
import org.gypsumturn.view.NodeHeartbeatStore

private const val LAPSE_MILLIS = 1_000L
private const val URGENT_BOUND_MILLIS = 2_400L
private const val HEARTBEAT_MILLIS = 300L
private const val READ_INTERVAL_MILLIS = 250L
private const val STEP_MILLIS = 50L
private const val TIMEOUT_MILLIS = 1_000L

class OwnerTakeoverTest : AnnotationSpec() {
    private val pool = PoolId("cutting")
    private val domain = FailureDomain(RegionId("r"), DataCentreId("dc"), RackId("rack"))
    private val ids = listOf(NodeId("control-1"), NodeId("control-2"))
    private val view = FleetView(
        ViewVersion(1),
        persistentMapOf(pool to Pool(pool, PoolRole.WORKING, AvailabilityBudget(1))),
        instances = InstanceId("worker").let {
            val capacity = Capacity(64_000, 65_536)
            persistentMapOf(it to Instance(it, pool, domain, Address("127.0.0.1", 1), capacity, 8, 64))
        },
        nodes = ids.associateWith {
            Node(it, NodeRole.CONTROL, domain.region, domain.dataCentre, Address("127.0.0.1", 2))
        }.toPersistentMap(),
    )

    private inner class Fixture {
        var now = 1_000_000L
        val table = FakeTableStore()
        val workers = FakeWorkerTasks({ now }) { _, _ -> TaskScript(600_000, Capacity(500, 256)) }
        val heartbeatStore = NodeHeartbeatStore(table, TIMEOUT_MILLIS)
        val acceptance = JobAcceptance(table)
        val heartbeatReaders = ids.associateWith { HeartbeatReader(heartbeatStore, LAPSE_MILLIS / 2) }
        val owners = ids.associateWith { JobOwner(table, workers, it) }
        var acceptedCount = 0

        /** Advances the time by [millis]; the processes in [stopped] do not run. */
        fun run(millis: Long, stopped: Set<NodeId> = emptySet()) {
            val end = now + millis
            while (now < end) {
                (ids - stopped).forEach(::runRound)
                now += STEP_MILLIS
            }
        }

        private fun runRound(id: NodeId) {
            val heartbeatReader = heartbeatReaders.getValue(id)
            if (now % READ_INTERVAL_MILLIS == 0L) heartbeatReader.readHeartbeats(now)
            owners.getValue(id).step(now, view, heartbeatReader.eligibleOwners(view, LAPSE_MILLIS))
            if (now % HEARTBEAT_MILLIS < STEP_MILLIS) heartbeatStore.write(NodeHeartbeat(id, ViewVersion(1), now))
        }

        /** Time from the acceptance of an urgent job to its start, while the processes in [stopped] do not run. */
        fun urgentStartMillis(stopped: Set<NodeId> = emptySet()): Long {
            val id = JobId("urgent-${acceptedCount++}")
            val acceptedAt = now
            acceptance.accept(now, spec(id.value), TIMEOUT_MILLIS)
            run(10_000, stopped)
            val runs = workers.runs.filter { it.key.job == id }
            runs.size shouldBe 1
            return runs.single().startedAtMillis - acceptedAt
        }

        fun owner(): NodeId = owners.filterValues { pool in it.ownedPools() }.keys.single()
    }

    @Test
    fun `an urgent job accepted just after the death of its owner starts within the bound`(): Unit = with(Fixture()) {
        run(5_000)
        val stopped = setOf(owner())
        urgentStartMillis(stopped) shouldBeInRange 0L..URGENT_BOUND_MILLIS
    }

    @Test
    fun `a pool returns to its owner after a pause, and an urgent job starts within the bound`(): Unit =
        with(Fixture()) {
            run(5_000)
            val paused = owner()
            run(2_000, setOf(paused))
            owners.getValue((ids - paused).single()).ownedPools() shouldBe listOf(pool)
            urgentStartMillis() shouldBeInRange 0L..URGENT_BOUND_MILLIS
            owner() shouldBe paused
        }

    @Test
    fun `two processes that both act as owner of a pool claim it no more often than the backoff allows`(): Unit =
        with(Fixture()) {
            val epochs = HashSet<Long>()
            repeat(60) { round ->
                acceptance.accept(now, spec("both-$round"), TIMEOUT_MILLIS)
                repeat(20) {
                    owners.forEach { (id, owner) -> owner.step(now, view, setOf(id)) }
                    now += STEP_MILLIS
                }
                workers.runs.mapTo(epochs) { it.key.epoch.value }
            }
            workers.runs.map { it.key.job }.distinct().size shouldBe workers.runs.size
            epochs.size.toLong() shouldBeInRange 1L..MAX_CLAIMS_IN_A_MINUTE
        }

    private fun spec(id: String) = JobSpec(
        JobId(id),
        pool,
        TeamId("plans"),
        JobClassId("saw"),
        Priority.URGENT,
        Capacity(100, 64),
        10_000,
        true,
    )
}

// Each of the two processes claims at most once per longest delay of 5 s, and 5 times while the delay doubles up to it.
private const val MAX_CLAIMS_IN_A_MINUTE = 2L * (60 / 5 + 5)
