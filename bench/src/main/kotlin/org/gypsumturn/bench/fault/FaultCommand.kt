// `gypsumturn-bench fault`: injects a fault into the running stand-in, or ends it.

package org.gypsumturn.bench.fault

import io.grpc.StatusRuntimeException
import io.grpc.netty.NettyChannelBuilder
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import org.gypsumturn.runtime.program.ExitCode
import org.gypsumturn.schema.platform.FaultsGrpc
import org.gypsumturn.schema.platform.InstanceFaultRequest
import org.gypsumturn.schema.platform.StoreFaultRequest
import java.util.concurrent.TimeUnit

private const val CALL_TIMEOUT_MILLIS = 5_000L

/** Sets the store's fault, or that of the instance which is named. */
internal fun runFault(args: List<String>, print: (String) -> Unit): Int {
    val parser = ArgParser("gypsumturn-bench fault")
    val standin by parser.option(ArgType.String, "standin", description = "address of the stand-in: ip:port").required()
    val instance by parser.option(ArgType.String, "instance", description = "instance that gets the fault").default("")
    val fault by parser
        .option(ArgType.String, "fault", description = "fault of the instance; none ends it")
        .default("none")
    val down by parser.option(ArgType.Boolean, "store-down", description = "the store fails every call").default(false)
    val delay by parser
        .option(ArgType.Int, "store-delay-millis", description = "time that the store takes for a call")
        .default(0)
    val lose by parser
        .option(ArgType.Double, "store-lose-answer-share", description = "share of commits whose answer is lost")
        .default(0.0)
    parser.parse(args.toTypedArray())
    val request = StoreFaultRequest.newBuilder().setDown(down).setDelayMillis(delay.toLong()).setLoseAnswerShare(lose)
    return withFaults(standin, print) { faults ->
        if (instance.isEmpty()) {
            faults.setStoreFault(request.build())
        } else {
            faults.setInstanceFault(InstanceFaultRequest.newBuilder().setInstance(instance).setFault(fault).build())
        }
    }
}

private fun withFaults(address: String, print: (String) -> Unit, call: (FaultsGrpc.FaultsBlockingStub) -> Unit): Int {
    val channel = NettyChannelBuilder.forTarget(address).usePlaintext().build()
    return try {
        call(FaultsGrpc.newBlockingStub(channel).withDeadlineAfter(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
        ExitCode.OK
    } catch (e: StatusRuntimeException) {
        print("the stand-in refused the fault: ${e.status}")
        ExitCode.FAILED
    } finally {
        channel.shutdownNow()
    }
}
