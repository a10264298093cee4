// Tests the stand-in through its gRPC services and the HTTP ports of its executors: requests, reboots and faults.

package org.gypsumturn.standin

import io.grpc.ManagedChannel
import io.grpc.netty.NettyChannelBuilder
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.gypsumturn.model.Address
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.ports.ListedState
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.grpc.PlatformClient
import org.gypsumturn.runtime.settings.NamedCount
import org.gypsumturn.runtime.trace.Tracing
import org.gypsumturn.schema.platform.ExecutionsRequest
import org.gypsumturn.schema.platform.FaultsGrpc
import org.gypsumturn.schema.platform.InstanceFaultRequest
import org.gypsumturn.schema.platform.StoreFaultRequest
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.net.http.HttpTimeoutException
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import kotlin.time.Duration.Companion.seconds

class StandinTest : AnnotationSpec() {
    private val id = InstanceId("plans-1")
    private val options = StandinOptions(
        address = Address("127.0.0.1", 0),
        region = RegionId("texas"),
        dataCentres = listOf("dc1", "dc2"),
        executors = InstanceGroups(listOf(NamedCount("plans", 1)), Capacity(8_000, 16_384), 4),
        workers = InstanceGroups(listOf(NamedCount("worker", 2)), Capacity(16_000, 32_768), 4),
        firstPort = 0,
        slots = 2,
        connections = 3,
        meanWorkMillis = 1,
        listLagMillis = 0,
        rebootMillis = 300,
        usageLagMillis = 0,
        seed = 7,
    )
    private lateinit var standin: Standin
    private lateinit var client: PlatformClient
    private lateinit var channel: ManagedChannel
    private lateinit var http: HttpClient
    private val faults get() = FaultsGrpc.newBlockingStub(channel)

    @BeforeEach
    fun start() {
        standin = Standin(options, Tracing.none(), PrometheusRegistry()).also { it.start() }
        client = PlatformClient(Address("127.0.0.1", standin.port))
        channel = NettyChannelBuilder.forAddress("127.0.0.1", standin.port).usePlaintext().build()
        http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    }

    @AfterEach
    fun stop() {
        channel.shutdownNow()
        client.close()
        standin.close()
    }

    private fun listedInstances() = client.instances.list(5_000).valueOrNull()!!.instances

    private fun send(
        requestId: String,
        workMillis: Long,
        timeoutMillis: Long = 10_000,
    ): CompletableFuture<HttpResponse<String>> {
        val address = listedInstances().single { it.id == id }.address
        val request =
            HttpRequest
                .newBuilder(URI("http://$address/plan"))
                .header("X-Request-Id", requestId)
                .header("X-Work-Millis", "$workMillis")
                .timeout(Duration.ofMillis(timeoutMillis))
                .POST(HttpRequest.BodyPublishers.ofString("body of $requestId"))
                .build()
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
    }

    private fun executions() = faults.getExecutions(ExecutionsRequest.getDefaultInstance())

    private fun timesRun(key: String) = executions().requestsList.find { it.key == key }?.times ?: 0

    private fun setFault(fault: String) {
        faults.setInstanceFault(InstanceFaultRequest.newBuilder().setInstance(id.value).setFault(fault).build())
    }

    private fun failureOf(answer: CompletableFuture<*>): Throwable? =
        runCatching { answer.get() }.exceptionOrNull().shouldBeInstanceOf<ExecutionException>().cause

    @Test
    fun `an answer repeats the content of its request, which runs once`() {
        val answer = send("r1", 0).get()
        answer.statusCode() shouldBe 200
        answer.body() shouldContain "request=r1\n"
        answer.body() shouldContain "body=body of r1\n"
        timesRun("r1") shouldBe 1
    }

    @Test
    fun `a request is refused and does not run if no slot is free`() = runTest {
        val running = listOf(send("a", 1_500), send("b", 1_500))
        eventually(5.seconds) { timesRun("a") + timesRun("b") shouldBe 2 }
        val refused = send("c", 0).get()
        refused.statusCode() shouldBe 503
        refused.headers().firstValue("X-Overloaded").get() shouldBe "true"
        timesRun("c") shouldBe 0
        running.map { it.get().statusCode() } shouldBe listOf(200, 200)
    }

    @Test
    fun `a reboot interrupts requests, refuses connections and increases the boot count`() = runTest {
        val interrupted = send("cut", 60_000)
        eventually(5.seconds) { timesRun("cut") shouldBe 1 }
        client.instances.reboot(id, 5_000) shouldBe Verdict.Ran(Unit)
        failureOf(interrupted).shouldBeInstanceOf<IOException>()
        executions().interruptedByRebootList shouldContain "cut"
        failureOf(send("away", 0)).shouldBeInstanceOf<IOException>()
        eventually(5.seconds) {
            listedInstances().single { it.id == id }.bootCount shouldBe 2
            send("back", 0).get().statusCode() shouldBe 200
        }
        timesRun("away") shouldBe 0
    }

    @Test
    fun `the silent fault affects only connections that are already open`() {
        send("before", 0).get().statusCode() shouldBe 200
        setFault("silent")
        failureOf(send("lost", 0, 500)).shouldBeInstanceOf<HttpTimeoutException>()
        send("new", 0).get().statusCode() shouldBe 200
        timesRun("lost") shouldBe 0
    }

    @Test
    fun `an executor with the refuse fault runs no request until the fault is removed`() = runTest {
        setFault("refuse")
        failureOf(send("turned-away", 0)).shouldBeInstanceOf<IOException>()
        setFault("none")
        eventually(5.seconds) { send("taken", 0).get().statusCode() shouldBe 200 }
        timesRun("turned-away") shouldBe 0
    }

    @Test
    fun `a request runs if its answer is cut off or reports an error`() {
        setFault("cut")
        failureOf(send("half", 0)).shouldBeInstanceOf<IOException>()
        setFault("error")
        send("broken", 0).get().statusCode() shouldBe 500
        listOf("half", "broken").map(::timesRun) shouldBe listOf(1, 1)
    }

    @Test
    fun `an instance is listed as leaving, and a store that is down refuses calls`() {
        setFault("leaving")
        listedInstances().single { it.id == id }.state shouldBe ListedState.LEAVING
        faults.setStoreFault(StoreFaultRequest.newBuilder().setDown(true).build())
        client.table.read(listOf(RowKey("a")), 5_000).shouldBeInstanceOf<Verdict.NotRun>()
        faults.setStoreFault(StoreFaultRequest.newBuilder().build())
        client.table.read(listOf(RowKey("a")), 5_000).shouldBeInstanceOf<Verdict.Ran<*>>()
    }

    private fun runTest(block: suspend () -> Unit) = kotlinx.coroutines.runBlocking { block() }
}
