// A store that is called directly or, if it refuses this machine, through another node. A call that the store has
// refused had no effect, so that it can be relayed at once. A call without an answer may have had an effect, so that
// only the caller may repeat it. While direct calls fail, all calls are relayed, and reads of a single row test the
// direct way: a call of a caller that went to a silent store would be lost for its whole timeout. A node whose own
// direct calls fail declines to relay at once. If no other node reaches the store either, the store is down, and calls
// are not relayed for a while.

package org.gypsumturn.node

import kotlinx.serialization.SerializationException
import org.gypsumturn.batch.lease.LeaseRows
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
 * The store that is reached by [direct], or through one of [peers].
 *
 * @param runOnThread runs an action on the thread that owns the state of this store
 */
public class RelayedRowStore(
    private val direct: RowStore,
    private val client: HttpClient,
    private val peers: () -> List<Endpoint>,
    private val nowMillis: () -> Long,
    private val runOnThread: Post,
) : RowStore,
    StoreContact {
    @Volatile
    private var directFailingSinceMillis: Long? = null

    @Volatile
    override var lastAnswerMillis: Long = nowMillis()
        private set

    @Volatile
    override var failedCallSentMillis: Long? = null
        private set

    @Volatile
    private var lastRelayedAnswerMillis = Long.MIN_VALUE / 2
    private var lastDirectCallMillis = 0L

    /** Numbers of the newest direct call that was sent, and of the newest one that was answered. */
    private var sentDirectCall = 0L
    private var answeredDirectCall = 0L
    private var probePending = false
    private var failedDirectCalls = 0
    private var peersFailedMillis = Long.MIN_VALUE / 2
    private var lastAnsweringPeer: Endpoint? = null

    /** Number of long polls that have no answer yet, by the way that they take (null for the direct one) and table. */
    private val openPolls = HashMap<Pair<Endpoint?, String>, Int>()

    /** Peers that gave no answer in time, and until when they are passed over. */
    private val silentPeers = HashMap<Endpoint, Long>()

    override fun transact(
        transaction: RowTransaction,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<TransactionOutcome>,
    ) {
        callAndTrackAnswers(
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
        callAndTrackAnswers(
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
        callAndTrackAnswers(
            { onAnswer ->
                val onEnd = countOpenPoll(null, table)
                direct.awaitChanges(table, after, waitMillis, timeoutMillis) { verdict ->
                    onEnd()
                    onAnswer(verdict)
                }
            },
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
            polledTable = table,
        )
    }

    /** Counts a long poll of [table] through [peer], or a direct one, as open until the returned function is called. */
    private fun countOpenPoll(peer: Endpoint?, table: String): () -> Unit {
        openPolls.merge(peer to table, 1, Int::plus)
        return { openPolls.computeIfPresent(peer to table) { _, count -> (count - 1).takeIf { it > 0 } } }
    }

    /**
     * Whether the store has answered neither directly nor through peers for [UNREACHABLE_AFTER_MILLIS] at [nowMillis].
     * May be called from any thread.
     */
    public fun isUnreachable(nowMillis: Long): Boolean =
        directFailingSinceMillis != null && nowMillis - lastAnswerMillis >= UNREACHABLE_AFTER_MILLIS

    /**
     * Whether peers have relayed calls at [nowMillis] and shortly before, and direct calls have failed for longer than
     * a single one takes. May be called from any thread.
     */
    public fun isReachedOnlyThroughPeers(nowMillis: Long): Boolean {
        val failingSinceMillis = directFailingSinceMillis ?: return false
        return nowMillis - failingSinceMillis >= RELAYED_ONLY_AFTER_MILLIS &&
            lastRelayedAnswerMillis >= failingSinceMillis &&
            nowMillis - lastRelayedAnswerMillis <= RECENT_RELAY_MILLIS
    }

    private fun <T> callAndTrackAnswers(
        callStore: (VerdictCallback<T>) -> Unit,
        call: () -> RelayCall,
        decode: (RelayAnswer) -> T,
        onVerdict: VerdictCallback<T>,
        polledTable: String? = null,
    ) {
        runOnThread {
            val sentMillis = nowMillis()
            callDirectOrRelayed(callStore, call, decode, polledTable) { verdict ->
                val failure = verdict.failureOrNull()
                if (failure == null) {
                    lastAnswerMillis = nowMillis()
                } else if (failure.kind != FailureKind.INVALID) {
                    failedCallSentMillis = maxOf(failedCallSentMillis ?: sentMillis, sentMillis)
                }
                onVerdict(verdict)
            }
        }
    }

    /**
     * Makes the call directly or relays it. A long poll of [polledTable] beside another one of the same table is
     * relayed if possible, since the direct way may be what the other one hangs on.
     */
    private fun <T> callDirectOrRelayed(
        callStore: (VerdictCallback<T>) -> Unit,
        call: () -> RelayCall,
        decode: (RelayAnswer) -> T,
        polledTable: String?,
        onVerdict: VerdictCallback<T>,
    ) {
        probeDirectWayIfDue()
        val avoidsDirect = directFailingSinceMillis != null || (polledTable != null && null to polledTable in openPolls)
        if (avoidsDirect && mayRelay(nowMillis())) {
            relay(call(), decode) { verdict ->
                if (verdict is Verdict.NotRun) {
                    callDirect(callStore, polledTable != null, onVerdict)
                } else {
                    onVerdict(verdict)
                }
            }
            return
        }
        callDirect(callStore, polledTable != null) { verdict ->
            if (verdict is Verdict.NotRun && isWorthRelaying(verdict) && mayRelay(nowMillis())) {
                relay(call(), decode) { relayed -> onVerdict(if (relayed is Verdict.NotRun) verdict else relayed) }
            } else {
                onVerdict(verdict)
            }
        }
    }

    /**
     * Whether a relayed call may succeed after [verdict]. A busy partition is as busy for other nodes, so that relaying
     * helps only if the direct calls of this machine fail altogether.
     */
    private fun isWorthRelaying(verdict: Verdict.NotRun): Boolean =
        verdict.failure.kind != FailureKind.OVERLOADED || directFailingSinceMillis != null

    /**
     * Calls the store directly. A long poll that gets no answer shows nothing about the direct way if a direct call
     * that was sent after it has been answered: the feed of one table may hang while the store answers all other calls.
     */
    private fun <T> callDirect(
        callStore: (VerdictCallback<T>) -> Unit,
        isLongPoll: Boolean,
        onVerdict: VerdictCallback<T>,
    ) {
        lastDirectCallMillis = nowMillis()
        val number = ++sentDirectCall
        callStore { verdict ->
            if (verdict is Verdict.Ran) answeredDirectCall = maxOf(answeredDirectCall, number)
            val showsNothing = isLongPoll && verdict is Verdict.MayHaveRun && answeredDirectCall > number
            if (!showsNothing) recordDirectResult(verdict)
            onVerdict(verdict)
        }
    }

    /** Reads a row directly if direct calls fail and none has been made for a while. */
    private fun probeDirectWayIfDue() {
        if (directFailingSinceMillis == null || probePending) return
        if (nowMillis() - lastDirectCallMillis < DIRECT_PROBE_INTERVAL_MILLIS) return
        probePending = true
        lastDirectCallMillis = nowMillis()
        direct.read(LeaseRows.LEASE_TABLE, LeaseRows.PARTITION, null, 1, PROBE_TIMEOUT_MILLIS) { verdict ->
            probePending = false
            recordDirectResult(verdict)
        }
    }

    private fun recordDirectResult(verdict: Verdict<*>) {
        val failure = verdict.failureOrNull()
        if (failure == null || failure.kind == FailureKind.INVALID) {
            if (directFailingSinceMillis != null) logEvent("direct way to the store regained")
            directFailingSinceMillis = null
            failedDirectCalls = 0
            return
        }
        failedDirectCalls++
        val isConclusive = failure.kind != FailureKind.OVERLOADED || failedDirectCalls >= BUSY_ANSWERS_FOR_REFUSAL
        if (isConclusive && directFailingSinceMillis == null) {
            logEvent("direct way to the store lost", "why" to failure.message, "peers" to peers().size)
            directFailingSinceMillis = nowMillis()
        }
    }

    private fun mayRelay(now: Long) = peers().isNotEmpty() && now - peersFailedMillis >= RELAY_PAUSE_MILLIS

    private fun <T> relay(call: RelayCall, decode: (RelayAnswer) -> T, onVerdict: VerdictCallback<T>) {
        relayToFirstOf(peersToTry(nowMillis(), call), call, decode, onVerdict)
    }

    /**
     * The peer that answered last, and then some others, without those that were silent if there are any left. Peers
     * through which a long poll of the same table is open come last.
     */
    private fun peersToTry(now: Long, call: RelayCall): List<Endpoint> {
        silentPeers.values.removeIf { it <= now }
        val known = peers()
        val candidates = known.filter { it !in silentPeers }.ifEmpty { known }
        val offset = Math.floorMod(now, candidates.size.toLong()).toInt()
        val rotated = candidates.drop(offset) + candidates.take(offset)
        val preferred = lastAnsweringPeer?.takeIf { it in candidates }
        val ordered = listOfNotNull(preferred) + rotated.filter { it != preferred }
        val isPolled = { peer: Endpoint -> call.kind == RelayKind.FOLLOW && peer to call.table in openPolls }
        return ordered.sortedBy(isPolled).take(MAX_PEERS_TRIED)
    }

    /** Relays [call] to the peers one after the other, until one of them has not declined it. */
    private fun <T> relayToFirstOf(
        candidates: List<Endpoint>,
        call: RelayCall,
        decode: (RelayAnswer) -> T,
        onVerdict: VerdictCallback<T>,
    ) {
        relayTo(candidates.first(), call, decode) { verdict ->
            when {
                verdict !is Verdict.NotRun -> onVerdict(verdict)
                candidates.size == 1 -> onPeersFailed(verdict, onVerdict)
                else -> relayToFirstOf(candidates.drop(1), call, decode, onVerdict)
            }
        }
    }

    private fun <T> onPeersFailed(verdict: Verdict<T>, onVerdict: VerdictCallback<T>) {
        peersFailedMillis = nowMillis()
        onVerdict(verdict)
    }

    private fun <T> relayTo(
        peer: Endpoint,
        call: RelayCall,
        decode: (RelayAnswer) -> T,
        onVerdict: VerdictCallback<T>,
    ) {
        val body = relayJson.encodeToString(RelayCall.serializer(), call).encodeToByteArray()
        val lane = if (call.kind == RelayKind.FOLLOW) "relay-${call.table}" else "relay"
        val timeoutMillis = call.timeoutMillis + HOP_TIMEOUT_MILLIS
        val onEnd = if (call.kind == RelayKind.FOLLOW) countOpenPoll(peer, call.table) else { -> }
        client.send(peer, lane, HttpCall("POST", PATH, body), timeoutMillis) { verdict ->
            onEnd()
            val answer = toRelayVerdict(verdict)
            lastAnsweringPeer = if (answer is Verdict.Ran) peer else lastAnsweringPeer?.takeIf { it != peer }
            if (answer is Verdict.Ran) lastRelayedAnswerMillis = nowMillis()
            if (answer is Verdict.MayHaveRun) silentPeers[peer] = nowMillis() + SILENT_PEER_PAUSE_MILLIS
            onVerdict(answer.map(decode))
        }
    }

    private fun toRelayVerdict(verdict: Verdict<HttpAnswer>): Verdict<RelayAnswer> {
        if (verdict !is Verdict.Ran) return verdict.map { error("a call without an answer has no value") }
        val answer = verdict.value
        return when (answer.status) {
            HttpStatus.OK -> decodeRelayAnswer(answer)

            HttpStatus.UNAVAILABLE ->
                Verdict.NotRun(Failure(FailureKind.NOT_READY, "a relaying peer does not reach the store"))

            HttpStatus.BAD_REQUEST ->
                Verdict.NotRun(Failure(FailureKind.INVALID, "a relaying peer can't read the call"))

            else -> Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "a relaying peer got no answer from the store"))
        }
    }

    private fun decodeRelayAnswer(answer: HttpAnswer): Verdict<RelayAnswer> = try {
        Verdict.Ran(relayJson.decodeFromString(RelayAnswer.serializer(), answer.body.decodeToString()))
    } catch (e: SerializationException) {
        Verdict.MayHaveRun(Failure(FailureKind.BROKEN_ANSWER, "a peer's relay answer can't be decoded: ${e.message}"))
    }

    /**
     * Handles a peer's [request] by calling the store directly. The status is 503 if the call had no effect, also
     * because direct calls of this machine fail, 504 if that is not known, and 400 for a malformed request.
     */
    public fun handle(request: ServedRequest, reply: (ServedAnswer) -> Unit) {
        val call = try {
            relayJson.decodeFromString(RelayCall.serializer(), request.body.decodeToString())
        } catch (e: SerializationException) {
            logEvent("relay call unreadable", "why" to e.message)
            reply(ServedAnswer(HttpStatus.BAD_REQUEST, ByteArray(0)))
            return
        }
        runOnThread {
            probeDirectWayIfDue()
            if (directFailingSinceMillis != null) {
                reply(ServedAnswer(HttpStatus.UNAVAILABLE, ByteArray(0)))
            } else {
                callForPeer(call, reply)
            }
        }
    }

    private fun callForPeer(call: RelayCall, reply: (ServedAnswer) -> Unit) {
        when (call.kind) {
            RelayKind.TRANSACT -> direct.transact(call.toTransaction(), call.timeoutMillis) { verdict ->
                recordDirectResult(verdict)
                reply(toServedAnswer(verdict.map { relayAnswerOf(it) }))
            }

            RelayKind.READ ->
                direct.read(call.table, call.partition, call.from, call.limit, call.timeoutMillis) { verdict ->
                    recordDirectResult(verdict)
                    reply(toServedAnswer(verdict.map { relayAnswerOf(it) }))
                }

            RelayKind.FOLLOW ->
                direct.awaitChanges(call.table, Revision(call.after), call.waitMillis, call.timeoutMillis) { verdict ->
                    // A peer polls through this node when its poll hangs, which need not be for lack of a direct way.
                    if (verdict is Verdict.Ran) recordDirectResult(verdict)
                    reply(toServedAnswer(verdict.map { relayAnswerOf(it) }))
                }
        }
    }

    private fun toServedAnswer(verdict: Verdict<RelayAnswer>): ServedAnswer = when (verdict) {
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

        /** Time between two tests of the direct way while direct calls fail. */
        private const val DIRECT_PROBE_INTERVAL_MILLIS = 500L

        /** Timeout of a test of the direct way. A slow store takes about half a second. */
        private const val PROBE_TIMEOUT_MILLIS = 800L

        /** Peers to which a call is relayed before it fails, as long as they decline it. */
        private const val MAX_PEERS_TRIED = 4

        /** Time for which a peer without an answer is passed over. */
        private const val SILENT_PEER_PAUSE_MILLIS = 3_000L

        /** Number of consecutive busy answers after which the store is taken to refuse this machine. */
        private const val BUSY_ANSWERS_FOR_REFUSAL = 4

        /** Time without relayed calls after no peer has reached the store. */
        private const val RELAY_PAUSE_MILLIS = 300L

        /**
         * Time without an answer after which the store counts as unreachable. Long polls of the lease wait 400 ms, so
         * that this covers two of them and a slow answer.
         */
        private const val UNREACHABLE_AFTER_MILLIS = 1_000L

        /** Time for which direct calls must have failed before a node counts as cut from the store. */
        private const val RELAYED_ONLY_AFTER_MILLIS = 300L

        /** Time for which a relayed answer shows that other nodes reach the store. */
        private const val RECENT_RELAY_MILLIS = 1_000L

        /** Time that a relayed call may take in addition to the call of the store by the peer. */
        private const val HOP_TIMEOUT_MILLIS = 100L
    }
}
