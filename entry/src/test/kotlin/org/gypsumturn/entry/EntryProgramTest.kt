// Checks whole entries that are started from settings files and use a fake platform over gRPC.

package org.gypsumturn.entry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.OperationId
import org.gypsumturn.model.OperatorId
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.peer.GrpcServer
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.ports.grpc.PlatformServices
import org.gypsumturn.runtime.metrics.Metrics
import org.gypsumturn.runtime.settings.HostAndPort
import org.gypsumturn.runtime.settings.SettingsResult
import org.gypsumturn.runtime.trace.Tracing
import org.gypsumturn.view.NodeHeartbeat
import org.gypsumturn.view.NodeHeartbeatStore
import org.gypsumturn.view.Proposal
import org.gypsumturn.view.ProposalOutcome
import org.gypsumturn.view.ViewLog
import java.io.File
import java.net.ServerSocket
import java.util.concurrent.CountDownLatch

class EntryProgramTest : AnnotationSpec() {
    private val table = FakeTableStore()
    private val log = ViewLog(table, 1_000)

    private fun freePort() = ServerSocket(0).use { it.localPort }

    private fun entry(name: String, platformPort: Int): EntryProgram {
        val file = File.createTempFile(name, ".ini")
        file.deleteOnExit()
        file.writeText(
            """
            [node]
            name = $name
            region = texas
            data_centre = austin
            [metrics]
            address = 127.0.0.1:0
            [platform]
            address = 127.0.0.1:$platformPort
            [peer]
            address = 127.0.0.1:${freePort()}
            [view]
            poll_millis = 50
            beat_millis = 100
            [entry]
            address = 127.0.0.1:0
            balancer_lag_millis = 0
            """.trimIndent(),
        )
        val loaded = EntrySettings.schema.load(file) as SettingsResult.Loaded
        return EntryProgram(loaded.settings, Tracing.none(), Metrics()).apply { start() }
    }

    private fun proposeChange(operation: String, mutations: (FleetView) -> List<Mutation>): ViewVersion {
        var outcome: ProposalOutcome = ProposalOutcome.StaleBase
        while (outcome !is ProposalOutcome.Accepted) {
            val stored = log.load().valueOrNull()!!.stored
            val proposal = Proposal(OperationId(operation), OperatorId("ana"), 1, "test", mutations(stored.view))
            outcome = log.propose(stored, proposal).valueOrNull()!!
        }
        return outcome.change.version
    }

    private fun putMutations(fleet: FleetView): List<Mutation> = fleet.pools.values.map { Mutation.PutPool(it) } +
        fleet.services.values.map { Mutation.PutService(it) } +
        fleet.instances.values.map { Mutation.PutInstance(it) }

    private fun readHeartbeats(): List<NodeHeartbeat> = NodeHeartbeatStore(table, 1_000).readAll().valueOrNull()!!.map {
        it.heartbeat
    }

    private fun withEntries(target: FakeTarget, test: (List<EntryProgram>) -> Unit) =
        GrpcServer.open(HostAndPort("127.0.0.1", 0), listOf(PlatformServices.table(table))).use { platform ->
            proposeChange("fleet-${target.port}") { putMutations(viewOf(listOf(target.port))) }
            val programs = listOf("entry-1", "entry-2").map { entry(it, platform.port) }
            programs.forEach { program -> await { RawCaller(program.port).use { it.isReady() } } }
            try {
                test(programs)
            } finally {
                programs.forEach { it.shutDown() }
            }
        }

    private fun RawCaller.isReady() = call("/health/ready", method = "GET").status == 200

    @Test
    fun `entries join the view, serve requests, exchange slot reports and leave`() = FakeTarget().use { target ->
        withEntries(target) { programs ->
            programs.forEach { program ->
                RawCaller(program.port).use { it.call("/services/orders/", "via ${program.port}").body } shouldBe
                    "via ${program.port}"
                await { program.receivedReportCount > 0 }
            }
        }
        log.load().valueOrNull()!!.stored.view.nodes.size shouldBe 0
        readHeartbeats() shouldBe emptyList()
    }

    @Test
    fun `heartbeats list a draining instance as busy until its last request has ended`() {
        val arrived = CountDownLatch(1)
        val proceed = CountDownLatch(1)
        FakeTarget { request, socket ->
            arrived.countDown()
            proceed.await()
            socket.answer(request.body)
        }.use { target ->
            withEntries(target) { programs ->
                RawCaller(programs[0].port).use { caller ->
                    caller.send("/services/orders/", "held")
                    arrived.await()
                    val drained = proposeChange("drain") { view ->
                        val instance = view.instances.getValue(InstanceId("i0"))
                        listOf(Mutation.PutInstance(instance.copy(state = InstanceState.DRAINING)))
                    }
                    await { readHeartbeats().count { it.version >= drained } == 2 }
                    readHeartbeats().flatMap { it.busy } shouldBe listOf(InstanceId("i0"))
                    proceed.countDown()
                    caller.read().body shouldBe "held"
                    await { readHeartbeats().all { it.version >= drained && it.busy.isEmpty() } }
                }
            }
        }
    }
}
