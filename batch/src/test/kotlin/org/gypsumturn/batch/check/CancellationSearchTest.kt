package org.gypsumturn.batch.check

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.string.shouldStartWith
import org.gypsumturn.batch.job
import org.gypsumturn.batch.step

/** A job of which only half of the tasks have room. Its cancellation and [kinds] of further events are searched. */
private fun cancellationScenario(vararg kinds: Action, jobsAsOfMillis: JobsAsOf = { feed, _ -> feed.knownMillis }) =
    Scenario(
        "cancellation",
        machines = 2,
        tasksPerExecutor = 1,
        tasksBegun = true,
        cancellations = setOf(Action.CANCEL, *kinds),
        jobsAsOfMillis = jobsAsOfMillis,
        jobs = listOf(job(1, step(count = 4, estimateMillis = 60_000))),
    )

/**
 * Searches for tasks of a cancelled job that are started too late, or that run on. Holders that are not in touch, since
 * their lease has lapsed or they were suspended, are exempt by the rule. The system property `check.walks` makes the
 * searches larger, and `check.count` prints how many walks break which rule.
 */
class CancellationSearchTest : AnnotationSpec() {
    private val exempt =
        setOf(RunModel.UNFOUNDED_FAILURE, CancellationMonitor.AFTER_LAPSE, CancellationMonitor.AFTER_SUSPENSION)
    private val walks = System.getProperty("check.walks")?.toInt() ?: WALKS

    private fun search(name: String, scenario: Scenario, without: Set<Action> = emptySet()): Finding? {
        val startMillis = System.currentTimeMillis()
        val result = ModelSearch(scenario, exempt).walkRandomly(SEED, walks, LENGTH, without)
        val seconds = (System.currentTimeMillis() - startMillis) / 1_000.0
        println("cancellation, $name: ${result.states} walks, $seconds s")
        if (System.getProperty("check.count") != null) printCounts(name, scenario, without)
        return result.finding
    }

    private fun printCounts(name: String, scenario: Scenario, without: Set<Action>) {
        val search = ModelSearch(scenario, setOf(RunModel.UNFOUNDED_FAILURE))
        val counts = search.countBreaches(SEED, walks, LENGTH, without)
        println("cancellation, $name: $walks walks, $counts")
        counts.keys.forEach { println(search.shortestFinding(it, SEED, walks, LENGTH, without)) }
    }

    private fun shouldFind(name: String, scenario: Scenario, without: Set<Action> = emptySet()) =
        search(name, scenario, without).shouldNotBeNull().breach shouldStartWith "${CancellationMonitor.UNASKED}:"

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

    // Guards against: tasks of a cancelled job that run on, since a stop was lost, refused or overtaken by a start.
    @Test
    fun `no random walk lets a task of a cancelled job run on`() {
        search("stops", cancellationScenario(Action.REFUSE))?.toString().shouldBeNull()
    }

    // Guards against: a new holder that starts tasks before it has learned of a cancellation that was stored meanwhile.
    @Test
    fun `no random walk starts a task late while a takeover reads the rows`() {
        search("takeover", cancellationScenario(Action.READ))?.toString().shouldBeNull()
    }

    // Guards against: runs that a holder starts after a suspension, when another one has taken over, and that run on.
    @Test
    fun `no random walk lets a task run on that a suspended holder has started`() {
        search("suspended", cancellationScenario(Action.SUSPEND, Action.REFUSE))?.toString().shouldBeNull()
    }

    private companion object {
        const val SEED = 1L
        const val WALKS = 400
        const val LENGTH = 60
    }
}
