// Tests how soon a changed configuration is in force while polls of the operator's rows get no answer, in virtual time.

package org.gypsumturn.node

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.maps.shouldBeEmpty
import org.gypsumturn.batch.model.CallerLimits
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.port.FleetUpdate
import org.gypsumturn.batch.port.FleetUpdateKind
import org.gypsumturn.batch.port.FleetUpdatePage
import org.gypsumturn.batch.port.VerdictCallback
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

class ConfigurationSubscriberTest : AnnotationSpec() {
    private val loop = VirtualLoop()

    private fun configuration(version: Long) =
        FleetUpdate.ConfigurationChanged(FleetConfiguration(version, emptyList(), emptyMap(), CallerLimits(1_000)))

    /** Has version 1 of the configuration, and version 2 from [changedMillis] on. [silentPolls] get no answer. */
    private inner class Feed(var silentPolls: Int) : SilentFleetUpdateFeed() {
        var changedMillis = Long.MAX_VALUE

        override fun readAll(kind: FleetUpdateKind, timeoutMillis: Long, onVerdict: VerdictCallback<FleetUpdatePage>) =
            loop.runAfter(4) { onVerdict(Verdict.Ran(FleetUpdatePage(listOf(configuration(1)), Revision(1), 0))) }

        override fun awaitUpdates(
            kind: FleetUpdateKind,
            after: Revision,
            waitMillis: Long,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<FleetUpdatePage>,
        ) {
            if (silentPolls-- > 0) {
                val failure = Failure(FailureKind.TIMEOUT, "no answer in time")
                loop.runAfter(timeoutMillis) { onVerdict(Verdict.MayHaveRun(failure)) }
            } else {
                follow(after, loop.nowMillis + waitMillis, onVerdict)
            }
        }

        private fun follow(after: Revision, untilMillis: Long, onVerdict: VerdictCallback<FleetUpdatePage>) {
            val isNew = after == Revision(1) && loop.nowMillis >= changedMillis
            if (!isNew && loop.nowMillis < untilMillis) {
                loop.runAfter(10) { follow(after, untilMillis, onVerdict) }
            } else {
                val page = FleetUpdatePage(
                    if (isNew) listOf(configuration(2)) else emptyList(),
                    if (isNew) Revision(2) else after,
                    0,
                )
                loop.runAfter(4) { onVerdict(Verdict.Ran(page)) }
            }
        }
    }

    // Guards against: a node answers by a configuration that has been replaced for longer than the bound, since its
    // polls get no answer while the store answers all other calls.
    @Test
    fun `a configuration is in force within the bound although polls get no answer`() {
        val lateMillis = HashMap<Int, Long>()
        for (silentPolls in 0..4) {
            val feed = Feed(silentPolls)
            val fromMillis = loop.nowMillis
            feed.changedMillis = fromMillis + 20
            var inForceMillis = Long.MAX_VALUE
            val subscriber = subscriber(feed) { if (it.version == 2L) inForceMillis = loop.nowMillis }
            subscriber.start()
            loop.runUntil(fromMillis + 20_000)
            val tookMillis = inForceMillis - feed.changedMillis
            if (tookMillis > CONFIG_APPLY_MILLIS) lateMillis[silentPolls] = tookMillis
        }
        withClue("time until the change was in force, by the number of polls without an answer") {
            lateMillis.shouldBeEmpty()
        }
    }

    private fun subscriber(feed: Feed, onConfiguration: (FleetConfiguration) -> Unit) =
        ConfigurationSubscriber(feed, loop::runAfter, onConfiguration, { }, loop::nowMillis)

    private companion object {
        /** Time within which a stored configuration is in force at each node. */
        const val CONFIG_APPLY_MILLIS = 2_000L
    }
}
