// Threads on which an owner's calls to workers run, so that one silent worker does not hold up the others.

package org.gypsumturn.jobs

import java.util.concurrent.Callable
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

/** A fixed number of [threads] for calls to workers. */
public class ParallelWorkerCalls(threads: Int) :
    ParallelCalls,
    AutoCloseable {
    private val numbers = AtomicInteger()
    private val executor: ExecutorService =
        Executors.newFixedThreadPool(threads) { task ->
            Thread(task, "worker-calls-${numbers.incrementAndGet()}").apply { isDaemon = true }
        }

    /** Runs [calls] and returns once all have ended. The failure of a call is thrown here. */
    override fun invoke(calls: List<() -> Unit>) {
        executor.invokeAll(calls.map { call -> Callable { call() } }).forEach { it.get() }
    }

    override fun close() {
        executor.shutdown()
    }
}
