// Competes for the control lease and renews it. While this process holds the lease, a session schedules the jobs. The
// session ends when the lease is lost or given up. All of this runs on the control thread.

package org.gypsumturn.node

import org.gypsumturn.batch.lease.ClockReadings
import org.gypsumturn.batch.lease.ControlLease
import org.gypsumturn.batch.lease.LeaseRows
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.QueueId
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.batch.port.RowChanges
import org.gypsumturn.batch.port.RowPage
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.transport.Endpoint

/** Runs an action on the thread that owns the state of the code that posts it, in most cases the control thread. */
public typealias Post = (action: () -> Unit) -> Unit

/** Starts a session for the holder of [lease]. */
public typealias SessionFactory = (lease: ControlLease) -> HolderSession

/**
 * Claims, renews and releases the control lease for one process.
 *
 * A holder that reaches the store only through other nodes hands the lease over to one that reaches it directly: each
 * change of a job and each write of progress would cost it a further hop, or the whole timeout of a call when the other
 * node loses its way too.
 *
 * @param claimDelayMillis how long the lease must have been claimable before this process claims it
 * @param reachesStoreOnlyThroughPeers whether other nodes reach the store, and this one does not, at a steady time
 * @param newSession creates the session of a new term
 */
public class ControlLeaseElector(
    private val lease: ControlLease,
    private val store: RowStore,
    private val claimDelayMillis: Long,
    private val post: Post,
    private val clock: () -> ClockReadings = NodeClock::readings,
    private val reachesStoreOnlyThroughPeers: (nowMillis: Long) -> Boolean = { false },
    private val newSession: SessionFactory,
) : LocalHolderQueries {
    private var session: HolderSession? = null
    private var configuration: FleetConfiguration? = null
    private val waves = LinkedHashMap<Long, UpkeepWave>()
    private var readPending = false
    private var writePending = false
    private var lastReadRevision: Revision? = null
    private var claimableSinceMillis: Long? = null
    private var nextCallMillis = 0L
    private var releasing = false

    /** Whether the lease is to be given up so that another node claims it. */
    private var handingOver = false

    /** After a hand-over, this process claims the lease again at this time if no other has. */
    private var claimAgainMillis = 0L
    private val renewalOutage = OutageLog("lease not renewed", "lease renewed again")

    /**
     * The epoch of the last session that was started. No second session may be started in the same epoch, since it
     * would give the numbers of its runs a second time.
     */
    private var lastSessionEpoch: Epoch? = null
    private var releaseCallback: (() -> Unit)? = null

    /** Where the lease holder is reached, readable from any thread. */
    @Volatile
    public var holder: HolderAddress = HolderAddress.Unknown
        private set

    /** Puts [configuration] in force, now and in later sessions. */
    public fun configure(configuration: FleetConfiguration) {
        this.configuration = configuration
        session?.configure(configuration)
    }

    /** Adds a wave that the operator has requested, now and in later sessions. */
    public fun addWave(wave: UpkeepWave) {
        if (waves.put(wave.number, wave) == wave) return
        session?.addWave(wave)
    }

    /**
     * Gives the lease up if it is held, and calls [onReleased] when that is stored. The session ends at once, since
     * another process may hold the lease before this one learns that the release took effect.
     */
    public fun release(onReleased: () -> Unit) {
        releasing = true
        releaseCallback = onReleased
        if (session != null) dropSession("released")
        if (!lease.isHeld) notifyReleased()
    }

    /** Does all work that is due. It must be called after each event and at short intervals. */
    public fun runDueWork() {
        val now = clock()
        if (shouldHandOver(now.steadyMillis)) {
            handingOver = true
            dropSession("handed over")
        }
        if (now.steadyMillis >= nextCallMillis) {
            when {
                !lease.isHeld -> if (!releasing) competeForLease(now.steadyMillis)
                releasing || handingOver -> giveUpLease()
                else -> keepLease(now)
            }
        }
        session?.runDueWork(now)
        if (session?.fencedOff == true) {
            dropSession("fenced off")
            delayNextCall(RETRY_MILLIS)
        }
        updateHolder()
    }

    private fun shouldHandOver(nowMillis: Long): Boolean =
        session != null && !handingOver && reachesStoreOnlyThroughPeers(nowMillis)

    private fun giveUpLease() {
        if (!writePending) renewLease()
    }

    /** Renews the lease, or claims it again for a new session after the last one has ended. */
    private fun keepLease(now: ClockReadings) {
        when {
            now.steadyMillis < claimAgainMillis -> readLease()
            writePending -> Unit
            session == null && lease.epoch == lastSessionEpoch -> claimLease()
            lease.isRenewalDue(now) -> renewLease()
        }
    }

    private fun competeForLease(nowMillis: Long) {
        if (writePending) return
        if (!lease.isClaimable()) {
            claimableSinceMillis = null
            readLease()
            return
        }
        val since = claimableSinceMillis ?: nowMillis.also { claimableSinceMillis = it }
        val relayedDelayMillis = if (reachesStoreOnlyThroughPeers(nowMillis)) RELAYED_CLAIM_DELAY_MILLIS else 0
        if (nowMillis - since >= claimDelayMillis + relayedDelayMillis) claimLease() else readLease()
    }

    private fun readLease() {
        if (readPending) return
        readPending = true
        val after = lastReadRevision
        if (after == null) {
            val onVerdict = { page: Verdict<RowPage> -> post { onRowsRead(page) } }
            store.read(LeaseRows.LEASE_TABLE, LeaseRows.PARTITION, null, PAGE_ROWS, READ_TIMEOUT_MILLIS, onVerdict)
        } else {
            val timeoutMillis = POLL_WAIT_MILLIS + POLL_TIMEOUT_MILLIS
            store.awaitChanges(LeaseRows.LEASE_TABLE, after, POLL_WAIT_MILLIS, timeoutMillis) { changes ->
                post { onRowsChanged(changes) }
            }
        }
    }

    private fun onRowsRead(verdict: Verdict<RowPage>) {
        readPending = false
        if (verdict is Verdict.Ran) {
            lease.applyRows(verdict.value.rows, verdict.value.storeMillis)
            lastReadRevision = verdict.value.revision
        } else {
            delayNextCall(RETRY_MILLIS)
        }
    }

    private fun onRowsChanged(verdict: Verdict<RowChanges>) {
        readPending = false
        val changes = (verdict as? Verdict.Ran)?.value
        when (changes) {
            is RowChanges.Known -> {
                lease.applyRows(changes.rows, changes.storeMillis)
                lastReadRevision = changes.revision
            }

            RowChanges.Discarded -> lastReadRevision = null

            null -> delayNextCall(RETRY_MILLIS)
        }
    }

    private fun claimLease() {
        writePending = true
        val beforeSending = clock()
        logEvent(
            "lease claim",
            "epoch" to lease.epoch.next(),
            "from" to lease.owner?.node,
            "silent_ms" to lease.holderSilentMillis,
        )
        transact(lease.claimTransaction()) { verdict ->
            when (val outcome = (verdict as? Verdict.Ran)?.value) {
                is TransactionOutcome.Committed -> {
                    lease.onClaimCommitted(outcome, beforeSending)
                    if (!releasing) startSession()
                }

                is TransactionOutcome.Conflict -> lease.onConflict(outcome)

                null -> delayNextCall(RETRY_MILLIS)
            }
            // A claim without an answer may have taken effect. The rows are read again to find out.
            lastReadRevision = null
            claimableSinceMillis = null
        }
    }

    private fun startSession() {
        logEvent("lease held", "epoch" to lease.epoch)
        val started = newSession(lease)
        session = started
        handingOver = false
        lastSessionEpoch = lease.epoch
        configuration?.let(started::configure)
        waves.values.forEach(started::addWave)
        started.start()
    }

    private fun renewLease() {
        writePending = true
        val beforeSending = clock()
        val isHandOver = handingOver
        val isRelease = releasing || isHandOver
        transact(lease.renewalTransaction(isRelease)) { verdict ->
            when (val outcome = (verdict as? Verdict.Ran)?.value) {
                is TransactionOutcome.Committed -> {
                    lease.onRenewalCommitted(outcome, beforeSending)
                    when {
                        isRelease -> {
                            if (isHandOver) claimAgainMillis = clock().steadyMillis + CLAIM_AGAIN_MILLIS
                            if (releasing) notifyReleased()
                        }

                        // An earlier claim took effect although its answer was lost, as the rows have shown.
                        !releasing && session == null && lease.epoch != lastSessionEpoch -> startSession()
                    }
                }

                is TransactionOutcome.Conflict -> lease.onConflict(outcome)

                null -> delayNextCall(RETRY_MILLIS)
            }
            if (isHandOver) handingOver = false
            renewalOutage.recordResult(verdict, "epoch" to lease.epoch)
            if (!lease.isHeld && session != null) dropSession("taken over")
        }
    }

    private fun transact(transaction: RowTransaction, onVerdict: (Verdict<TransactionOutcome>) -> Unit) {
        store.transact(transaction, WRITE_TIMEOUT_MILLIS) { verdict ->
            post {
                writePending = false
                onVerdict(verdict)
            }
        }
    }

    private fun notifyReleased() {
        val callback = releaseCallback ?: return
        releaseCallback = null
        callback()
    }

    private fun dropSession(why: String) {
        logEvent("lease lost", "epoch" to lease.epoch, "why" to why)
        session?.close()
        session = null
        lastReadRevision = null
    }

    private fun delayNextCall(millis: Long) {
        nextCallMillis = clock().steadyMillis + millis
    }

    private fun updateHolder() {
        val owner = lease.owner
        val address = owner?.peerAddress?.let(Endpoint::parse)
        holder = when {
            lease.isHeld -> if (session == null) HolderAddress.Unknown else HolderAddress.Self
            address == null -> HolderAddress.Unknown
            else -> HolderAddress.Peer(address)
        }
    }

    override fun queryJobState(id: JobId, reply: (HolderAnswer?) -> Unit) {
        post { reply(session?.jobState(id)) }
    }

    override fun countPendingJobs(queue: QueueId, reply: (Int?) -> Unit) {
        post { reply(session?.pendingJobCount(clock().steadyMillis, queue)) }
    }

    override fun applyCancellation(notice: CancellationNotice) {
        post { session?.applyCancellation(notice) }
    }

    private companion object {
        /**
         * How long a long poll of the lease waits for a change. Its answer also carries the store's clock, which tells
         * how long the holder has not renewed the lease.
         */
        const val POLL_WAIT_MILLIS = 400L

        /** Time after the end of its wait at which a long poll has failed. */
        const val POLL_TIMEOUT_MILLIS = 800L

        /** Timeout of a write. A slow store takes more than a second. */
        const val WRITE_TIMEOUT_MILLIS = 1_500L

        /** Timeout of a read without a long poll. */
        const val READ_TIMEOUT_MILLIS = 1_000L

        /** Pause after a failed call, or after an executor has fenced the session off. */
        const val RETRY_MILLIS = 150L

        /**
         * How much longer a process that reaches the store only through other nodes waits before it claims a claimable
         * lease.
         */
        const val RELAYED_CLAIM_DELAY_MILLIS = 1_000L

        /** Time after a hand-over in which another process must have claimed the lease. */
        const val CLAIM_AGAIN_MILLIS = 1_500L

        /** Rows that are read at most. The table holds only two. */
        const val PAGE_ROWS = 10
    }
}
