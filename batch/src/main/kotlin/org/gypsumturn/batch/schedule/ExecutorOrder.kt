// Orders of the scheduler to executors, and the type of its decision log. The caller of the scheduler sends the orders
// and passes the answers back to it.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.Incarnation
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.port.ExecutorTarget
import org.gypsumturn.batch.port.PollOrder
import org.gypsumturn.batch.port.StartOrder
import org.gypsumturn.batch.state.Run

/** An order to the executor [target]. */
public sealed interface ExecutorOrder {
    public val target: ExecutorTarget

    /** Starts [run], or repeats a start that was not answered. */
    public class Start(override val target: ExecutorTarget, public val run: Run, public val order: StartOrder) :
        ExecutorOrder

    /**
     * Stops [run]. [incarnation] is the one of the executor that was known when the stop was decided. The stop bars the
     * run from that incarnation or a later one.
     */
    public class Stop(
        override val target: ExecutorTarget,
        public val run: RunId,
        public val incarnation: Incarnation?,
    ) : ExecutorOrder

    /** Polls the executor for its runs and ended runs. [number] rises with each poll of the term. */
    public class Poll(override val target: ExecutorTarget, public val number: Long, public val order: PollOrder) :
        ExecutorOrder

    /** Closes the connections to an executor that no longer runs or has moved to another address. */
    public class Forget(override val target: ExecutorTarget) : ExecutorOrder
}

/** Receives each decision: the event that names it, and the values that it was based on. */
public typealias DecisionLog = (event: String, fields: Array<out Pair<String, Any?>>) -> Unit
