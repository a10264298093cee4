// Checks that failures are attributed to the job class or to the worker that causes them.

package org.gypsumturn.placement

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec

class FailureClassifierTest : AnnotationSpec() {
    private val good = jobSpec("good", jobClass = "good")
    private val bad = jobSpec("bad", jobClass = "bad")

    private fun instance(number: Int) = InstanceId("worker-$number")

    private fun classifierWithHistory() = FailureClassifier().apply {
        (1..5).forEach { number -> repeat(10) { recordSuccess(good, instance(number), 0) } }
        repeat(40) { recordFailure(bad, instance(1 + it % 5), 1, 1) }
    }

    private fun FailureClassifier.failAttempt(spec: JobSpec, worker: Int, nowMillis: Long): Boolean {
        recordStart(spec.id, instance(worker), nowMillis)
        return recordFailure(spec, instance(worker), nowMillis, nowMillis)
    }

    @Test
    fun `jobs of a class that fails on all workers are unrunnable and no worker is quarantined`() {
        val classifier = classifierWithHistory()
        classifier.quarantinedWorkers().shouldBeEmpty()
        (1..5).map { classifier.trustOf(instance(it), 1) }.toSet() shouldBe setOf(WorkerTrust.TRUSTED)
        val record = JobRecord(bad, failures = 3, failedOn = (1..3).map(::instance))
        classifier.unrunnableReason(record, "no such file").shouldNotBeNull()
        classifier
            .unrunnableReason(record.copy(failures = 2, failedOn = (1..2).map(::instance)), "no such file")
            .shouldBeNull()
    }

    @Test
    fun `jobs of two classes that fail on the same workers are all unrunnable`() {
        val classifier = classifierWithHistory()
        val other = jobSpec("other", jobClass = "also bad")
        repeat(40) { classifier.recordFailure(other, instance(1 + it % 5), 2, 2) }
        classifier.quarantinedWorkers().shouldBeEmpty()
        listOf(bad, other).forEach { spec ->
            val record = JobRecord(spec, failures = 3, failedOn = (1..3).map(::instance))
            classifier.unrunnableReason(record, "no such file").shouldNotBeNull()
        }
    }

    @Test
    fun `a faulty worker is quarantined although a bad class runs on it, and no good job is found unrunnable`() {
        val classifier = classifierWithHistory()
        var attempts = 0
        while (classifier.trustOf(instance(9), 2) != WorkerTrust.QUARANTINED && attempts < 100) {
            classifier.failAttempt(if (attempts++ % 3 == 0) bad else good, 9, 2)
        }
        attempts shouldBe 9
        classifier.quarantinedWorkers() shouldBe setOf(instance(9))
        classifier.unrunnableReason(failedOnce(good, "worker-9"), "exit 1").shouldBeNull()
        classifier.trustOf(instance(9), 300_002) shouldBe WorkerTrust.ON_TRIAL
        classifier.failAttempt(good, 9, 300_002) shouldBe false
        classifier.failAttempt(good, 9, 300_003) shouldBe true
        classifier.trustOf(instance(9), 600_002) shouldBe WorkerTrust.QUARANTINED
        classifier.recordStart(good.id, instance(9), 900_004)
        classifier.recordSuccess(good, instance(9), 900_004)
        classifier.trustOf(instance(9), 900_005) shouldBe WorkerTrust.TRUSTED
    }

    @Test
    fun `the success of an attempt that started before the failures does not end the trial of a worker`() {
        val classifier = classifierWithHistory()
        repeat(2) { classifier.failAttempt(good, 9, 100) }
        classifier.trustOf(instance(9), 100) shouldBe WorkerTrust.ON_TRIAL
        classifier.recordSuccess(good, instance(9), 50)
        classifier.trustOf(instance(9), 101) shouldBe WorkerTrust.ON_TRIAL
    }

    @Test
    fun `a few failures among many successes do not quarantine a worker`() {
        val classifier = classifierWithHistory()
        repeat(1_000) { number ->
            if (number % 20 < 2) classifier.failAttempt(good, 1, 10L + number) else classifier.succeedAt(10L + number)
        }
        classifier.quarantinedWorkers().shouldBeEmpty()
    }

    private fun FailureClassifier.succeedAt(nowMillis: Long) {
        recordStart(good.id, instance(1), nowMillis)
        recordSuccess(good, instance(1), nowMillis)
    }
}
