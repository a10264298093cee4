// Cancellations of jobs whose starts are under way, in random orders and with takeovers.

package org.gypsumturn.batch.schedule

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import org.gypsumturn.batch.StartFault
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.job
import org.gypsumturn.batch.step
import org.gypsumturn.batch.suspendHolder
import org.gypsumturn.batch.wakeHolder
import kotlin.random.Random

class CancelledStartTest : AnnotationSpec() {
    // Guards against: a start that an executor carries out after the cancellation runs on (UNASKED).
    @Test
    fun `a late start of a cancelled job is stopped, also by the next holder`() {
        var lateStarts = 0
        (1L..300L).forEach { seed ->
            val random = Random(seed)
            val fleet = VirtualFleet(3)
            fleet.run(100)
            fleet.executors.values.forEach { executor ->
                executor.startFaults +=
                    List(4) { if (random.nextBoolean()) StartFault.APPLIED_LATE else StartFault.ANSWER_LOST }
            }
            val cancelled = job(1, step(count = 6))
            fleet.submit(cancelled) { LONG_MILLIS }
            fleet.run(random.nextLong(1, 1_500))
            fleet.scheduler.cancelJob(fleet.nowMillis, cancelled.id)
            val startsAtCancellation = fleet.starts.size
            if (random.nextBoolean()) {
                fleet.run(random.nextLong(1, 500))
                fleet.takeOver(2)
                // The cancellation is stored, so that the next holder reads it with the job.
                fleet.scheduler.cancelJob(fleet.nowMillis, cancelled.id)
            }
            fleet.run(LATE_MILLIS + CONTACT_MILLIS)
            if (fleet.starts.size > startsAtCancellation) lateStarts++
            withClue("seed $seed") {
                fleet.executors.values.flatMap { it.runs.keys }.shouldBeEmpty()
                fleet.breaches.shouldBeEmpty()
            }
        }
        lateStarts shouldBeGreaterThan 0
    }

    // Guards against: a start that a holder has decided before it was suspended, and sends after another node has
    // acknowledged the cancellation and taken over, runs on (UNASKED) or lets a task run twice.
    @Test
    fun `a start that a suspended holder sends late is stopped by the next holder`() {
        var lateStarts = 0
        (1L..300L).forEach { seed ->
            val random = Random(seed)
            val fleet = VirtualFleet(3)
            fleet.run(100)
            fleet.suspendHolder()
            val cancelled = job(1, step(count = 6))
            fleet.submit(cancelled) { LONG_MILLIS }
            fleet.run(5)
            fleet.takeOver(2)
            fleet.scheduler.cancelJob(fleet.nowMillis, cancelled.id)
            val successor = fleet.scheduler
            // An executor that the successor has reached refuses the late start.
            fleet.executors.values.filter { random.nextBoolean() }.forEach { it.unreachableFrom += successor }
            fleet.run(random.nextLong(0, 6_000))
            fleet.wakeHolder(fleet.nowMillis + random.nextLong(0, 2_000))
            fleet.run(random.nextLong(5, 1_000))
            if (fleet.starts.isNotEmpty()) lateStarts++
            fleet.executors.values.forEach { it.unreachableFrom.clear() }
            fleet.run(CONTACT_MILLIS)
            withClue("seed $seed") {
                fleet.executors.values.flatMap { it.runs.keys }.shouldBeEmpty()
                fleet.breaches.shouldBeEmpty()
            }
        }
        println("suspended holders: late starts with $lateStarts of 300 seeds")
        lateStarts shouldBeGreaterThan 0
    }

    private companion object {
        /** A task that nobody stops runs until the end of the test. */
        const val LONG_MILLIS = 60_000L

        /** Executors of the fleet carry out late starts after this time. */
        const val LATE_MILLIS = 1_000L

        /** The time from a late start after which its run must have been stopped, with the time that a stop takes. */
        const val CONTACT_MILLIS = 3_000L + 900
    }
}
