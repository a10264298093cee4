// Runs command lines against a recording administration server and checks the calls, the output and the exit codes.

package org.gypsumturn.cli

import com.google.protobuf.Message
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.runtime.program.ExitCode
import org.gypsumturn.schema.admin.AdminGrpc
import org.gypsumturn.schema.admin.ApplyConfigurationRequest
import org.gypsumturn.schema.admin.CancelJobsReply
import org.gypsumturn.schema.admin.DeleteRequest
import org.gypsumturn.schema.admin.ErrorCode
import org.gypsumturn.schema.admin.Event
import org.gypsumturn.schema.admin.GetRolloutReply
import org.gypsumturn.schema.admin.InstanceRequest
import org.gypsumturn.schema.admin.ListPoolsReply
import org.gypsumturn.schema.admin.MutationReply
import org.gypsumturn.schema.admin.Pool
import org.gypsumturn.schema.admin.WatchEventsRequest
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket

class CommandLineTest : AnnotationSpec() {
    private class CommandResult(val code: Int, val out: String, val err: String)

    private val mutationReply = MutationReply.newBuilder().setVersion(7).build()

    private fun run(vararg args: String): CommandResult {
        val out = mutableListOf<String>()
        val err = mutableListOf<String>()
        val code = runCommandLine(args.toList(), out::add, err::add)
        return CommandResult(code, out.joinToString("\n"), err.joinToString("\n"))
    }

    private fun run(server: String, line: String) = run(*line.split(' ').toTypedArray(), "--server", server)

    private fun closedPort() = "127.0.0.1:${ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }}"

    private fun serverAnswering(vararg messages: Message) = RecordingServer { Reaction.Answer(messages.toList()) }

    private fun temporaryFile(content: String): String {
        val file = File.createTempFile("fleet", ".ini")
        file.deleteOnExit()
        file.writeText(content)
        return file.path
    }

    // Answers with an empty message of the return type of the call.
    private fun emptyAnswer(call: RecordedCall): Reaction {
        val method = AdminGrpc.getServiceDescriptor().methods.single { it.bareMethodName == call.method }
        return Reaction.Answer(listOf(method.parseResponse(ByteArray(0).inputStream()) as Message))
    }

    @Test
    fun `each call of the administration schema is made by exactly one subcommand`() {
        val configFile = temporaryFile("[pool p]\nmax_unavailable = 1\n")
        val lines =
            """
            pools list; pools put p --max-unavailable 1; pools delete p; pools set-budget p --max-unavailable 2
            services list; services put s --pool p; services delete s; teams list; teams put t; teams delete t
            instances list; instances remove i; instances drain i; instances return i; instances reboot i
            instances move i --destination q; waves list; waves start w --pools p,q; waves pause w; waves resume w
            instances add i --pool p --region r --data-centre d --rack k --host 127.0.0.1 --processors-milli 1 --memory-mib 1
            waves abort w; config apply $configFile; rollout status; jobs submit j --pool p --team t; jobs get p j
            jobs list --pool p; jobs cancel --pool p --ids j,k; events watch --count 1; status
            """.trimIndent().split(';', '\n').map {
                it.trim()
            }
        RecordingServer(::emptyAnswer).use { server ->
            lines.associateWith { run(server.address, it).code }.filter { it.value != ExitCode.OK } shouldBe emptyMap()
            val methods = AdminGrpc.getServiceDescriptor().methods.map { it.bareMethodName!! }
            server.calls.map { it.method } shouldContainExactlyInAnyOrder methods
        }
    }

    @Test
    fun `an answer is printed as a table by default and as JSON on request`() {
        val pool = Pool.newBuilder().setId("plans").setRole("SERVING").setMaxUnavailable(2)
        serverAnswering(ListPoolsReply.newBuilder().addPools(pool).setVersion(12).build()).use { server ->
            val table = run(server.address, "pools list").out.lines()
            table.first() shouldContain Regex("^ID +ROLE +MAX_UNAVAILABLE")
            table[1] shouldContain Regex("^plans +SERVING +2")
            table.last() shouldBe "version  12"
            val json = run(server.address, "pools list --output json").out
            json shouldContain "\"maxUnavailable\": 2"
            json shouldContain "\"minInstances\": 0"
        }
    }

    @Test
    fun `a change that did not run at one server is sent to the next one with its header and token`() {
        serverAnswering(mutationReply).use { server ->
            val line = "instances drain plans-1 --operator ann --operation-id o1 --expected-revision 4 --token secret"
            run("${closedPort()},${server.address}", line).code shouldBe ExitCode.OK
            val call = server.calls.single()
            call.authorization shouldBe "Bearer secret"
            val header = (call.request as InstanceRequest).header
            listOf(header.operationId, header.operator, header.expectedRevision) shouldBe listOf("o1", "ann", 4L)
        }
        val bothUnreachable = run("${closedPort()},${closedPort()}", "instances drain plans-1")
        bothUnreachable.code shouldBe ExitCode.FAILED
        bothUnreachable.err shouldContain "not-run"
    }

    @Test
    fun `a change that may have run is repeated at the next server with the same operation id`() {
        RecordingServer { Reaction.FailUnavailable }.use { failing ->
            serverAnswering(mutationReply).use { healthy ->
                run("${failing.address},${healthy.address}", "pools delete p").code shouldBe ExitCode.OK
                val ids = (failing.calls + healthy.calls).map { (it.request as DeleteRequest).header.operationId }
                ids.size shouldBe 2
                ids.distinct().size shouldBe 1
            }
            val unanswered = run(failing.address, "pools delete p --operation-id o9")
            unanswered.code shouldBe ExitCode.MAY_HAVE_RUN
            unanswered.err shouldContain "--operation-id o9"
        }
    }

    @Test
    fun `a rejection is final, unless an earlier attempt may still take effect`() {
        RecordingServer { rejection(ErrorCode.ERROR_CODE_CONFLICT, "pool p has changed", 9) }.use { rejecting ->
            serverAnswering(mutationReply).use { other ->
                val conflict = run("${rejecting.address},${other.address}", "pools delete p")
                conflict.code shouldBe ExitCode.FAILED
                conflict.err shouldBe "gypsumturn: conflict: pool p has changed (current revision 9)"
                other.calls.size shouldBe 0
            }
            RecordingServer { Reaction.FailUnavailable }.use { failing ->
                run("${failing.address},${rejecting.address}", "pools delete p").code shouldBe ExitCode.MAY_HAVE_RUN
            }
        }
        RecordingServer { rejection(ErrorCode.ERROR_CODE_MAY_HAVE_RUN, "the store did not answer") }.use { undecided ->
            run(undecided.address, "pools delete p").code shouldBe ExitCode.MAY_HAVE_RUN
        }
    }

    @Test
    fun `a wrong command line ends with the usage exit code and calls no server`() {
        serverAnswering(mutationReply).use { server ->
            listOf("pools", "pools lst", "pools put p", "pools list --output xml", "status --timeout-millis 0")
                .associateWith { run(server.address, it).code }
                .filter { it.value != ExitCode.USAGE } shouldBe emptyMap()
            run("localhost:1", "status").err shouldContain "bad value \"localhost:1\""
            run("status").code shouldBe ExitCode.USAGE
            server.calls.size shouldBe 0
        }
        run("--help").code shouldBe ExitCode.OK
        run("--version").out shouldBe "gypsumturn 0.1.0"
    }

    @Test
    fun `a configuration file is applied with one call`() {
        val configFile = temporaryFile(
            "[pool plans]\nmax_unavailable = 2\n[service kit-quotes]\npool = plans\nidempotent = false\n" +
                "[team counter]\nshare = 2\n[instance plans-1]\npool = plans\nregion = texas\ndata_centre = dc1\n" +
                "rack = r1\naddress = 127.0.0.1:9100\nslots = 8\nconnections = 64\n[remove]\nteams = old, older\n",
        )
        serverAnswering(mutationReply).use { server ->
            run(server.address, "config apply $configFile").code shouldBe ExitCode.OK
            val request = server.calls.single().request.shouldBeInstanceOf<ApplyConfigurationRequest>()
            request.poolsList.single().maxUnavailable shouldBe 2
            request.servicesList.single().pool shouldBe "plans"
            request.teamsList.single().hasJobQuota() shouldBe false
            request.instancesList.single().port shouldBe 9100
            request.removeTeamsList shouldBe listOf("old", "older")
        }
    }

    @Test
    fun `every problem of a configuration file is reported at once, and nothing is sent`() {
        val configFile =
            temporaryFile("[pol plans]\nx = 1\n[pool plans]\nmax_unavailable = two\n[service s]\npol = plans\n")
        serverAnswering(mutationReply).use { server ->
            val result = run(server.address, "config apply $configFile")
            result.code shouldBe ExitCode.BAD_SETTINGS
            result.err shouldContain "[pol plans] : unknown setting"
            result.err shouldContain "[pool plans] max_unavailable: bad value \"two\"; allowed: a whole number"
            result.err shouldContain "[service s] pol: unknown setting"
            result.err shouldContain "[service s] pool: missing"
            result.err shouldContain "[service s] idempotent: missing"
            server.calls.size shouldBe 0
        }
    }

    @Test
    fun `a watch whose stream ends continues after the last event that it printed`() {
        fun event(version: Long) = Event.newBuilder().setVersion(version).setSummary("change $version").build()
        serverAnswering(event(4), event(5)).use { first ->
            val printedLines = run(first.address, "events watch --after 3 --count 2").out.lines()
            printedLines.map { it.substringBefore(' ') } shouldBe listOf("4", "5")
            run(first.address, "events watch --after 3 --count 3").out.lines().size shouldBe 3
            (first.calls.last().request as WatchEventsRequest).afterVersion shouldBe 5
        }
    }

    @Test
    fun `waiting for a roll-out ends when the version is in force everywhere`() {
        var callCount = 0
        val server = RecordingServer {
            callCount++
            Reaction.Answer(
                listOf(GetRolloutReply.newBuilder().setVersion(6).setInForceEverywhere(callCount > 2).build()),
            )
        }
        server.use {
            run(it.address, "rollout status --wait-millis 60000").code shouldBe ExitCode.OK
            callCount shouldBe 3
        }
    }
}
