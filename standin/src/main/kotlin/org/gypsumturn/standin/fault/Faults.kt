// The faults that are in force: one for the store, one for each instance.

package org.gypsumturn.standin.fault

import org.apache.commons.rng.UniformRandomProvider
import org.gypsumturn.model.InstanceId
import org.gypsumturn.ports.fake.PortFault
import java.util.concurrent.ConcurrentHashMap

/** A fault of an instance; [text] is its name in the schema. */
internal enum class InstanceFault(val text: String) {
    NONE("none"),

    /** Refuses connections and new work. */
    REFUSE("refuse"),

    /** The connections that are open when the fault is set go silent for good; a worker answers no call. */
    SILENT("silent"),

    /** Takes [SLOW_FACTOR] times as long. */
    SLOW("slow"),

    /** Runs a request and answers it with status 500; a worker refuses every start. */
    ERROR("error"),

    /** Runs a request and closes the connection in the middle of the answer; a worker's answers are lost. */
    CUT("cut"),

    /** Fails every task that it starts. */
    FAIL_TASKS("fail-tasks"),

    /** Starts requests and tasks, and never ends them; a request holds its slot until a reboot. */
    NEVER_RETURN("never-return"),

    /** Is listed as leaving. */
    LEAVING("leaving"),
    ;

    companion object {
        fun ofText(text: String): InstanceFault? = entries.find { it.text == text }
    }
}

/** How much longer a slow instance takes. */
internal const val SLOW_FACTOR = 20

/** A fault of the table and the object store. */
internal data class StoreFault(val down: Boolean = false, val delayMillis: Long = 0, val loseAnswerShare: Double = 0.0)

/** Holds the faults in force. Thread-safe. */
internal class Faults(private val random: UniformRandomProvider) {
    private val instances = ConcurrentHashMap<InstanceId, InstanceFault>()

    @Volatile
    var store = StoreFault()

    fun of(instance: InstanceId): InstanceFault = instances[instance] ?: InstanceFault.NONE

    fun set(instance: InstanceId, fault: InstanceFault) {
        instances[instance] = fault
    }

    /** What becomes of the next call of the store. */
    fun nextStoreCall(isWrite: Boolean): PortFault {
        val current = store
        return when {
            current.down -> PortFault.REFUSE
            isWrite && draw() < current.loseAnswerShare -> PortFault.LOSE_ANSWER
            else -> PortFault.NONE
        }
    }

    /** Blocks for as long as a slow store does. */
    fun delayStoreCall() {
        val delayMillis = store.delayMillis
        if (delayMillis > 0) Thread.sleep(delayMillis)
    }

    private fun draw(): Double = synchronized(random) { random.nextDouble() }
}
