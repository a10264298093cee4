// Measures the size of the stored progress of a job and the time to encode it, beside the encoding before: lists of
// done tasks up to 2,000 for each step, sets of bits beyond, and attempts as plain lists.

package org.gypsumturn.bench.progress

import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.batch.state.Task
import org.gypsumturn.batch.state.progressRecordOf
import org.gypsumturn.bench.Report
import org.gypsumturn.model.JobId
import java.util.Base64
import java.util.BitSet
import kotlin.random.Random

/** Steps and tasks of a job, and the share of its tasks that have failed once. */
private data class ProgressCase(val steps: Int, val tasks: Int, val failedShare: Double)

private val QUICK_CASES = listOf(
    ProgressCase(1, 1, 0.0),
    ProgressCase(1, 100, 0.0),
    ProgressCase(10, 10_000, 0.0),
    ProgressCase(10, 20_000, 0.0),
)

private val CASES = QUICK_CASES + listOf(
    ProgressCase(1, 100, 0.1),
    ProgressCase(10, 10_000, 0.1),
    ProgressCase(1, 98_304, 0.0),
    ProgressCase(40, 98_304, 0.0),
    ProgressCase(40, 98_304, 0.02),
)

private const val SEED = 1
private const val ROW_BYTES = 65_536.0
private const val FIRST_ATTEMPT = 5_001L
private const val MAX_LISTED_NUMBERS = 2_000
private const val DONE_SHARE = 0.5
private const val MEASURED_NANOS = 200_000_000L
private const val NANOS_PER_MICRO = 1_000.0

/** Compares the encodings of the progress of jobs of which half of the tasks are done, drawn with a fixed seed. */
public fun runProgressExperiment(report: Report, quick: Boolean) {
    report.remark("seed $SEED, half of the tasks done; baseline: lists up to $MAX_LISTED_NUMBERS done tasks of a step")
    (if (quick) QUICK_CASES else CASES).forEach { case ->
        val state = stateOf(case)
        val name = "${case.tasks} tasks in ${case.steps} steps, ${(case.failedShare * 100).toInt()} % failed"
        val before = recordBefore(state).encode().size
        report.figure("$name: bytes before", before.toDouble(), "bytes")
        report.atMost("$name: bytes", progressRecordOf(state).encode().size.toDouble(), "bytes", ROW_BYTES)
        report.figure("$name: time before", encodeMicros { recordBefore(state) }, "us")
        report.figure("$name: time", encodeMicros { progressRecordOf(state) }, "us")
    }
}

private fun stateOf(case: ProgressCase): JobState {
    val random = Random(SEED)
    val job = BatchJob(JobId("1"), "h", "/q/", "", List(case.steps) { Step(case.tasks / case.steps) })
    val state = JobState(job, 0, 1)
    state.addOccurrence(0, 0).steps.flatMap { it.tasks }.forEach { task ->
        when {
            random.nextDouble() < DONE_SHARE -> task.markDone()
            random.nextDouble() < case.failedShare -> task.failedAttempts += FIRST_ATTEMPT
        }
    }
    return state
}

private fun recordBefore(state: JobState): ProgressRecord {
    val steps = state.occurrences.values.flatMap { it.steps }
    val done = steps.associate { step -> "${step.occurrence}.${step.index}" to step.tasks.filter { it.done } }
        .mapValues { (_, tasks) -> tasks.map { it.index } }.filterValues { it.isNotEmpty() }
    val (long, short) = done.entries.partition { it.value.size > MAX_LISTED_NUMBERS }
    val failed = steps.flatMap { it.tasks }.filter { !it.done && it.failedAttempts.isNotEmpty() }
    return ProgressRecord(
        state.phase,
        short.associate { it.key to it.value },
        failed.associate { placeOf(it) to it.failedAttempts.toList() },
        doneBits = long.associate { it.key to bitsOf(it.value) },
    )
}

private fun placeOf(task: Task) = "${task.step.occurrence}.${task.step.index}.${task.index}"

private fun bitsOf(numbers: List<Int>): String {
    val bits = BitSet()
    numbers.forEach(bits::set)
    return Base64.getEncoder().encodeToString(bits.toByteArray())
}

/** Mean time to build and encode a record, after as long a time of warming up. */
private fun encodeMicros(record: () -> ProgressRecord): Double {
    measure(record)
    return measure(record)
}

private fun measure(record: () -> ProgressRecord): Double {
    val startNanos = System.nanoTime()
    var count = 0
    var bytes = 0L
    while (System.nanoTime() - startNanos < MEASURED_NANOS) {
        bytes += record().encode().size
        count++
    }
    check(bytes > 0) { "nothing was encoded" }
    return (System.nanoTime() - startNanos) / NANOS_PER_MICRO / count
}
