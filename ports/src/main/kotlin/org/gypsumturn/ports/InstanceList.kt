// Port to the platform's list of instances. The list lags behind the fleet: it may lack an instance that has started,
// and may still contain one that has stopped.

package org.gypsumturn.ports

import org.gypsumturn.model.Address
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Verdict

/** State of an instance in the platform's list. [LEAVING] means that the platform will remove the instance. */
public enum class ListedState { LIVE, LEAVING }

/** An instance in the platform's list. [bootCount] increases with each reboot. */
public data class ListedInstance(
    public val id: InstanceId,
    public val domain: FailureDomain,
    public val address: Address,
    public val capacity: Capacity,
    public val slots: Int,
    public val connections: Int,
    public val state: ListedState,
    public val bootCount: Long,
)

/** Content of the list at [asOfMillis], which is in milliseconds since the Unix epoch by the platform's clock. */
public data class InstanceListing(public val asOfMillis: Long, public val instances: List<ListedInstance>)

/** The platform's interface to list and reboot instances. Calls block until an answer or the timeout. */
public interface InstanceList {
    /** Reads the current list. */
    public fun list(timeoutMillis: Long): Verdict<InstanceListing>

    /** Asks the platform to reboot [instance]. Its boot count increases when it has started again. */
    public fun reboot(instance: InstanceId, timeoutMillis: Long): Verdict<Unit>
}
