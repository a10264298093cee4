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

class ViewSpreadTest : AnnotationSpec() {
    private val keeping =
        ViewKeeping(leaseMillis = 1_500, lapseMillis = 2_500, pollMillis = 50, beatMillis = 200)
    private val patience = 20.seconds

    /** A node of the system over a table that [cut] takes away from this node alone. */
    private inner class TestNode(
        name: String,
        shared: FakeTableStore,
        seeds: List<Address> = emptyList(),
        val cut: AtomicBoolean = AtomicBoolean(false),
    ) : AutoCloseable {
        private val clock: () -> Long = { System.nanoTime() / 1_000_000 }
        private val table = CutOffTable(shared, cut)
        private val log = ViewLog(table, 500)
        private val clients = PeerClients(500)
        private var kept: ViewKeeper? = null
        private val port =
            GrpcPort.open(HostAndPort("127.0.0.1", 0), listOf(PeerService({ checkNotNull(kept).answer(it) })))
        val address = Address("127.0.0.1", port.port)
        private val node = Node(NodeId(name), NodeRole.ENTRY, RegionId("r"), DataCentreId("d"), address)
        val keeper = ViewKeeper(node, log, clients, seeds, keeping, clock).also { kept = it }
        val runner = ChangeRunner(keeper, log, clock)
        private val membership =
            NodeMembership(
                node,
                keeper,
                runner,
                NodeHeartbeatStore(table, 500),
                keeping,
                clock,
                System::currentTimeMillis,
            )

        fun start(): TestNode {
            keeper.start()
            membership.start()
            return this
        }

        fun put(operation: String, pool: String): Verdict<ChangeOutcome<Nothing>> {
            val record = Pool(PoolId(pool), PoolRole.SERVING, AvailabilityBudget(1))
            val header = ChangeHeader(OperationId(operation), OperatorId("ana"), 1)
            return runner.run(header) { ChangeDecision.Make(listOf(Mutation.PutPool(record)), "put $pool") }
        }

        override fun close() {
            membership.close()
            crash()
        }

        /** Ends the node without taking it out of the view. */
        fun crash() {
            keeper.close()
            clients.close()
            port.close()
        }
    }

    private fun TestNode.made(operation: String): ChangeOutcome.Made = put(operation, "plans")
        .shouldBeInstanceOf<Verdict.Ran<ChangeOutcome<Nothing>>>()
        .value
        .shouldBeInstanceOf<ChangeOutcome.Made>()

    private suspend fun joined(nodes: List<TestNode>) {
        nodes.forEach { node ->
            eventually(patience) {
                node.keeper.currentView().nodes.size shouldBe nodes.size
                node.keeper.readiness().ready shouldBe true
            }
        }
    }

    private suspend fun ready(node: TestNode, expected: Boolean) =
        eventually(patience) { node.keeper.readiness().ready shouldBe expected }

    @Test
    suspend fun `a change made at one node comes into force at all`() {
        val table = FakeTableStore()
        val nodes = listOf("a", "b", "c").map { TestNode(it, table).start() }
        nodes.forEach { ready(it, true) }
        nodes[2].made("op1").repeated shouldBe false
        nodes.forEach { node ->
            eventually(patience) {
                (PoolId("plans") in node.keeper.currentView().pools) shouldBe
                    true
            }
        }
        nodes.forEach { it.close() }
    }

    @Test
    suspend fun `a repeated operation is made once`() {
        val table = FakeTableStore()
        val node = TestNode("a", table).start()
        ready(node, true)
        val first = node.made("op1")
        val again = node.made("op1")
        again.repeated shouldBe true
        again.version shouldBe first.version
        node.close()
    }

    @Test
    suspend fun `a node cut off from the table alone goes on through its peers`() {
        val table = FakeTableStore()
        val nodes = listOf("a", "b", "c").map { TestNode(it, table).start() }
        joined(nodes)
        nodes[0].cut.set(true)
        nodes[1].put("op1", "plans")
        eventually(patience) { (PoolId("plans") in nodes[0].keeper.currentView().pools) shouldBe true }
        ready(nodes[0], true)
        nodes.forEach { it.close() }
    }

    @Test
    suspend fun `a table out of reach for all stops nobody, and a starting node takes the view from its peers`() {
        val down = AtomicBoolean(false)
        val table = FakeTableStore { if (down.get()) PortFault.REFUSE else PortFault.NONE }
        val nodes = listOf("a", "b", "c").map { TestNode(it, table).start() }
        joined(nodes)
        nodes[0].put("op1", "plans")
        nodes.forEach { node ->
            eventually(patience) {
                (PoolId("plans") in node.keeper.currentView().pools) shouldBe
                    true
            }
        }
        down.set(true)
        Thread.sleep(keeping.leaseMillis * 2)
        nodes.forEach { ready(it, true) }
        val starter = TestNode("d", table, seeds = listOf(nodes[1].address)).start()
        ready(starter, true)
        (PoolId("plans") in starter.keeper.currentView().pools) shouldBe true
        (nodes + starter).forEach { it.close() }
    }

    @Test
    suspend fun `a node cut off from the table and from its peers stops when its lease has run out`() {
        val table = FakeTableStore()
        val node = TestNode("a", table).start()
        val others = listOf("b", "c").map { TestNode(it, table).start() }
        joined(others + node)
        node.cut.set(true)
        others.forEach { it.crash() }
        ready(node, false)
        node.close()
    }
}
