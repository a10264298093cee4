// Routes a simulated request from the load balancer to the entry whose dispatcher handles it: the entry that the
// balancer picked, or the entry that owns an executor of the service.

package org.gypsumturn.bench.requests

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Priority
import org.gypsumturn.model.Verdict
import org.gypsumturn.request.ExchangeId
import org.gypsumturn.request.RequestEvent

/** The weights of the entries at the load balancer grow evenly from 1 to almost 1 plus this value. */
private const val BALANCER_SKEW = 1.0

/** Interval at which the executors of crashed entries are given to live ones. */
private const val OWNER_CHECK_MICROS = 2_000 * MICROS_PER_MILLI

/** Routes requests to the dispatchers of the entries. */
internal interface RequestRouter {
    fun start()

    fun route(call: Call)

    fun handleCallerLeft(call: Call)
}

/** Picks a live entry at random, with unequal weights: some entries get up to twice as many requests as others. */
internal fun RequestSimulation.pickEntry(): Entry {
    val live = entries.filter { it.isAlive }
    val weights = live.map { 1.0 + BALANCER_SKEW * it.index / entries.size }
    var drawn = random.nextDouble() * weights.sum()
    return live.firstOrNull { entry ->
        drawn -= weights[live.indexOf(entry)]
        drawn < 0
    } ?: live.last()
}

/** Records that the caller of [call] received [verdict]. */
internal fun RequestSimulation.recordReply(call: Call, verdict: Verdict<ExchangeId?>) {
    call.replies++
    call.verdict = verdict
    call.repliedMicros = eventLoop.nowMicros
    stopWaiting(call)
    val isUseful = verdict is Verdict.Ran && eventLoop.nowMicros <= call.deadlineMicros
    if (isUseful && eventLoop.nowMicros <= scenario.seconds * MICROS_PER_SECOND) statistics.answeredInTime++
}

/** The entry that the load balancer picks handles the request itself. */
internal class DirectRouter(private val simulation: RequestSimulation) : RequestRouter {
    private val entryByCall = HashMap<Call, Entry>()

    override fun start() {
        val view = viewOf(simulation.scenario, simulation.executors)
        simulation.entries.forEach { it.start(view) }
    }

    override fun route(call: Call) {
        val entry = simulation.pickEntry()
        entryByCall[call] = entry
        entry.accept(call) { verdict ->
            entryByCall.remove(call)
            simulation.recordReply(call, verdict)
        }
    }

    override fun handleCallerLeft(call: Call) {
        entryByCall.remove(call)?.handleCallerLeft(call)
    }
}

/**
 * Each executor belongs to one entry. The entry that the load balancer picks forwards a request to the owner that has
 * the lowest load, as far as the forwarding entry knows.
 */
internal class OwnerRouter(private val simulation: RequestSimulation) : RequestRouter {
    private val entryByCall = HashMap<Call, Entry>()
    private val ownerByExecutor = simulation.executors.associateTo(HashMap()) { it to simulation.entries[0] }

    /** Key of the number of requests that an owner holds for a service and priority. */
    private data class LoadKey(val owner: Int, val service: Int, val priority: Priority)

    private val heldCounts = HashMap<LoadKey, Int>()

    /** [heldCounts] as each entry last learned them: an entry that forwards a request is updated by the reply. */
    private val knownHeldCounts = simulation.entries.map { HashMap<LoadKey, Int>() }

    override fun start() {
        assignOwners()
        simulation.entries.forEach { it.start(viewFor(it)) }
        simulation.eventLoop.scheduleEvery(OWNER_CHECK_MICROS) { reassignExecutorsOfDeadEntries() }
    }

    override fun route(call: Call) {
        val receivingEntry = simulation.pickEntry()
        forward(call, receivingEntry, avoided = null)
    }

    override fun handleCallerLeft(call: Call) {
        entryByCall.remove(call)?.handleCallerLeft(call)
    }

    private fun forward(call: Call, receivingEntry: Entry, avoided: Entry?) {
        val owner = owners(call.service).filter { it !== avoided }
            .minByOrNull { loadPerExecutor(receivingEntry, it, call) }
        if (owner == null) {
            simulation.recordReply(
                call,
                Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "no live entry owns an executor of the service")),
            )
            return
        }
        knownHeldCounts[receivingEntry.index].merge(loadKeyOf(owner, call), 1, Int::plus)
        val hop = if (owner === receivingEntry) 0 else simulation.random.hopMicros()
        simulation.eventLoop.schedule(hop) { deliver(call, receivingEntry, owner) }
    }

    private fun deliver(call: Call, receivingEntry: Entry, owner: Entry) {
        if (call.callerLeft) return
        if (!owner.isAlive) {
            forward(call, receivingEntry, owner)
            return
        }
        entryByCall[call] = owner
        heldCounts.merge(loadKeyOf(owner, call), 1, Int::plus)
        owner.accept(call) { verdict ->
            entryByCall.remove(call)
            heldCounts.merge(loadKeyOf(owner, call), -1, Int::plus)
            val currentHeldCount = heldCounts.getValue(loadKeyOf(owner, call))
            val hop = if (owner === receivingEntry) 0 else simulation.random.hopMicros()
            simulation.eventLoop.schedule(hop) {
                knownHeldCounts[receivingEntry.index][loadKeyOf(owner, call)] = currentHeldCount
                if (receivingEntry.isAlive) simulation.recordReply(call, verdict) else call.entryCrashed = true
            }
        }
    }

    private fun loadKeyOf(owner: Entry, call: Call) = LoadKey(owner.index, call.service, call.priority)

    /** Requests for each executor of [owner] that it would start before [call], as far as [receivingEntry] knows. */
    private fun loadPerExecutor(receivingEntry: Entry, owner: Entry, call: Call): Double {
        val ownedExecutorCount = ownerByExecutor.count { it.key.service == call.service && it.value === owner }
        val startedEarlier = Priority.entries.filter { it <= call.priority }
            .sumOf { knownHeldCounts[receivingEntry.index][LoadKey(owner.index, call.service, it)] ?: 0 }
        return startedEarlier.toDouble() / ownedExecutorCount
    }

    private fun owners(service: Int): List<Entry> =
        simulation.executors.filter { it.service == service }.map { ownerByExecutor.getValue(it) }.distinct()

    private fun assignOwners() {
        val live = simulation.entries.filter { it.isAlive }
        simulation.executors.forEachIndexed { index, executor -> ownerByExecutor[executor] = live[index % live.size] }
    }

    private fun reassignExecutorsOfDeadEntries() {
        if (ownerByExecutor.values.all { it.isAlive }) return
        assignOwners()
        simulation.entries.filter { it.isAlive }.forEach { it.handle(RequestEvent.ViewChanged(viewFor(it))) }
    }

    private fun viewFor(entry: Entry) =
        viewOf(simulation.scenario, simulation.executors.filter { ownerByExecutor.getValue(it) === entry })
}
