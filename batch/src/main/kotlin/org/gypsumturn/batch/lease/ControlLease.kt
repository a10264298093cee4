// The lease of the one process that gives orders. It rests on two rows of one partition: the owner row changes when
// the lease changes hands and fences every write of the holder; the renewal row changes with each renewal. Others
// measure silence on the store's steady clock, the holder measures from before it sent a renewal, so that it stops in
// time.

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
 * Who holds the lease.
 *
 * @property process the holder's start; a process that finds its own node named with another start may claim at once
 */
@Serializable
public data class OwnerRecord(
    public val epoch: Long,
    public val node: String,
    public val process: String,
    public val peerAddress: String,
)

@Serializable
internal data class RenewalRecord(val epoch: Long, val released: Boolean)

/**
 * Times of the lease.
 *
 * @property lapseMillis silence after which others may claim
 * @property renewMillis time between two renewals
 * @property marginMillis how much earlier than the lapse the holder stops
 */
public data class LeaseTimes(public val lapseMillis: Long, public val renewMillis: Long, public val marginMillis: Long)

/** Two readings of time: the steady one stands still while a machine is suspended, the time of day may be set. */
public data class Instants(public val steadyMillis: Long, public val wallMillis: Long)

/** Tables and partition that the holder writes. */
public object ControlRows {
    /** Partition of the lease, which nothing else shares: a renewal must not wait behind other writes. */
    public const val PARTITION: String = "control"

    /** Table of the two rows of the lease. */
    public const val LEASE_TABLE: String = "lease"

    /** Row that changes when the lease changes hands. */
    public val OWNER: RowAddress = RowAddress(LEASE_TABLE, PARTITION, "owner")

    /** Row that changes with each renewal. */
    public val RENEWAL: RowAddress = RowAddress(LEASE_TABLE, PARTITION, "renewal")
}

/** The lease as one process sees it. */
public class ControlLease(
    private val node: String,
    private val process: String,
    private val peerAddress: String,
    private val times: LeaseTimes,
) {
    /** Who holds the lease, as last read; null where nobody does. */
    public var owner: OwnerRecord? = null
        private set

    /** Revision of the owner row, the condition of the holder's writes. */
    public var ownerRevision: Revision = Revision.ABSENT
        private set

    private var renewalRevision = Revision.ABSENT
    private var released = false
    private var changedStoreMillis = 0L
    private var seenStoreMillis = 0L

    /** Whether the last change of the renewal row came with a conflict, which does not show the store's time. */
    private var changeUntimed = false
    private var validFrom: Instants? = null
    private var read = false
    private var claiming: OwnerRecord? = null

    /** Whether this process holds the lease, valid or not. */
    public val held: Boolean get() = owner?.process == process

    /** The epoch of the holder. */
    public val epoch: Epoch get() = Epoch(owner?.epoch ?: 0)

    /** Takes in the rows as read when the store's clock showed [storeMillis]. */
    public fun observe(rows: List<StoredRow>, storeMillis: Long) {
        read = true
        seenStoreMillis = maxOf(seenStoreMillis, storeMillis)
        if (changeUntimed) {
            changeUntimed = false
            changedStoreMillis = seenStoreMillis
        }
        rows.forEach { row ->
            when (row.address) {
                ControlRows.OWNER -> observeOwner(row)
                ControlRows.RENEWAL -> observeRenewal(row, storeMillis)
            }
        }
    }

    private fun observeOwner(row: StoredRow) {
        if (row.revision <= ownerRevision) return
        ownerRevision = row.revision
        owner = row.value?.let { json.decodeFromString(OwnerRecord.serializer(), it.decodeToString()) }
        if (!held) validFrom = null
    }

    private fun observeRenewal(row: StoredRow, storeMillis: Long) {
        if (row.revision <= renewalRevision) return
        renewalRevision = row.revision
        changedStoreMillis = storeMillis
        released = row.value?.let { json.decodeFromString(RenewalRecord.serializer(), it.decodeToString()).released }
            ?: false
    }

    /**
     * Whether the lease may be claimed: nobody holds it, its holder is silent or has released it, or was this node.
     */
    public fun claimable(): Boolean {
        val current = owner ?: return read
        if (current.process == process) return false
        if (current.node == node || released) return true
        return !changeUntimed && seenStoreMillis - changedStoreMillis >= times.lapseMillis
    }

    /** How long the holder has been silent, on the store's clock. */
    public val silentMillis: Long get() = seenStoreMillis - changedStoreMillis

    /** The transaction that claims the lease. */
    public fun claim(): RowTransaction {
        val next = OwnerRecord((owner?.epoch ?: 0) + 1, node, process, peerAddress)
        claiming = next
        val value = json.encodeToString(OwnerRecord.serializer(), next).encodeToByteArray()
        return RowTransaction(conditions(), listOf(RowWrite(ControlRows.OWNER, value), renewal(next.epoch, false)))
    }

    /** The transaction that renews the lease, or gives it up if [release] is set. */
    public fun renew(release: Boolean = false): RowTransaction =
        RowTransaction(conditions(), listOf(renewal(epoch.value, release)))

    private fun conditions() = listOf(
        RowCondition(ControlRows.OWNER, ownerRevision),
        RowCondition(ControlRows.RENEWAL, renewalRevision),
    )

    private fun renewal(epoch: Long, released: Boolean) = RowWrite(
        ControlRows.RENEWAL,
        json.encodeToString(RenewalRecord.serializer(), RenewalRecord(epoch, released)).encodeToByteArray(),
    )

    /** Takes in that the last claim, which was sent at [sent], took effect. The rows may have been read meanwhile. */
    public fun claimed(outcome: TransactionOutcome.Committed, sent: Instants) {
        owner = claiming
        ownerRevision = outcome.revision
        renewed(outcome, sent)
    }

    /** Takes in that a renewal that was sent at [sent] took effect. */
    public fun renewed(outcome: TransactionOutcome.Committed, sent: Instants) {
        renewalRevision = outcome.revision
        changedStoreMillis = outcome.storeMillis
        changeUntimed = false
        seenStoreMillis = maxOf(seenStoreMillis, outcome.storeMillis)
        released = false
        validFrom = sent
    }

    /**
     * Takes in that a claim or renewal met other rows. An earlier one without an answer may have taken effect; then
     * the next try succeeds.
     */
    public fun conflicted(outcome: TransactionOutcome.Conflict) {
        outcome.current.forEach { row ->
            when (row.address) {
                ControlRows.OWNER -> observeOwner(row)

                ControlRows.RENEWAL -> {
                    changeUntimed = changeUntimed || row.revision > renewalRevision
                    observeRenewal(row, seenStoreMillis)
                }
            }
        }
    }

    /** Whether orders may be given at [now]: the lease can't have lapsed on either clock. */
    public fun valid(now: Instants): Boolean = overdueMillis(now) < 0

    /** How long the lease has been invalid; negative while it is valid. */
    public fun overdueMillis(now: Instants): Long {
        val from = validFrom ?: return Long.MAX_VALUE
        val elapsed = maxOf(now.steadyMillis - from.steadyMillis, now.wallMillis - from.wallMillis)
        return elapsed - (times.lapseMillis - times.marginMillis)
    }

    /** Whether a renewal is due. */
    public fun renewalDue(now: Instants): Boolean {
        val from = validFrom ?: return true
        return now.steadyMillis - from.steadyMillis >= times.renewMillis || !valid(now)
    }
}
