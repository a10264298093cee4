// Competes for the control lease and keeps it. While this process holds it, a session schedules; when it is lost or
// given up, the session is dropped. Everything here runs on the control duty's thread.

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

/** Hands an action to the control duty's thread. */
public typealias Post = (action: () -> Unit) -> Unit

/** Starts a session for the holder of [lease]. */
public typealias SessionFactory = (lease: ControlLease) -> HolderSession

/** Keeps the lease for one process. */
public class LeaseDuty(
    private val lease: ControlLease,
    private val store: RowStore,
    private val claimDelayMillis: Long,
    private val post: Post,
    private val clock: () -> ClockReadings = NodeClock::instants,
    private val newSession: SessionFactory,
) : HolderState {
    private var session: HolderSession? = null
    private var configuration: FleetConfiguration? = null
    private val waves = LinkedHashMap<Long, UpkeepWave>()
    private var reading = false
    private var writing = false
    private var followAfter: Revision? = null
    private var claimableSinceMillis: Long? = null
    private var retryAtMillis = 0L
    private var releasing = false
    private val renewalOutage = OutageLog("lease not renewed", "lease renewed again")

    /** The last epoch in which a session was begun; a session dropped in it has numbered runs that another must not. */
    private var sessionEpoch: Epoch? = null
    private var released: (() -> Unit)? = null

    /** Where the holder is, for other threads. */
    @Volatile
    public var holder: HolderAddress = HolderAddress.Unknown
        private set

    /** The configuration has changed. */
    public fun configured(configuration: FleetConfiguration) {
        this.configuration = configuration
        session?.configured(configuration)
    }

    /** A wave was asked for. */
    public fun waveRequested(wave: UpkeepWave) {
        if (waves.put(wave.number, wave) == wave) return
        session?.waveRequested(wave)
    }

    /**
     * Gives the lease up, if it is held, and calls [done]. Nothing is ordered any more from here on: another process
     * may hold the lease before this one learns that it has given it up.
     */
    public fun release(done: () -> Unit) {
        releasing = true
        released = done
        if (session != null) drop("released")
        if (!lease.isHeld) finishRelease()
    }

    /** Does what is due. Called after each event and at short intervals. */
    public fun work() {
        val now = clock()
        if (now.steadyMillis >= retryAtMillis) {
            when {
                lease.isHeld && !releasing && session == null && lease.epoch == sessionEpoch -> if (!writing) claim()
                lease.isHeld -> if (!writing && (releasing || lease.isRenewalDue(now))) renew()
                !releasing -> compete(now.steadyMillis)
            }
        }
        session?.work(now)
        if (session?.fencedOff == true) {
            drop("fenced off")
            pause(RETRY_MILLIS)
        }
        showHolder()
    }

    private fun compete(nowMillis: Long) {
        if (writing) return
        if (!lease.isClaimable()) {
            claimableSinceMillis = null
            follow()
            return
        }
        val since = claimableSinceMillis ?: nowMillis.also { claimableSinceMillis = it }
        if (nowMillis - since >= claimDelayMillis) claim() else follow()
    }

    private fun follow() {
        if (reading) return
        reading = true
        val after = followAfter
        if (after == null) {
            val read = { page: Verdict<RowPage> -> post { rowsRead(page) } }
            store.read(LeaseRows.LEASE_TABLE, LeaseRows.PARTITION, null, PAGE_ROWS, CALL_TIMEOUT_MILLIS, read)
        } else {
            val timeoutMillis = FOLLOW_WAIT_MILLIS + FOLLOW_TIMEOUT_MILLIS
            store.awaitChanges(LeaseRows.LEASE_TABLE, after, FOLLOW_WAIT_MILLIS, timeoutMillis) { changes ->
                post { rowsChanged(changes) }
            }
        }
    }

    private fun rowsRead(verdict: Verdict<RowPage>) {
        reading = false
        if (verdict is Verdict.Ran) {
            lease.applyRows(verdict.value.rows, verdict.value.storeMillis)
            followAfter = verdict.value.revision
        } else {
            pause(RETRY_MILLIS)
        }
    }

    private fun rowsChanged(verdict: Verdict<RowChanges>) {
        reading = false
        val changes = (verdict as? Verdict.Ran)?.value
        when (changes) {
            is RowChanges.Known -> {
                lease.applyRows(changes.rows, changes.storeMillis)
                followAfter = changes.revision
            }

            RowChanges.Discarded -> followAfter = null

            null -> pause(RETRY_MILLIS)
        }
    }

    private fun claim() {
        writing = true
        val sent = clock()
        logEvent(
            "lease claim",
            "epoch" to lease.epoch.next(),
            "from" to lease.owner?.node,
            "silent_ms" to lease.holderSilentMillis,
        )
        transact(lease.claimTransaction()) { verdict ->
            when (val outcome = (verdict as? Verdict.Ran)?.value) {
                is TransactionOutcome.Committed -> {
                    lease.onClaimCommitted(outcome, sent)
                    if (!releasing) begin()
                }

                is TransactionOutcome.Conflict -> lease.onConflict(outcome)

                null -> pause(RETRY_MILLIS)
            }
            // An unanswered claim may have taken effect; reading the rows tells.
            followAfter = null
            claimableSinceMillis = null
        }
    }

    private fun begin() {
        logEvent("lease held", "epoch" to lease.epoch)
        val begun = newSession(lease)
        session = begun
        sessionEpoch = lease.epoch
        configuration?.let(begun::configured)
        waves.values.forEach(begun::waveRequested)
        begun.start()
    }

    private fun renew() {
        writing = true
        val sent = clock()
        val releasingNow = releasing
        transact(lease.renewalTransaction(releasingNow)) { verdict ->
            when (val outcome = (verdict as? Verdict.Ran)?.value) {
                is TransactionOutcome.Committed -> {
                    lease.onRenewalCommitted(outcome, sent)
                    when {
                        releasingNow -> finishRelease()

                        // The claim took effect without an answer; the rows showed it.
                        !releasing && session == null && lease.epoch != sessionEpoch -> begin()
                    }
                }

                is TransactionOutcome.Conflict -> lease.onConflict(outcome)

                null -> pause(RETRY_MILLIS)
            }
            renewalOutage.note(verdict, "epoch" to lease.epoch)
            if (!lease.isHeld && session != null) drop("taken over")
        }
    }

    private fun transact(transaction: RowTransaction, done: (Verdict<TransactionOutcome>) -> Unit) {
        store.transact(transaction, WRITE_TIMEOUT_MILLIS) { verdict ->
            post {
                writing = false
                done(verdict)
            }
        }
    }

    private fun finishRelease() {
        val done = released ?: return
        released = null
        done()
    }

    private fun drop(why: String) {
        logEvent("lease lost", "epoch" to lease.epoch, "why" to why)
        session?.close()
        session = null
        followAfter = null
    }

    private fun pause(millis: Long) {
        retryAtMillis = clock().steadyMillis + millis
    }

    private fun showHolder() {
        val owner = lease.owner
        val address = owner?.peerAddress?.let(Endpoint::parse)
        holder = when {
            lease.isHeld -> if (session == null) HolderAddress.Unknown else HolderAddress.Self
            address == null -> HolderAddress.Unknown
            else -> HolderAddress.Peer(address)
        }
    }

    override fun jobState(id: JobId, reply: (HolderAnswer?) -> Unit) {
        post { reply(session?.jobState(id)) }
    }

    override fun pendingJobs(queue: QueueId, reply: (Int?) -> Unit) {
        post { reply(session?.pendingJobs(queue)) }
    }

    private companion object {
        /** How long a look at the lease waits for a change; the answer's clock shows how long the holder is silent. */
        const val FOLLOW_WAIT_MILLIS = 400L

        /** Time beyond the wait after which a look has failed. */
        const val FOLLOW_TIMEOUT_MILLIS = 800L

        /** Longest wait for a write; a slow store takes above a second. */
        const val WRITE_TIMEOUT_MILLIS = 1_500L

        /** Longest wait for a read. */
        const val CALL_TIMEOUT_MILLIS = 1_000L

        /** Pause after a failed call. */
        const val RETRY_MILLIS = 150L

        /** The table holds two rows. */
        const val PAGE_ROWS = 10
    }
}
