// Stored cancellations whose job the lease holder has not read. The job may still be on its way: in the queue of the
// node that received it, in a transaction that the store performs late, or in a request that the caller repeats. Each
// cancellation is kept for longer than any of these can take, and then its row is removed.

package org.gypsumturn.batch.state

import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.port.RowCondition
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Revision

/**
 * A cancellation that is stored at [address] under [revision] and that the holder read at [readMillis] on its steady
 * clock.
 */
public class UnmatchedCancellation(
    public val address: RowAddress,
    public val revision: Revision,
    public val content: StoredCancellation,
    public val readMillis: Long,
)

/**
 * The cancellations without a job that one lease holder has read. They are kept for [keptMillis] from when they were
 * read, so that a later holder keeps them from the beginning of its term.
 */
public class UnmatchedCancellations(private val keptMillis: Long) {
    /** In the order in which they were read. */
    private val byAddress = LinkedHashMap<RowAddress, UnmatchedCancellation>()
    private val addressesByJob = HashMap<JobId, MutableSet<RowAddress>>()

    /** Number of cancellations. */
    public val size: Int get() = byAddress.size

    /** Whether no more cancellations without a job should be stored. Those that are read are kept nevertheless. */
    public val isFull: Boolean get() = size >= MAX_CANCELLATIONS

    /** Adds the cancellation of job [id] that was read at [nowMillis]. A row that is read again is not kept longer. */
    public fun add(nowMillis: Long, id: JobId, address: RowAddress, revision: Revision, content: StoredCancellation) {
        if (byAddress[address]?.revision == revision) return
        byAddress.remove(address)
        byAddress[address] = UnmatchedCancellation(address, revision, content, nowMillis)
        addressesByJob.getOrPut(id) { HashSet(1) } += address
    }

    /** Removes and returns the cancellations that apply to [job]. */
    public fun takeMatching(job: BatchJob): List<UnmatchedCancellation> {
        val matching = addressesByJob[job.id].orEmpty().mapNotNull(byAddress::get).filter { it.content.appliesTo(job) }
        matching.forEach { remove(it.address) }
        return matching
    }

    /** At most [limit] conditions on the rows in one partition that are no longer kept at [nowMillis], oldest first. */
    public fun expiredRows(nowMillis: Long, limit: Int): List<RowCondition> {
        val expired = byAddress.values.asSequence().takeWhile { nowMillis - it.readMillis > keptMillis }
        val partition = expired.firstOrNull()?.address?.partition ?: return emptyList()
        return expired.filter { it.address.partition == partition }.take(limit)
            .map { RowCondition(it.address, it.revision) }.toList()
    }

    /** Forgets the cancellation at [address] unless its row was written again after [revision]. */
    public fun onRemoved(address: RowAddress, revision: Revision) {
        if (byAddress[address]?.let { it.revision <= revision } == true) remove(address)
    }

    private fun remove(address: RowAddress) {
        byAddress.remove(address)
        val id = JobRows.cancelledJob(address) ?: return
        val addresses = addressesByJob[id] ?: return
        addresses -= address
        if (addresses.isEmpty()) addressesByJob -= id
    }

    private companion object {
        /**
         * Most cancellations without a job, about 10 MB of memory. Requests to cancel further unknown jobs are rejected
         * until some have expired.
         */
        const val MAX_CANCELLATIONS = 20_000
    }
}
