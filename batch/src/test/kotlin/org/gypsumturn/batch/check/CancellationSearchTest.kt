package org.gypsumturn.batch.check

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.string.shouldStartWith
import org.gypsumturn.batch.job
import org.gypsumturn.batch.step

/** A job of which only half of the tasks have room. Its cancellation and [kinds] of further events are searched. */
private fun cancellationScenario(
    vararg kinds: Action,
    sendsOverdueStarts: Boolean = false,
    jobsAsOfMillis: JobsAsOf = { feed, _ -> feed.knownMillis },
) = Scenario(
    "cancellation",
    machines = 2,
    tasksPerExecutor = 1,
    tasksBegun = true,
    cancellations = setOf(Action.CANCEL, *kinds),
    jobsAsOfMillis = jobsAsOfMillis,
    sendsOverdueStarts = sendsOverdueStarts,
    jobs = listOf(job(1, step(count = 4, estimateMillis = 60_000))),
)

/**
 * Searches for tasks of a cancelled job that are started too late, or that run on. Holders that are not in touch are
 * exempt by the rule: their lease has lapsed, they have no path to the store, or they were suspended. The system
 * property `check.walks` makes the searches larger, and `check.count` prints how many walks break which rule.
 */
class CancellationSearchTest : AnnotationSpec() {
    private val exempt = setOf(
        RunModel.UNFOUNDED_FAILURE,
        CancellationMonitor.AFTER_LAPSE,
        CancellationMonitor.WITHOUT_STORE,
        CancellationMonitor.AFTER_SUSPENSION,
    )

    private fun search(
        name: String,
        scenario: Scenario,
        without: Set<Action> = emptySet(),
        defaultWalks: Int = WALKS,
        ignored: Set<String> = exempt,
    ): Finding? {
        val walks = System.getProperty("check.walks")?.toInt() ?: defaultWalks
        val startMillis = System.currentTimeMillis()
        val result = ModelSearch(scenario, ignored).walkRandomly(SEED, walks, LENGTH, without)
        val seconds = (System.currentTimeMillis() - startMillis) / 1_000.0
        println("cancellation, $name: ${result.states} walks, $seconds s")
        if (System.getProperty("check.count") != null) printCounts(name, scenario, walks, without)
        return result.finding
    }

    private fun printCounts(name: String, scenario: Scenario, walks: Int, without: Set<Action>) {
        val search = ModelSearch(scenario, setOf(RunModel.UNFOUNDED_FAILURE))
        val counts = search.countBreaches(SEED, walks, LENGTH, without)
        println("cancellation, $name: $walks walks, $counts")
        counts.keys.forEach { println(search.shortestFinding(it, SEED, walks, LENGTH, without)) }
    }

    private fun shouldFind(name: String, scenario: Scenario, without: Set<Action> = emptySet()) =
        search(name, scenario, without, WALKS_TO_FIND).shouldNotBeNull().breach shouldStartWith
            "${CancellationMonitor.UNASKED}:"

    // The search must find a holder that trusts its jobs as long as its lease is valid, while its feed stands still.
    @Test
    fun `the search finds starts by a holder whose feed stands still`() {
        shouldFind("feed, age unknown", cancellationScenario(Action.HALT) { _, nowMillis -> nowMillis })
    }

    // The search must find the same while all rows are read again after a discarded history.
    @Test
    fun `the search finds starts by a holder that reads all rows again`() {
        val scenario = cancellationScenario(Action.DISCARD, Action.READ) { _, nowMillis -> nowMillis }
        shouldFind("read again, age unknown", scenario, setOf(Action.TAKEOVER))
    }

    // The search must find a holder that takes the last answer of a reading for the time of all partitions.
    @Test
    fun `the search finds starts by a holder that takes the last partition for all of them`() {
        val scenario = cancellationScenario(Action.READ, Action.HALT, Action.DISCARD) { feed, _ -> feed.answeredMillis }
        shouldFind("age of the last partition", scenario)
    }

    // Guards against: a holder starts tasks by jobs that it read too long ago, in any order of these events.
    @Test
    fun `no random walk starts a task late while feeds stand still and rows are read again`() {
        val all = cancellationScenario(Action.HALT, Action.DISCARD, Action.READ)
        search("feeds and readings", all)?.toString().shouldBeNull()
    }

    // Guards against: tasks of a cancelled job that run on, since a stop was lost, refused or overtaken by a start.
    @Test
    fun `no random walk lets a task of a cancelled job run on`() {
        search("stops", cancellationScenario(Action.REFUSE))?.toString().shouldBeNull()
    }

    // The search must find a new holder that gives orders before it knows what was stored while it read the rows.
    @Test
    fun `the search finds starts by a holder that has read the rows at different times`() {
        shouldFind("takeover, age unknown", cancellationScenario(Action.READ) { _, nowMillis -> nowMillis })
    }

    // Guards against: runs that a holder starts after a suspension, when another one has taken over, and that run on.
    @Test
    fun `no random walk lets a task run on that a suspended holder has started`() {
        val scenario = cancellationScenario(Action.SUSPEND, Action.REFUSE, Action.HALT)
        search("suspended", scenario)?.toString().shouldBeNull()
    }

    // The search must find a holder that goes on after a suspension by sending the starts that it decided before.
    @Test
    fun `the search finds starts that were decided before a suspension`() {
        val scenario = cancellationScenario(Action.SUSPEND, sendsOverdueStarts = true)
        search("suspended, overdue starts", scenario, ignored = setOf(RunModel.UNFOUNDED_FAILURE))
            .shouldNotBeNull().breach shouldStartWith "${CancellationMonitor.AFTER_SUSPENSION}:"
    }

    private companion object {
        const val SEED = 1L
        const val WALKS = 200
        const val WALKS_TO_FIND = 2_000
        const val LENGTH = 60
    }
}
