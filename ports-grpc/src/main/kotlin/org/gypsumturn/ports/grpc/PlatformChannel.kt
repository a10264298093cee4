// The connection to the platform, and the translation of its failures into verdicts. A channel on which a call missed
// its deadline is replaced, since something on the path may have lost track of the connection.

package org.gypsumturn.ports.grpc

import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.grpc.netty.NettyChannelBuilder
import io.grpc.stub.AbstractBlockingStub
import org.gypsumturn.model.Address
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Verdict
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val KEEP_ALIVE_SECONDS = 10L
private const val KEEP_ALIVE_TIMEOUT_SECONDS = 3L
private const val MAX_ANSWER_BYTES = 32 * 1_048_576

/** Whether a failed call can have had an effect. */
internal enum class Effect { READS, WRITES }

internal class PlatformChannel(private val address: Address) : AutoCloseable {
    private val opened = AtomicInteger()
    private val lock = Any()

    @Volatile
    private var channel = open()

    @Volatile
    private var closed = false

    /** Number of channels opened so far. */
    val openedChannels: Int get() = opened.get()

    /** Makes one blocking call with a deadline of [timeoutMillis]. */
    fun <S : AbstractBlockingStub<S>, R> call(
        stubOn: (ManagedChannel) -> S,
        effect: Effect,
        timeoutMillis: Long,
        send: (S) -> R,
    ): Verdict<R> {
        val used = channel
        val tracker = SendTracker()
        val stub =
            stubOn(used)
                .withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)
                .withInterceptors(tracker.interceptor())
        return try {
            Verdict.Ran(send(stub))
        } catch (e: StatusRuntimeException) {
            if (e.status.code == Status.Code.DEADLINE_EXCEEDED) replace(used)
            verdictOf(e.status, effect, tracker.mayHaveSent)
        }
    }

    override fun close() {
        synchronized(lock) {
            closed = true
            channel.shutdownNow()
        }
    }

    // The calls that still run on the old channel end at their deadlines; then it closes.
    private fun replace(used: ManagedChannel) {
        synchronized(lock) {
            if (channel !== used || closed) return
            channel = open()
            used.shutdown()
        }
    }

    private fun open(): ManagedChannel {
        opened.incrementAndGet()
        return NettyChannelBuilder
            .forAddress(InetSocketAddress(address.host, address.port))
            .usePlaintext()
            .directExecutor()
            .disableRetry()
            .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
            .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .maxInboundMessageSize(MAX_ANSWER_BYTES)
            .build()
    }
}

/**
 * The verdict on a call that ended with [status]. The gRPC library itself never makes FAILED_PRECONDITION or
 * INVALID_ARGUMENT, so with these two the platform says that it did nothing; RESOURCE_EXHAUSTED also stands for an
 * answer that was too large, so it proves nothing.
 */
internal fun verdictOf(status: Status, effect: Effect, mayHaveSent: Boolean): Verdict<Nothing> {
    val failure = Failure(failureKindOf(status.code), "the platform: ${status.code} ${status.description.orEmpty()}")
    val refused = status.code == Status.Code.FAILED_PRECONDITION || status.code == Status.Code.INVALID_ARGUMENT
    val certainlyNotRun = effect == Effect.READS || refused || !mayHaveSent
    return if (certainlyNotRun) Verdict.NotRun(failure) else Verdict.MayHaveRun(failure)
}

private fun failureKindOf(code: Status.Code): FailureKind = when (code) {
    Status.Code.DEADLINE_EXCEEDED -> FailureKind.TIMEOUT
    Status.Code.RESOURCE_EXHAUSTED -> FailureKind.OVERLOADED
    Status.Code.INVALID_ARGUMENT, Status.Code.NOT_FOUND -> FailureKind.INVALID
    Status.Code.PERMISSION_DENIED, Status.Code.UNAUTHENTICATED -> FailureKind.FORBIDDEN
    Status.Code.INTERNAL, Status.Code.DATA_LOSS -> FailureKind.BROKEN_ANSWER
    else -> FailureKind.UNREACHABLE
}
