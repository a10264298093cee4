// Enforces team quotas over all owners. Each owner writes one row with the capacity that teams hold in its pools and
// reads the rows of the others. A quota thus applies to the whole fleet with a lag of a few seconds, and the number of
// rows grows with the owners and not with pools, teams or jobs.

package org.gypsumturn.jobs

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.TeamId
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Transaction
import org.gypsumturn.ports.Write

/** Exchanges the usage of teams with the other owners while any team has a quota. */
internal class TeamUsage(
    private val table: TableStore,
    private val self: NodeId,
    private val state: OwnerState,
    private val health: TableHealth,
) {
    private val settings = state.settings
    private var nextExchangeMillis = Long.MIN_VALUE
    private var lastWritten: Map<TeamId, Capacity> = emptyMap()
    private var writtenAtMillis = Long.MIN_VALUE

    /** Reads the usage of the other live owners and writes this owner's usage if it has changed. */
    fun exchange(nowMillis: Long, view: FleetView, liveNodes: Set<NodeId>) {
        if (nowMillis < nextExchangeMillis || view.teams.values.none { it.jobQuota != null }) return
        nextExchangeMillis = nowMillis + settings.usageEveryMillis
        val rows = readUsage(nowMillis) ?: return
        val records = rows.mapNotNull { row -> row.value?.let(JobRows::decodeUsage) }
        val others = records.filter { it.node != self && it.node in liveNodes }
        state.teamUsageTracker.setHeldByOtherOwners(sum(others.map { it.held }))
        writeUsage(nowMillis, records.filter { it.node != self && isStale(it, nowMillis) })
    }

    private fun readUsage(nowMillis: Long): List<Row>? {
        if (!health.mayCall(nowMillis)) return null
        val answer = table.scan(JobRows.USAGE_PREFIX, null, MAX_OWNERS, settings.tableTimeoutMillis)
        if (answer is Verdict.Ran) health.onAnswer() else health.onFailure(nowMillis)
        return (answer as? Verdict.Ran)?.value
    }

    private fun writeUsage(nowMillis: Long, stale: List<UsageRecord>) {
        val held = state.teamUsageTracker.heldByThisOwner()
        val isDue = nowMillis - settings.usageEveryMillis * STALE_PERIODS / 2 >= writtenAtMillis
        if (held == lastWritten && !isDue && stale.isEmpty()) return
        val own = Write(JobRows.usage(self), JobRows.encode(UsageRecord(self, nowMillis, held)))
        val removals = stale.map { Write(JobRows.usage(it.node), null) }
        val answer = table.commit(Transaction(emptyList(), removals + own), settings.tableTimeoutMillis)
        if (answer !is Verdict.Ran) return health.onFailure(nowMillis)
        lastWritten = held
        writtenAtMillis = nowMillis
    }

    private fun isStale(record: UsageRecord, nowMillis: Long): Boolean =
        nowMillis - record.atMillis > settings.usageEveryMillis * STALE_PERIODS

    private fun sum(parts: List<Map<TeamId, Capacity>>): Map<TeamId, Capacity> {
        val total = HashMap<TeamId, Capacity>()
        parts.forEach { part -> part.forEach { (team, held) -> total.merge(team, held, Capacity::plus) } }
        return total
    }

    private companion object {
        const val MAX_OWNERS = 500
        const val STALE_PERIODS = 60
    }
}
