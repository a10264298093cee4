// Guards against answers that reach the wrong caller, requests that run twice, and wrong verdicts. Many callers send
// requests with unique payloads while the targets fail at random: resets, partial, late, malformed and extra answers,
// refusals.

package org.gypsumturn.entry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.random.Random

class CrossedAnswersTest : AnnotationSpec() {
    private class SentRequest(val payload: String, val answer: ReceivedAnswer)

    private val random = Random(SEED)

    @Synchronized
    private fun nextRandom(bound: Int) = random.nextInt(bound)

    private fun answerOrFailAtRandom(request: ReceivedRequest, socket: TargetSocket) {
        when (nextRandom(40)) {
            0 -> socket.reset()

            1 -> {
                socket.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n${request.body}")
                socket.close()
            }

            2 -> {
                Thread.sleep(DEADLINE_MILLIS * 2)
                socket.answer(request.body)
            }

            3 -> socket.refuse()

            4 ->
                socket.write(
                    "HTTP/1.1 200 OK\r\nContent-Length: ${request.body.length}\r\n\r\n${request.body}HTTP/1.1 ",
                )

            5 -> socket.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")

            else -> socket.answer(request.body)
        }
    }

    private fun call(entry: EntryFixture, number: Int, sent: ConcurrentLinkedQueue<SentRequest>) {
        var caller = entry.caller()
        repeat(CALLS) { call ->
            val payload = "caller-$number-call-$call"
            val key = if (call % 2 == 0) listOf("Idempotency-Key: $payload") else emptyList()
            val headers = key + "X-Deadline-Millis: $DEADLINE_MILLIS"
            if (nextRandom(50) == 0) {
                caller.send("/services/orders/", "$payload-left", headers = headers)
                caller.close()
                caller = entry.caller()
            }
            sent += SentRequest(payload, caller.call("/services/orders/", payload, headers = headers))
        }
        caller.close()
    }

    @Test
    fun `no caller gets the answer of another request and no request runs twice or runs despite the verdict not-run`() {
        println("seed $SEED")
        val executions = ConcurrentHashMap<String, Int>()
        val targets = (1..3).map {
            FakeTarget { request, socket ->
                executions.merge(request.body, 1, Int::plus)
                answerOrFailAtRandom(request, socket)
            }
        }
        val sent = ConcurrentLinkedQueue<SentRequest>()
        EntryFixture(SettableViewSource(viewOf(targets.map { it.port }))).use { entry ->
            (1..CALLERS).map { thread { call(entry, it, sent) } }.forEach { it.join() }
        }
        targets.forEach { it.close() }
        val refusals = targets.flatMap { it.refusedBodies }.groupingBy { it }.eachCount()
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
