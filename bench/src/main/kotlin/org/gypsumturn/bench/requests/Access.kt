// How a caller's request gets from the balancer to the dispatcher that decides on it: at once, or through one hop to
// the entry that owns the chosen executor.

package org.gypsumturn.bench.requests

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Priority
import org.gypsumturn.model.Verdict
import org.gypsumturn.request.ExchangeId
import org.gypsumturn.request.RequestEvent

/** Part of the weight that the balancer's busiest entry has over its idlest. */
private const val BALANCER_SKEW = 1.0

/** Time after which the death of an owner is known and its executors get a new one. */
private const val OWNER_LAPSE_MICROS = 2_000 * MICROS_PER_MILLI

/** The way to the dispatcher. */
internal interface Access {
    fun start()

    fun arrive(call: Call)

    fun callerLeft(call: Call)
}

/** Picks a live entry; some get up to twice the requests of others. */
internal fun World.balance(): Entry {
    val live = entries.filter { it.alive }
    val weights = live.map { 1.0 + BALANCER_SKEW * it.index / entries.size }
    var drawn = random.nextDouble() * weights.sum()
    return live.firstOrNull { entry ->
        drawn -= weights[live.indexOf(entry)]
        drawn < 0
    } ?: live.last()
}

/** Notes that the caller of [call] got [verdict]. */
internal fun World.replied(call: Call, verdict: Verdict<ExchangeId?>) {
    call.replies++
    call.verdict = verdict
    call.repliedMicros = simulator.nowMicros
    noLongerWaits(call)
    val isUseful = verdict is Verdict.Ran && simulator.nowMicros <= call.deadlineMicros
    if (isUseful && simulator.nowMicros <= scenario.seconds * MICROS_PER_SECOND) tally.answeredInTime++
}

/** The entry that the balancer picks decides. */
internal class DirectAccess(private val world: World) : Access {
    private val entryOf = HashMap<Call, Entry>()

    override fun start() {
        val view = viewOf(world.scenario, world.executors)
        world.entries.forEach { it.start(view) }
    }

    override fun arrive(call: Call) {
        val entry = world.balance()
        entryOf[call] = entry
        entry.accept(call) { verdict ->
            entryOf.remove(call)
            world.replied(call, verdict)
        }
    }

    override fun callerLeft(call: Call) {
        entryOf.remove(call)?.callerLeft(call)
    }
}

/** The owner of an executor decides; the entry that the balancer picks forwards to the least loaded owner it knows. */
internal class OwnerAccess(private val world: World) : Access {
    private val entryOf = HashMap<Call, Entry>()
    private val ownerByExecutor = world.executors.associateTo(HashMap()) { it to world.entries[0] }

    /** What an owner holds for a service and priority. */
    private data class Held(val owner: Int, val service: Int, val priority: Priority)

    private val held = HashMap<Held, Int>()

    /** The same as each entry knows it; renewed with each reply that passes. */
    private val known = world.entries.map { HashMap<Held, Int>() }

    override fun start() {
        assign()
        world.entries.forEach { it.start(viewFor(it)) }
        world.simulator.every(OWNER_LAPSE_MICROS) { reassignDead() }
    }

    override fun arrive(call: Call) {
        val first = world.balance()
        forward(call, first, avoided = null)
    }

    override fun callerLeft(call: Call) {
        entryOf.remove(call)?.callerLeft(call)
    }

    private fun forward(call: Call, first: Entry, avoided: Entry?) {
        val owner = owners(call.service).filter { it !== avoided }.minByOrNull { loadPerSlot(first, it, call) }
        if (owner == null) {
            world.replied(call, Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "no owner")))
            return
        }
        known[first.index].merge(heldOf(owner, call), 1, Int::plus)
        val hop = if (owner === first) 0 else world.random.hopMicros()
        world.simulator.after(hop) { reach(call, first, owner) }
    }

    private fun reach(call: Call, first: Entry, owner: Entry) {
        if (call.callerLeft) return
        if (!owner.alive) {
            forward(call, first, owner)
            return
        }
        entryOf[call] = owner
        held.merge(heldOf(owner, call), 1, Int::plus)
        owner.accept(call) { verdict ->
            entryOf.remove(call)
            held.merge(heldOf(owner, call), -1, Int::plus)
            val heldNow = held.getValue(heldOf(owner, call))
            val hop = if (owner === first) 0 else world.random.hopMicros()
            world.simulator.after(hop) {
                known[first.index][heldOf(owner, call)] = heldNow
                if (first.alive) world.replied(call, verdict) else call.entryDied = true
            }
        }
    }

    private fun heldOf(owner: Entry, call: Call) = Held(owner.index, call.service, call.priority)

    /** What the owner holds that would start before [call], for each executor. */
    private fun loadPerSlot(first: Entry, owner: Entry, call: Call): Double {
        val owned = ownerByExecutor.count { it.key.service == call.service && it.value === owner }
        val before = Priority.entries.filter { it <= call.priority }
            .sumOf { known[first.index][Held(owner.index, call.service, it)] ?: 0 }
        return before.toDouble() / owned
    }

    private fun owners(service: Int): List<Entry> =
        world.executors.filter { it.service == service }.map { ownerByExecutor.getValue(it) }.distinct()

    private fun assign() {
        val live = world.entries.filter { it.alive }
        world.executors.forEachIndexed { index, executor -> ownerByExecutor[executor] = live[index % live.size] }
    }

    private fun reassignDead() {
        if (ownerByExecutor.values.all { it.alive }) return
        assign()
        world.entries.filter { it.alive }.forEach { it.handle(RequestEvent.ViewChanged(viewFor(it))) }
    }

    private fun viewFor(entry: Entry) =
        viewOf(world.scenario, world.executors.filter { ownerByExecutor.getValue(it) === entry })
}
