package org.gypsumturn.entry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.random.Random

/** Many callers with unique payloads while targets fail in every way at random. */
class CrossedAnswersTest : AnnotationSpec() {
    private class Sent(val payload: String, val answer: SeenAnswer)

    private val random = Random(SEED)

    @Synchronized
    private fun draw(bound: Int) = random.nextInt(bound)

    private fun misbehave(seen: SeenRequest, side: TargetSide) {
        when (draw(40)) {
            0 -> side.reset()

            1 -> {
                side.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n${seen.body}")
                side.close()
            }

            2 -> {
                Thread.sleep(DEADLINE_MILLIS * 2)
                side.answer(seen.body)
            }

            3 -> side.refuse()

            4 -> side.write("HTTP/1.1 200 OK\r\nContent-Length: ${seen.body.length}\r\n\r\n${seen.body}HTTP/1.1 ")

            5 -> side.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")

            else -> side.answer(seen.body)
        }
    }

    private fun call(entry: EntryFixture, number: Int, sent: ConcurrentLinkedQueue<Sent>) {
        var caller = entry.caller()
        repeat(CALLS) { call ->
            val payload = "caller-$number-call-$call"
            val key = if (call % 2 == 0) listOf("Idempotency-Key: $payload") else emptyList()
            val headers = key + "X-Deadline-Millis: $DEADLINE_MILLIS"
            if (draw(50) == 0) {
                caller.send("/services/orders/", "$payload-left", headers = headers)
                caller.close()
                caller = entry.caller()
            }
            sent += Sent(payload, caller.call("/services/orders/", payload, headers = headers))
        }
        caller.close()
    }

    @Test
    fun `nobody gets another's answer, nothing runs twice, and what is said not to have run has not`() {
        println("seed $SEED")
        val executions = ConcurrentHashMap<String, Int>()
        val targets = (1..3).map {
            FakeTarget { seen, side ->
                executions.merge(seen.body, 1, Int::plus)
                misbehave(seen, side)
            }
        }
        val sent = ConcurrentLinkedQueue<Sent>()
        EntryFixture(SetView(viewOf(targets.map { it.port }))).use { entry ->
            (1..CALLERS).map { thread { call(entry, it, sent) } }.forEach { it.join() }
        }
        targets.forEach { it.close() }
        val refusals = targets.flatMap { it.refused }.groupingBy { it }.eachCount()
        val runs = executions.mapValues { (payload, count) -> count - (refusals[payload] ?: 0) }
        sent.size shouldBe CALLERS * CALLS
        sent.map { it.answer.verdict }.toSet() shouldBe setOf("ran", "may-have-run", "not-run")
        sent.filter { it.answer.verdict == "ran" && it.answer.body != it.payload }.shouldBeEmpty()
        sent.filter { it.answer.verdict == "ran" && runs[it.payload] != 1 }.map { it.payload }.shouldBeEmpty()
        sent.filter { it.answer.verdict == "not-run" && (runs[it.payload] ?: 0) > 0 }.map { it.payload }.shouldBeEmpty()
        runs.filterValues { it > 1 }.keys.shouldBeEmpty()
    }

    private companion object {
        const val SEED = 20_261_204L
        const val CALLERS = 8
        const val CALLS = 250
        const val DEADLINE_MILLIS = 200L
    }
}
