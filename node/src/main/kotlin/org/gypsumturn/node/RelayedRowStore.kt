// A store that is reached directly or, where it refuses this machine, through another node. A refused call was not
// done, so it can go another way at once. A call without an answer is the caller's to repeat; until the direct way
// has worked again, calls go through a node first. Where no node reaches the store either, it is down, and nothing is
// gained by asking around.

package org.gypsumturn.node

import org.gypsumturn.batch.port.RowChanges
import org.gypsumturn.batch.port.RowPage
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.port.VerdictCallback
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull
import org.gypsumturn.model.map
import org.gypsumturn.transport.Endpoint
import org.gypsumturn.transport.HttpAnswer
import org.gypsumturn.transport.HttpCall
import org.gypsumturn.transport.HttpClient
import org.gypsumturn.transport.HttpStatus
import org.gypsumturn.transport.ServedAnswer
import org.gypsumturn.transport.ServedRequest

/**
 * The store behind [direct], or behind one of [peers]. Its state belongs to the thread that [onThread] runs actions
 * on.
 */
public class RelayedRowStore(
    private val direct: RowStore,
    private val client: HttpClient,
    private val peers: () -> List<Endpoint>,
    private val nowMillis: () -> Long,
    private val onThread: Post,
) : RowStore {
    @Volatile
    private var directFailedMillis: Long? = null

    @Volatile
    private var answeredMillis = nowMillis()
    private var directTriedMillis = 0L
    private var failedCalls = 0
    private var peersFailedMillis = Long.MIN_VALUE / 2
    private var lastPeer: Endpoint? = null

    override fun transact(
        transaction: RowTransaction,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<TransactionOutcome>,
    ) {
        route(
            { direct.transact(transaction, timeoutMillis, it) },
            { transaction.toRelay(timeoutMillis) },
            RelayAnswer::toOutcome,
            onVerdict,
        )
    }

    override fun read(
        table: String,
        partition: String,
        from: String?,
        limit: Int,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<RowPage>,
    ) {
        route(
            { direct.read(table, partition, from, limit, timeoutMillis, it) },
            {
                RelayCall(
                    RelayKind.READ,
                    timeoutMillis,
                    table = table,
                    partition = partition,
                    from = from,
                    limit = limit,
                )
            },
            RelayAnswer::toPage,
            onVerdict,
        )
    }

    override fun awaitChanges(
        table: String,
        after: Revision,
        waitMillis: Long,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<RowChanges>,
    ) {
        route(
            { direct.awaitChanges(table, after, waitMillis, timeoutMillis, it) },
            {
                RelayCall(
                    RelayKind.FOLLOW,
                    timeoutMillis,
                    table = table,
                    after = after.value,
                    waitMillis = waitMillis,
                )
            },
            RelayAnswer::toChanges,
            onVerdict,
        )
    }

    /**
     * Whether the store has answered neither directly nor through peers for a while, at [nowMillis]. Asked from any
     * thread.
     */
    public fun isAway(nowMillis: Long): Boolean =
        directFailedMillis != null && nowMillis - answeredMillis >= AWAY_MILLIS

    private fun <T> route(
        ask: (VerdictCallback<T>) -> Unit,
        call: () -> RelayCall,
        read: (RelayAnswer) -> T,
        done: VerdictCallback<T>,
    ) {
        onThread {
            choose(ask, call, read) { verdict ->
                if (verdict is Verdict.Ran) answeredMillis = nowMillis()
                done(verdict)
            }
        }
    }

    private fun <T> choose(
        ask: (VerdictCallback<T>) -> Unit,
        call: () -> RelayCall,
        read: (RelayAnswer) -> T,
        done: VerdictCallback<T>,
    ) {
        val now = nowMillis()
        val failing = directFailedMillis != null
        val probe = failing && now - directTriedMillis >= PROBE_MILLIS
        if (failing && !probe && mayRelay(now)) {
            relay(call(), read) { verdict -> if (verdict is Verdict.NotRun) askDirect(ask, done) else done(verdict) }
            return
        }
        askDirect(ask) { verdict ->
            if (verdict is Verdict.NotRun && isWorthRelaying(verdict) && mayRelay(nowMillis())) {
                relay(call(), read) { relayed -> done(if (relayed is Verdict.NotRun) verdict else relayed) }
            } else {
                done(verdict)
            }
        }
    }

    /** One busy partition is as busy for others; a machine whose calls all fail is refused as such. */
    private fun isWorthRelaying(verdict: Verdict.NotRun): Boolean =
        verdict.failure.kind != FailureKind.OVERLOADED || directFailedMillis != null

    private fun <T> askDirect(ask: (VerdictCallback<T>) -> Unit, done: VerdictCallback<T>) {
        directTriedMillis = nowMillis()
        ask { verdict ->
            noteDirect(verdict)
            done(verdict)
        }
    }

    private fun noteDirect(verdict: Verdict<*>) {
        val failure = verdict.failureOrNull()
        if (failure == null || failure.kind == FailureKind.INVALID) {
            if (directFailedMillis != null) logEvent("direct way to the store regained")
            directFailedMillis = null
            failedCalls = 0
            return
        }
        failedCalls++
        val certain = failure.kind != FailureKind.OVERLOADED || failedCalls >= BUSY_CALLS
        if (certain && directFailedMillis == null) {
            logEvent("direct way to the store lost", "why" to failure.message, "peers" to peers().size)
            directFailedMillis = nowMillis()
        }
    }

    private fun mayRelay(now: Long) = peers().isNotEmpty() && now - peersFailedMillis >= PEERS_PAUSE_MILLIS

    private fun <T> relay(call: RelayCall, read: (RelayAnswer) -> T, done: VerdictCallback<T>) {
        val known = peers()
        val first = lastPeer?.takeIf { it in known } ?: known[Math.floorMod(nowMillis(), known.size.toLong()).toInt()]
        val others = known.filter { it != first }
        val second = if (others.isEmpty()) null else others[Math.floorMod(nowMillis(), others.size.toLong()).toInt()]
        relayTo(first, call, read) { verdict ->
            when {
                verdict !is Verdict.NotRun -> done(verdict)

                second == null -> failed(verdict, done)

                else -> relayTo(second, call, read) { again ->
                    if (again is Verdict.NotRun) failed(again, done) else done(again)
                }
            }
        }
    }

    private fun <T> failed(verdict: Verdict<T>, done: VerdictCallback<T>) {
        peersFailedMillis = nowMillis()
        done(verdict)
    }

    private fun <T> relayTo(peer: Endpoint, call: RelayCall, read: (RelayAnswer) -> T, done: VerdictCallback<T>) {
        val body = relayJson.encodeToString(RelayCall.serializer(), call).encodeToByteArray()
        val lane = if (call.kind == RelayKind.FOLLOW) "relay-${call.table}" else "relay"
        val timeoutMillis = call.timeoutMillis + HOP_MILLIS
        client.send(peer, lane, HttpCall("POST", PATH, body), timeoutMillis) { verdict ->
            val answer = relayVerdict(verdict)
            lastPeer = if (answer is Verdict.Ran) peer else lastPeer?.takeIf { it != peer }
            done(answer.map(read))
        }
    }

    private fun relayVerdict(verdict: Verdict<HttpAnswer>): Verdict<RelayAnswer> {
        if (verdict !is Verdict.Ran) return verdict.map { error("no answer") }
        val answer = verdict.value
        return when (answer.status) {
            HttpStatus.OK ->
                Verdict.Ran(relayJson.decodeFromString(RelayAnswer.serializer(), answer.body.decodeToString()))

            HttpStatus.UNAVAILABLE ->
                Verdict.NotRun(Failure(FailureKind.NOT_READY, "the peer does not reach the store"))

            else -> Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "the peer got no answer from the store"))
        }
    }

    /** Serves a peer's call from this node's direct way to the store. */
    public fun handle(request: ServedRequest, reply: (ServedAnswer) -> Unit) {
        val call = relayJson.decodeFromString(RelayCall.serializer(), request.body.decodeToString())
        when (call.kind) {
            RelayKind.TRANSACT -> direct.transact(call.toTransaction(), call.timeoutMillis) { verdict ->
                reply(served(verdict.map { relayAnswerOf(it) }))
            }

            RelayKind.READ ->
                direct.read(call.table, call.partition, call.from, call.limit, call.timeoutMillis) { verdict ->
                    reply(served(verdict.map { relayAnswerOf(it) }))
                }

            RelayKind.FOLLOW ->
                direct.awaitChanges(call.table, Revision(call.after), call.waitMillis, call.timeoutMillis) { verdict ->
                    reply(served(verdict.map { relayAnswerOf(it) }))
                }
        }
    }

    private fun served(verdict: Verdict<RelayAnswer>): ServedAnswer = when (verdict) {
        is Verdict.Ran -> {
            val body = relayJson.encodeToString(RelayAnswer.serializer(), verdict.value).encodeToByteArray()
            ServedAnswer(HttpStatus.OK, body)
        }

        is Verdict.NotRun -> ServedAnswer(HttpStatus.UNAVAILABLE, ByteArray(0))

        is Verdict.MayHaveRun -> ServedAnswer(HttpStatus.GATEWAY_TIMEOUT, ByteArray(0))
    }

    public companion object {
        /** Path of relayed calls between nodes. */
        public const val PATH: String = "/store"

        /** Time between two tries of the direct way while it fails. */
        private const val PROBE_MILLIS = 500L

        /** Busy answers in a row that mean that the machine is refused. */
        private const val BUSY_CALLS = 4

        /** Pause after no peer reached the store. */
        private const val PEERS_PAUSE_MILLIS = 300L

        /** The store is followed with waits of 400 ms; for twice that and a slow answer nothing came. */
        private const val AWAY_MILLIS = 1_000L

        /** Time that a hop between two nodes may add. */
        private const val HOP_MILLIS = 100L
    }
}
