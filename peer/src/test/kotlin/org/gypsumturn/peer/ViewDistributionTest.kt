// Tests that nodes keep a common view through the table and through each other, also when they lose the table.

package org.gypsumturn.peer

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.model.Address
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.Node
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.NodeRole
import org.gypsumturn.model.OperationId
import org.gypsumturn.model.OperatorId
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.ports.fake.PortFault
import org.gypsumturn.runtime.settings.HostAndPort
import org.gypsumturn.view.NodeHeartbeatStore
import org.gypsumturn.view.ViewLog
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.seconds

class ViewDistributionTest : AnnotationSpec() {
    private val timing =
        ViewTiming(leaseMillis = 1_500, lapseMillis = 2_500, pollIntervalMillis = 50, heartbeatIntervalMillis = 200)
    private val awaitTimeout = 20.seconds

    /** A node of the system. Nodes share the table [shared]; [isCutOff] cuts only this node off from it. */
    private inner class TestNode(
        name: String,
        shared: FakeTableStore,
        seeds: List<Address> = emptyList(),
        val isCutOff: AtomicBoolean = AtomicBoolean(false),
    ) : AutoCloseable {
        private val clock: () -> Long = { System.nanoTime() / 1_000_000 }
        private val table = CutOffTable(shared, isCutOff)
        private val log = ViewLog(table, 500)
        private val clients = PeerClients(500)
        private var replicaOrNull: ViewReplica? = null
        private val server =
            GrpcServer.open(
                HostAndPort("127.0.0.1", 0),
                listOf(
                    PeerService({
                        checkNotNull(replicaOrNull).answerPeer(it)
                    }),
                ),
            )
        val address = Address("127.0.0.1", server.port)
        private val node = Node(NodeId(name), NodeRole.ENTRY, RegionId("r"), DataCentreId("d"), address)
        val replica = ViewReplica(node, log, clients, seeds, timing, clock).also { replicaOrNull = it }
        val runner = ChangeRunner(replica, log, clock)
        private val membership =
            NodeMembership(
                node,
                replica,
                runner,
                NodeHeartbeatStore(table, 500),
                timing,
                clock,
                System::currentTimeMillis,
            )

        fun start(): TestNode {
            replica.start()
            membership.start()
            return this
        }

        fun putPool(operation: String, pool: String): Verdict<ChangeOutcome<Nothing>> {
            val record = Pool(PoolId(pool), PoolRole.SERVING, AvailabilityBudget(1))
            val header = ChangeHeader(OperationId(operation), OperatorId("ana"), 1)
            return runner.run(header) { ChangeDecision.Make(listOf(Mutation.PutPool(record)), "put $pool") }
        }

        override fun close() {
            membership.close()
            crash()
        }

        /** Stops the node without removing it from the view. */
        fun crash() {
            replica.close()
            clients.close()
            server.close()
        }
    }

    private fun TestNode.makeChange(operation: String): ChangeOutcome.Made = putPool(operation, "plans")
        .shouldBeInstanceOf<Verdict.Ran<ChangeOutcome<Nothing>>>()
        .value
        .shouldBeInstanceOf<ChangeOutcome.Made>()

    private suspend fun awaitMembership(nodes: List<TestNode>) {
        nodes.forEach { node ->
            eventually(awaitTimeout) {
                node.replica.currentView().nodes.size shouldBe nodes.size
                node.replica.readiness().ready shouldBe true
            }
        }
    }

    private suspend fun awaitReadiness(node: TestNode, expected: Boolean) =
        eventually(awaitTimeout) { node.replica.readiness().ready shouldBe expected }

    @Test
    suspend fun `a change made at one node takes effect on all nodes`() {
        val table = FakeTableStore()
        val nodes = listOf("a", "b", "c").map { TestNode(it, table).start() }
        nodes.forEach { awaitReadiness(it, true) }
        nodes[2].makeChange("op1").repeated shouldBe false
        nodes.forEach { node ->
            eventually(awaitTimeout) {
                (PoolId("plans") in node.replica.currentView().pools) shouldBe
                    true
            }
        }
        nodes.forEach { it.close() }
    }

    @Test
    suspend fun `a change is made once when its operation id is repeated`() {
        val table = FakeTableStore()
        val node = TestNode("a", table).start()
        awaitReadiness(node, true)
        val first = node.makeChange("op1")
        val again = node.makeChange("op1")
        again.repeated shouldBe true
        again.version shouldBe first.version
        node.close()
    }

    @Test
    suspend fun `a node that alone cannot reach the table gets changes from its peers and stays ready`() {
        val table = FakeTableStore()
        val nodes = listOf("a", "b", "c").map { TestNode(it, table).start() }
        awaitMembership(nodes)
        nodes[0].isCutOff.set(true)
        nodes[1].putPool("op1", "plans")
        eventually(awaitTimeout) { (PoolId("plans") in nodes[0].replica.currentView().pools) shouldBe true }
        awaitReadiness(nodes[0], true)
        nodes.forEach { it.close() }
    }

    @Test
    suspend fun `nodes stay ready while no node reaches the table, and a starting node gets the view from a peer`() {
        val down = AtomicBoolean(false)
        val table = FakeTableStore { if (down.get()) PortFault.REFUSE else PortFault.NONE }
        val nodes = listOf("a", "b", "c").map { TestNode(it, table).start() }
        awaitMembership(nodes)
        nodes[0].putPool("op1", "plans")
        nodes.forEach { node ->
            eventually(awaitTimeout) {
                (PoolId("plans") in node.replica.currentView().pools) shouldBe
                    true
            }
        }
        down.set(true)
        Thread.sleep(timing.leaseMillis * 2)
        nodes.forEach { awaitReadiness(it, true) }
        val starter = TestNode("d", table, seeds = listOf(nodes[1].address)).start()
        awaitReadiness(starter, true)
        (PoolId("plans") in starter.replica.currentView().pools) shouldBe true
        (nodes + starter).forEach { it.close() }
    }

    @Test
    suspend fun `a node that reaches neither the table nor its peers is not ready after its lease has expired`() {
        val table = FakeTableStore()
        val node = TestNode("a", table).start()
        val others = listOf("b", "c").map { TestNode(it, table).start() }
        awaitMembership(others + node)
        node.isCutOff.set(true)
        others.forEach { it.crash() }
        awaitReadiness(node, false)
        node.close()
    }
}
