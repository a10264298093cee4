// Events of the model and their form in trace files: one event per line, as an action, its object and a number.

package org.gypsumturn.batch.check

/**
 * What can happen in the model. Objects are machines (`m0`), ids of executors (`x0`), terms of holders (`1`), or calls
 * (`poll@1:x0`, `upkeep@1:m0`, `list@1`); of several equal calls the number selects one, the oldest being 0.
 */
internal enum class Action {
    /** Time passes, without any deliveries or with all of them. The number is the time in milliseconds. */
    ADVANCE,
    CALM,

    /** A call reaches its executor, which answers at once; or a poll reaches it and waits there. */
    DELIVER,
    ARRIVE,

    /** The answer of a call reaches the holder. */
    ANSWER,

    /** An order, or an answer, is lost. */
    LOSE,

    /** Run number N of a machine ends. */
    DONE,
    FAIL,

    /** An executor crashes. Its machine has it again, or at another address, or has another one at its address. */
    CRASH,
    RESTART,
    REHOME,
    RENEW,

    /** The platform ends an executor for a move or an upkeep, and a holder learns of it. */
    MOVE,
    MOVED,

    /** A list of machines without a silent executor reaches the holder. */
    ABSENT,

    /** The clock of a machine runs slow from now on. */
    SLOW,

    /** An executor writes its entry, or the entry lapses. */
    ENTRY,
    LAPSE,

    /** A holder stops working, goes on, loses the store, reaches it again, or gives its lease up. */
    PAUSE,
    WAKE,
    CUT,
    MEND,
    RELEASE,

    /** The writes of a holder wait from now on, or are carried out. */
    STALL,
    FLUSH,

    /** Another holder takes over. */
    TAKEOVER,

    /** The store is away, or back. */
    AWAY,
    BACK,

    /** A new configuration drops the queue. */
    DROP,

    /** An upkeep wave is requested. The number is that of the wave. */
    WAVE,

    /** An executor can't be reached, or can be reached again. */
    SILENCE,
    HEARD,

    /** The holder of term N can't reach the executor on a machine, or can reach it again. */
    PART,
    JOIN,

    /** A list of machines shows their state before it was requested. A machine order is refused as busy. */
    STALE,
    REFUSE,

    /** Time passes with all deliveries but those of orders for machines. */
    QUIET,

    /** A cancellation of a job is stored in partition N and acknowledged. */
    CANCEL,

    /** The feed of jobs of a holder stands still while its other calls are answered, or goes on. */
    HALT,
    RESUME,

    /** The feed of a holder has lost its history, so that all partitions are read again. Partition N is read. */
    DISCARD,
    READ,

    /**
     * A holder is suspended before it sends the next start that it decides: its process alone, or with N = 1 its
     * machine, whose steady clock stands still.
     */
    SUSPEND,
}

/** One event. */
internal data class ModelEvent(val action: Action, val target: String = "-", val number: Long = 0) {
    override fun toString(): String = "${action.name.lowercase()} $target $number"

    companion object {
        /** Reads an event from a line of a trace file. */
        fun parse(line: String): ModelEvent {
            val (action, target, number) = line.trim().split(' ')
            return ModelEvent(Action.valueOf(action.uppercase()), target, number.toLong())
        }
    }
}
