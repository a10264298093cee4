// The control lease: only its holder gives orders to executors and machines. The lease is stored in two rows of one
// partition. The owner row changes when the lease gets another holder, the renewal row changes with each renewal, and
// every claim and renewal is conditional on both. Other processes measure on the store's monotonic clock how long the
// renewal row has not changed. The holder measures from the moment before it sent its last renewal, so that it stops
// before another process may claim the lease.

package org.gypsumturn.batch.lease

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.port.RowCondition
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.StoredRow
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.Revision

private val json = Json { ignoreUnknownKeys = true }

/**
 * The content of the owner row.
 *
 * @property epoch fencing token; each new holder has a higher one
 * @property node the holder's node
 * @property process incarnation of the holder's process; a process of the same node with another incarnation has
 * replaced the holder, and may claim the lease without waiting for it to lapse
 * @property peerAddress where other nodes reach the holder
 */
@Serializable
public data class OwnerRecord(
    public val epoch: Long,
    public val node: String,
    public val process: String,
    public val peerAddress: String,
)

/** The content of the renewal row. [released] is set when the holder gives the lease up. */
@Serializable
internal data class RenewalRecord(val epoch: Long, val released: Boolean)

/**
 * Durations that govern the lease.
 *
 * @property lapseMillis time without a renewal after which another process may claim the lease
 * @property renewMillis time between two renewals
 * @property marginMillis how long before the lease lapses the holder stops giving orders
 */
public data class LeaseTimes(public val lapseMillis: Long, public val renewMillis: Long, public val marginMillis: Long)

/**
 * Readings of two clocks at one moment. Neither is enough alone: the monotonic clock stands still while a machine is
 * suspended, and the time of day may be set.
 */
public data class ClockReadings(public val steadyMillis: Long, public val wallMillis: Long)

/** Addresses of the rows that store the lease. */
public object LeaseRows {
    /** Partition of the lease. It holds no other rows, so that a renewal does not wait behind other writes. */
    public const val PARTITION: String = "control"

    public const val LEASE_TABLE: String = "lease"

    /** The row that changes when the lease gets another holder. */
    public val OWNER: RowAddress = RowAddress(LEASE_TABLE, PARTITION, "owner")

    /** The row that changes with each renewal. */
    public val RENEWAL: RowAddress = RowAddress(LEASE_TABLE, PARTITION, "renewal")
}

/** The control lease as one process sees it. It does no I/O: the caller reads the rows and runs the transactions. */
public class ControlLease(
    private val node: String,
    private val process: String,
    private val peerAddress: String,
    private val times: LeaseTimes,
) {
    /** The holder as last read; null if nobody holds the lease, or before the rows have been read. */
    public var owner: OwnerRecord? = null
        private set

    /** Revision of the owner row as last read. It is a condition of every claim and renewal. */
    public var ownerRevision: Revision = Revision.ABSENT
        private set

    private var renewalRevision = Revision.ABSENT
    private var released = false
    private var renewalChangedStoreMillis = 0L
    private var lastStoreMillis = 0L

    /** Whether the last change of the renewal row was seen in a conflict, which does not tell the store's time. */
    private var changeTimeUnknown = false
    private var validFrom: ClockReadings? = null
    private var rowsRead = false
    private var pendingClaim: OwnerRecord? = null

    /** Whether the owner row names this process, even if its lease is no longer valid. */
    public val isHeld: Boolean get() = owner?.process == process

    /** The epoch of the holder; 0 if there is none. */
    public val epoch: Epoch get() = Epoch(owner?.epoch ?: 0)

    /** Applies [rows] that were read when the store's clock showed [storeMillis]. */
    public fun applyRows(rows: List<StoredRow>, storeMillis: Long) {
        rowsRead = true
        lastStoreMillis = maxOf(lastStoreMillis, storeMillis)
        if (changeTimeUnknown) {
            changeTimeUnknown = false
            renewalChangedStoreMillis = lastStoreMillis
        }
        rows.forEach { row ->
            when (row.address) {
                LeaseRows.OWNER -> applyOwnerRow(row)
                LeaseRows.RENEWAL -> applyRenewalRow(row, storeMillis)
            }
        }
    }

    private fun applyOwnerRow(row: StoredRow) {
        if (row.revision <= ownerRevision) return
        ownerRevision = row.revision
        owner = row.value?.let { json.decodeFromString(OwnerRecord.serializer(), it.decodeToString()) }
        if (!isHeld) validFrom = null
    }

    private fun applyRenewalRow(row: StoredRow, storeMillis: Long) {
        if (row.revision <= renewalRevision) return
        renewalRevision = row.revision
        renewalChangedStoreMillis = storeMillis
        released = row.value?.let { json.decodeFromString(RenewalRecord.serializer(), it.decodeToString()).released }
            ?: false
    }

    /**
     * Whether this process may claim the lease. It may if nobody holds it, if the holder has released it or has not
     * renewed it in time, or if the holder was an earlier process of this node.
     */
    public fun isClaimable(): Boolean {
        val current = owner ?: return rowsRead
        if (current.process == process) return false
        if (current.node == node || released) return true
        return !changeTimeUnknown && lastStoreMillis - renewalChangedStoreMillis >= times.lapseMillis
    }

    /** Time since the last renewal that is known, on the store's clock. */
    public val holderSilentMillis: Long get() = lastStoreMillis - renewalChangedStoreMillis

    /** The transaction that claims the lease. Its outcome goes to [onClaimCommitted] or [onConflict]. */
    public fun claimTransaction(): RowTransaction {
        val next = OwnerRecord((owner?.epoch ?: 0) + 1, node, process, peerAddress)
        pendingClaim = next
        val value = json.encodeToString(OwnerRecord.serializer(), next).encodeToByteArray()
        return RowTransaction(
            unchangedRowConditions(),
            listOf(RowWrite(LeaseRows.OWNER, value), renewalWrite(next.epoch, false)),
        )
    }

    /** The transaction that renews the lease, or gives it up if [release] is set. */
    public fun renewalTransaction(release: Boolean = false): RowTransaction =
        RowTransaction(unchangedRowConditions(), listOf(renewalWrite(epoch.value, release)))

    private fun unchangedRowConditions() = listOf(
        RowCondition(LeaseRows.OWNER, ownerRevision),
        RowCondition(LeaseRows.RENEWAL, renewalRevision),
    )

    private fun renewalWrite(epoch: Long, released: Boolean) = RowWrite(
        LeaseRows.RENEWAL,
        json.encodeToString(RenewalRecord.serializer(), RenewalRecord(epoch, released)).encodeToByteArray(),
    )

    /** Records that the last claim, sent at [sent], took effect. The new rows may have been read before this call. */
    public fun onClaimCommitted(outcome: TransactionOutcome.Committed, sent: ClockReadings) {
        owner = pendingClaim
        ownerRevision = outcome.revision
        onRenewalCommitted(outcome, sent)
    }

    /** Records that a renewal, sent at [sent], took effect. */
    public fun onRenewalCommitted(outcome: TransactionOutcome.Committed, sent: ClockReadings) {
        renewalRevision = outcome.revision
        renewalChangedStoreMillis = outcome.storeMillis
        changeTimeUnknown = false
        lastStoreMillis = maxOf(lastStoreMillis, outcome.storeMillis)
        released = false
        validFrom = sent
    }

    /**
     * Records that a claim or renewal failed because the rows have changed. The change may come from an earlier
     * transaction of this process whose answer was lost. In that case the next attempt succeeds.
     */
    public fun onConflict(outcome: TransactionOutcome.Conflict) {
        outcome.current.forEach { row ->
            when (row.address) {
                LeaseRows.OWNER -> applyOwnerRow(row)

                LeaseRows.RENEWAL -> {
                    changeTimeUnknown = changeTimeUnknown || row.revision > renewalRevision
                    applyRenewalRow(row, lastStoreMillis)
                }
            }
        }
    }

    /** Whether the holder may give orders at [now], because the lease has lapsed on neither clock. */
    public fun isValid(now: ClockReadings): Boolean = overdueMillis(now) < 0

    /** Time since the lease became invalid; negative while it is valid. */
    public fun overdueMillis(now: ClockReadings): Long {
        val from = validFrom ?: return Long.MAX_VALUE
        val elapsed = maxOf(now.steadyMillis - from.steadyMillis, now.wallMillis - from.wallMillis)
        return elapsed - (times.lapseMillis - times.marginMillis)
    }

    /** Whether the holder should renew the lease at [now]. */
    public fun isRenewalDue(now: ClockReadings): Boolean {
        val from = validFrom ?: return true
        return now.steadyMillis - from.steadyMillis >= times.renewMillis || !isValid(now)
    }
}
