// A machine of the model, which outlives the executors on it.

package org.gypsumturn.batch.check

import java.util.TreeSet

/** A machine and the executor on it, which is null while there is none. */
internal class ModelMachine(val number: Int) {
    val name = "m$number"
    var executor: ModelExecutor? = null
    var crashed = false
    var bornMillis = -1L
    var lastId = ""
    var lastAddress = ""

    /** Whether its executor can't be reached at present. */
    var silent = false

    /** Terms of the holders that can't reach its executor at present. */
    val partedTerms = TreeSet<Long>()

    /** The wave for which the machine is down, and the end of that upkeep. */
    var upkeepWave: Long? = null
    var upAgainMillis = 0L

    /** Ids of the executors that an order for the machine has ended. */
    val movedIds = HashSet<String>()
    private var generation = 0

    fun nextId(): String = "x$number" + LETTERS[++generation]

    fun nextAddress(): String = "a$number" + LETTERS[++generation]

    fun describe(nowMillis: Long, to: StringBuilder) {
        to.append(name).append(crashed).append(lastId).append(lastAddress).append(movedIds)
        to.append(silent).append(partedTerms).append(upkeepWave?.let { upAgainMillis - nowMillis })
        executor?.describe(nowMillis, to)
    }

    private companion object {
        const val LETTERS = "abcdefghijklmnopqrstuvwxyz"
    }
}
