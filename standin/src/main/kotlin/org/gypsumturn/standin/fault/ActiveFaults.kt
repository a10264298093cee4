// Faults that the stand-in can simulate, and the registry of the active ones: one for the table and the object store,
// and one for each instance.

package org.gypsumturn.standin.fault

import org.apache.commons.rng.UniformRandomProvider
import org.gypsumturn.model.InstanceId
import org.gypsumturn.ports.fake.PortFault
import java.util.concurrent.ConcurrentHashMap

/** A simulated fault of an executor or worker. [text] is its name in requests to set a fault. */
internal enum class InstanceFault(val text: String) {
    NONE("none"),

    /** Refuses connections and new work; work that runs continues. */
    REFUSE("refuse"),

    /**
     * Connections that are open when the fault is set carry no data from then on, also after the fault is removed. A
     * worker answers no call.
     */
    SILENT("silent"),

    /** Requests and tasks take [SLOW_FACTOR] times as long. */
    SLOW("slow"),

    /** An executor runs requests but answers them with status 500. A worker refuses to start new tasks. */
    ERROR("error"),

    /** An executor runs requests but closes the connection in the middle of the answer. A worker's answers are lost. */
    CUT("cut"),

    /** Every task that a worker starts fails. */
    FAIL_TASKS("fail-tasks"),

    /** Requests and tasks start but never finish. A request occupies its slot until a reboot. */
    NEVER_RETURN("never-return"),

    /** The platform lists the instance as leaving. */
    LEAVING("leaving"),
    ;

    companion object {
        fun ofText(text: String): InstanceFault? = entries.find { it.text == text }
    }
}

/** Factor by which [InstanceFault.SLOW] multiplies the duration of requests and tasks. */
internal const val SLOW_FACTOR = 20

/**
 * A simulated fault of the table and the object store.
 *
 * @property down every call is refused
 * @property delayMillis time that each call waits before it takes effect
 * @property loseAnswerShare share of writes, from 0 to 1, that take effect but are not answered
 */
internal data class StoreFault(val down: Boolean = false, val delayMillis: Long = 0, val loseAnswerShare: Double = 0.0)

/** Holds the active faults. Thread-safe. [random] draws the writes whose answers are lost. */
internal class ActiveFaults(private val random: UniformRandomProvider) {
    private val instances = ConcurrentHashMap<InstanceId, InstanceFault>()

    @Volatile
    var storeFault = StoreFault()

    fun instanceFault(instance: InstanceId): InstanceFault = instances[instance] ?: InstanceFault.NONE

    fun set(instance: InstanceId, fault: InstanceFault) {
        instances[instance] = fault
    }

    /** Fault to apply to the next call of the table or the object store. */
    fun nextStoreCall(isWrite: Boolean): PortFault {
        val fault = storeFault
        return when {
            fault.down -> PortFault.REFUSE
            isWrite && draw() < fault.loseAnswerShare -> PortFault.LOSE_ANSWER
            else -> PortFault.NONE
        }
    }

    /** Blocks the calling thread for the delay of the active [storeFault]. */
    fun delayStoreCall() {
        val delayMillis = storeFault.delayMillis
        if (delayMillis > 0) Thread.sleep(delayMillis)
    }

    private fun draw(): Double = synchronized(random) { random.nextDouble() }
}
