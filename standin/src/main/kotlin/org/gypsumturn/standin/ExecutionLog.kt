// What has been run, how often, and what a reboot has cut: the truth with which callers' verdicts are compared.

package org.gypsumturn.standin

import org.gypsumturn.schema.platform.Execution
import org.gypsumturn.schema.platform.ExecutionsReply

/** Counts executions. Thread-safe. */
internal class ExecutionLog {
    private val requests = HashMap<String, Int>()
    private val jobs = HashMap<String, Int>()
    private val interrupted = mutableListOf<String>()

    /** Counts one execution of the request [key]. */
    @Synchronized
    fun request(key: String) {
        requests.merge(key, 1, Int::plus)
    }

    /** Counts one start of the job [key]. */
    @Synchronized
    fun job(key: String) {
        jobs.merge(key, 1, Int::plus)
    }

    /** Notes that a reboot cut what ran under [key]. */
    @Synchronized
    fun interrupted(key: String) {
        interrupted += key
    }

    /** Everything so far. */
    @Synchronized
    fun toReply(): ExecutionsReply = ExecutionsReply
        .newBuilder()
        .addAllRequests(requests.map { (key, times) -> execution(key, times) })
        .addAllJobs(jobs.map { (key, times) -> execution(key, times) })
        .addAllInterruptedByReboot(interrupted)
        .build()

    private fun execution(key: String, times: Int) = Execution.newBuilder().setKey(key).setTimes(times).build()
}
