// `gypsumturn-bench fault`: injects a fault into the store or into one instance of the running stand-in, or ends it.

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

/**
 * Sets the fault of the instance that [args] name, or the fault of the store if they name none. Without options that
 * describe a fault, ends it. The exit code is 0 only if the stand-in confirmed the call.
 */
internal fun runFaultInjection(args: List<String>, print: (String) -> Unit): Int {
    val parser = ArgParser("gypsumturn-bench fault")
    val standin by parser.option(ArgType.String, "standin", description = "address of the stand-in: ip:port").required()
    val instance by parser
        .option(ArgType.String, "instance", description = "instance that gets the fault; the store if not set")
        .default("")
    val fault by parser
        .option(ArgType.String, "fault", description = "fault of the instance; none ends the fault")
        .default("none")
    val storeDown by parser
        .option(ArgType.Boolean, "store-down", description = "the store fails every call")
        .default(false)
    val delayMillis by parser
        .option(ArgType.Int, "store-delay-millis", description = "additional time that the store takes for each call")
        .default(0)
    val loseAnswerShare by parser
        .option(ArgType.Double, "store-lose-answer-share", description = "share of commits whose answer is lost")
        .default(0.0)
    parser.parse(args.toTypedArray())
    val request = StoreFaultRequest
        .newBuilder()
        .setDown(storeDown)
        .setDelayMillis(delayMillis.toLong())
        .setLoseAnswerShare(loseAnswerShare)
    return callFaultService(standin, print) { faults ->
        if (instance.isEmpty()) {
            faults.setStoreFault(request.build())
        } else {
            faults.setInstanceFault(InstanceFaultRequest.newBuilder().setInstance(instance).setFault(fault).build())
        }
    }
}

private fun callFaultService(
    address: String,
    print: (String) -> Unit,
    call: (FaultsGrpc.FaultsBlockingStub) -> Unit,
): Int {
    val channel = NettyChannelBuilder.forTarget(address).usePlaintext().build()
    return try {
        call(FaultsGrpc.newBlockingStub(channel).withDeadlineAfter(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
        ExitCode.OK
    } catch (e: StatusRuntimeException) {
        print("setting the fault at the stand-in failed: ${e.status}")
        ExitCode.FAILED
    } finally {
        channel.shutdownNow()
    }
}
