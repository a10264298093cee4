// Tests the client of the platform against a gRPC server with in-memory ports: results and verdicts on failed calls.

package org.gypsumturn.ports.grpc

import io.grpc.Server
import io.grpc.Status
import io.grpc.netty.NettyServerBuilder
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.model.Address
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.ports.CommitOutcome
import org.gypsumturn.ports.Condition
import org.gypsumturn.ports.ObjectName
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.Transaction
import org.gypsumturn.ports.Write
import org.gypsumturn.ports.fake.FakeObjectStore
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.ports.fake.PortFault
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket

class PlatformClientTest : AnnotationSpec() {
    private val loopback = InetAddress.getLoopbackAddress()
    private val key = RowKey("a/1")
    private val put = Transaction(listOf(Condition(key, Revision.ABSENT)), listOf(Write(key, "x")))

    private fun serve(table: FakeTableStore, objects: FakeObjectStore = FakeObjectStore()): Server = NettyServerBuilder
        .forAddress(InetSocketAddress(loopback, 0))
        .addService(PlatformServices.table(table))
        .addService(PlatformServices.objects(objects))
        .build()
        .start()

    private fun <T> withClient(server: Server, block: (PlatformClient) -> T): T = try {
        PlatformClient(Address(loopback.hostAddress, server.port)).use(block)
    } finally {
        server.shutdownNow()
    }

    @Test
    fun `rows and objects are read as written, and absent ones are reported as absent`() {
        withClient(serve(FakeTableStore())) { client ->
            client.table.commit(put, 5_000).valueOrNull().shouldBeInstanceOf<CommitOutcome.Committed>()
            val conflict = client.table.commit(put, 5_000).valueOrNull()
            conflict.shouldBeInstanceOf<CommitOutcome.Conflict>().changed.single().value shouldBe "x"
            val rows = client.table.read(listOf(key, RowKey("a/2")), 5_000).valueOrNull()!!
            rows.map { it.value } shouldBe listOf("x", null)
            client.table.scan("a/", key, 10, 5_000).valueOrNull() shouldBe emptyList()
            client.objects.put(ObjectName("o"), ByteArray(0), 5_000) shouldBe Verdict.Ran(Unit)
            client.objects.get(ObjectName("o"), 5_000).valueOrNull()!!.size shouldBe 0
            client.objects.get(ObjectName("p"), 5_000) shouldBe Verdict.Ran(null)
        }
    }

    @Test
    fun `a refused commit is not run, and one whose answer is lost may have run and is found by a read`() {
        var fault = PortFault.REFUSE
        withClient(serve(FakeTableStore { fault })) { client ->
            client.table.commit(put, 5_000).shouldBeInstanceOf<Verdict.NotRun>()
            client.table.read(listOf(key), 5_000).shouldBeInstanceOf<Verdict.NotRun>()
            fault = PortFault.LOSE_ANSWER
            val lost = client.table.commit(put, 300).shouldBeInstanceOf<Verdict.MayHaveRun>()
            lost.failure.kind shouldBe FailureKind.TIMEOUT
            fault = PortFault.NONE
            client.table.read(listOf(key), 5_000).valueOrNull()!!.single().value shouldBe "x"
        }
    }

    @Test
    fun `a commit to a port on which nothing listens is not run`() {
        val freePort = ServerSocket(0, 1, loopback).use { it.localPort }
        PlatformClient(Address(loopback.hostAddress, freePort)).use { client ->
            client.table.commit(put, 5_000).shouldBeInstanceOf<Verdict.NotRun>()
        }
    }

    @Test
    fun `a silent connection is replaced after a timeout, and the next call succeeds`() {
        val server = serve(FakeTableStore())
        SilentProxy(loopback, server.port).use { proxy ->
            PlatformClient(Address(loopback.hostAddress, proxy.port)).use { client ->
                client.table.read(listOf(key), 5_000).shouldBeInstanceOf<Verdict.Ran<*>>()
                proxy.silenceOpenConnections()
                client.table.commit(put, 300).shouldBeInstanceOf<Verdict.MayHaveRun>()
                client.table.read(listOf(key), 5_000).shouldBeInstanceOf<Verdict.Ran<*>>()
                client.openedChannels shouldBe 2
            }
        }
        server.shutdownNow()
    }

    @Test
    fun `only the statuses that the gRPC library never generates prove that a sent write did not run`() {
        val provingNotRun =
            Status.Code.values().filter { it != Status.Code.OK }.filter { code ->
                verdictOf(code.toStatus(), Effect.WRITES, mayHaveSent = true) is Verdict.NotRun
            }
        provingNotRun shouldBe listOf(Status.Code.INVALID_ARGUMENT, Status.Code.FAILED_PRECONDITION)
    }
}
