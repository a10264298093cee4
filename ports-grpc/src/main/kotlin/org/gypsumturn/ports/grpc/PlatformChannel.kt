// gRPC channel to the platform, and the mapping of failed calls to verdicts. When a call misses its deadline, its
// channel is replaced: a proxy or firewall on the path may have dropped the connection without closing it, and later
// calls on that channel would time out too.

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

/** Whether a call only reads or can change something on the platform. A failed read never counts as possibly run. */
internal enum class Effect { READS, WRITES }

internal class PlatformChannel(private val address: Address) : AutoCloseable {
    private val openedCount = AtomicInteger()
    private val lock = Any()

    @Volatile
    private var channel = open()

    @Volatile
    private var closed = false

    /** Number of channels opened so far. */
    val openedChannels: Int get() = openedCount.get()

    /** Makes one blocking call with a deadline of [timeoutMillis]. Does not retry; returns a failure as a verdict. */
    fun <S : AbstractBlockingStub<S>, R> call(
        newStub: (ManagedChannel) -> S,
        effect: Effect,
        timeoutMillis: Long,
        send: (S) -> R,
    ): Verdict<R> {
        val usedChannel = channel
        val tracker = SendTracker()
        val stub =
            newStub(usedChannel)
                .withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)
                .withInterceptors(tracker.interceptor())
        return try {
            Verdict.Ran(send(stub))
        } catch (e: StatusRuntimeException) {
            if (e.status.code == Status.Code.DEADLINE_EXCEEDED) replaceChannel(usedChannel)
            verdictOf(e.status, effect, tracker.mayHaveSent)
        }
    }

    override fun close() {
        synchronized(lock) {
            closed = true
            channel.shutdownNow()
        }
    }

    // Calls in flight on the old channel run on until their deadlines. The channel closes after the last of them.
    private fun replaceChannel(usedChannel: ManagedChannel) {
        synchronized(lock) {
            if (channel !== usedChannel || closed) return
            channel = open()
            usedChannel.shutdown()
        }
    }

    private fun open(): ManagedChannel {
        openedCount.incrementAndGet()
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
 * The verdict on a call that failed with [status]. A write that may have been sent counts as not run only with
 * FAILED_PRECONDITION or INVALID_ARGUMENT: the gRPC library never generates these two, so they come from the platform,
 * which uses them for calls without effect. RESOURCE_EXHAUSTED proves nothing, since the library also reports it for an
 * answer that is too large.
 */
internal fun verdictOf(status: Status, effect: Effect, mayHaveSent: Boolean): Verdict<Nothing> {
    val failure =
        Failure(failureKindOf(status.code), "the platform: ${status.code} ${status.description.orEmpty()}")
    val isRefusal = status.code == Status.Code.FAILED_PRECONDITION || status.code == Status.Code.INVALID_ARGUMENT
    val certainlyNotRun = effect == Effect.READS || isRefusal || !mayHaveSent
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
