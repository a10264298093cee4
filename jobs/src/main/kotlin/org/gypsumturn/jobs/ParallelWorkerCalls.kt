// Runs an owner's calls to workers on several threads, so that one unresponsive worker does not delay the calls to the
// others.

package org.gypsumturn.jobs

import java.util.concurrent.Callable
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

/** Runs calls on a thread pool with a fixed number of [threads]. */
public class ParallelWorkerCalls(threads: Int) :
    ParallelCalls,
    AutoCloseable {
    private val lastThreadNumber = AtomicInteger()
    private val executor: ExecutorService =
        Executors.newFixedThreadPool(threads) { task ->
            Thread(task, "worker-calls-${lastThreadNumber.incrementAndGet()}").apply { isDaemon = true }
        }

    /**
     * Runs [calls] and returns once all have ended.
     *
     * @throws java.util.concurrent.ExecutionException if a call failed
     */
    override fun invoke(calls: List<() -> Unit>) {
        executor.invokeAll(calls.map { call -> Callable { call() } }).forEach { it.get() }
    }

    override fun close() {
        executor.shutdown()
    }
}
