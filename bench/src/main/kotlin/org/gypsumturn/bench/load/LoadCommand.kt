// `gypsumturn-bench load`: sends requests and jobs to entries for a bounded time and count, and compares the answers
// with the executions that the stand-in has recorded.

package org.gypsumturn.bench.load

import io.grpc.ManagedChannel
import io.grpc.netty.NettyChannelBuilder
import org.gypsumturn.runtime.program.CommandLineExit
import org.gypsumturn.runtime.program.ExitCode
import org.gypsumturn.runtime.settings.HostAndPort
import org.gypsumturn.schema.platform.ExecutionsRequest
import org.gypsumturn.schema.platform.FaultsGrpc
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val SETTLE_MILLIS = 1_000L
private const val READ_TIMEOUT_SECONDS = 10L
private const val MAX_ANSWER_BYTES = 256 * 1_048_576

/** Runs the load tool with [args]; the exit code is 0 only if nothing was lost, doubled, crossed or falsely not run. */
internal fun runLoad(args: List<String>, print: (String) -> Unit): Int = try {
    val options = LoadOptions.parse(args)
    val result = measureLoad(options, System.currentTimeMillis().toString(radix = 36))
    print(result.format(options.format))
    if (result.holds) ExitCode.OK else ExitCode.FAILED
} catch (e: CommandLineExit) {
    print(e.text)
    e.exitCode
}

/** Sends the load of [options] and checks the outcomes. [run] is part of all ids, so that different runs share none. */
internal fun measureLoad(options: LoadOptions, run: String): LoadResult {
    val plan = planLoad(options, run)
    val caller = Caller(options.entries, EntryHttp(options.timeoutMillis), options.retryWindowMillis)
    val standin = openStandin(options.standin)
    try {
        val faults = CompletableFuture.supplyAsync { injectFaults(options.faults, standin) }
        val jobs = CompletableFuture.supplyAsync { JobRun(options, caller, plan.jobs).run() }
        val sent = sendRequests(options, plan.requests, caller)
        val submitted = jobs.join()
        val remarks = faults.join() + remarksOn(sent, submitted)
        Thread.sleep(SETTLE_MILLIS)
        return compareWithExecutions(sent, submitted, readExecutions(standin), remarks)
    } finally {
        standin.shutdownNow()
    }
}

private fun compareWithExecutions(
    sent: List<SentRequest>,
    jobs: List<SubmittedJob>,
    executions: Executions,
    remarks: List<String>,
): LoadResult {
    val counts = listOf(
        countRequests(CallKind.IDEMPOTENT, sent, executions),
        countRequests(CallKind.KEYED, sent, executions),
        countJobs(jobs, executions),
    )
    return LoadResult(counts.filter { it.sent > 0 }, executions.interrupted.size, remarks)
}

private fun openStandin(address: HostAndPort): ManagedChannel = NettyChannelBuilder
    .forAddress(InetSocketAddress(address.host, address.port))
    .usePlaintext()
    .maxInboundMessageSize(MAX_ANSWER_BYTES)
    .build()

private fun readExecutions(standin: ManagedChannel): Executions {
    val stub = FaultsGrpc.newBlockingStub(standin).withDeadlineAfter(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    val reply = stub.getExecutions(ExecutionsRequest.getDefaultInstance())
    return Executions(
        reply.requestsList.associate { it.key to it.times },
        reply.jobsList.associate { it.key to it.times },
        reply.interruptedByRebootList,
    )
}
