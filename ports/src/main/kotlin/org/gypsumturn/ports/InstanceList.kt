// Port to the platform's list of instances. The list lags: it may miss an instance that has started, and may still
// show one that is gone.

package org.gypsumturn.ports

import org.gypsumturn.model.Address
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Verdict

/** What the platform says about an instance. */
public enum class ListedState { LIVE, LEAVING }

/** An instance as listed. [bootCount] grows with each reboot. */
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

/** The list, and the time (milliseconds since the epoch, platform's clock) at which it was true. */
public data class InstanceListing(public val asOfMillis: Long, public val instances: List<ListedInstance>)

/** The platform's instance list, and the means to reboot an instance. */
public interface InstanceList {
    /** The list as the platform knows it. */
    public fun list(timeoutMillis: Long): Verdict<InstanceListing>

    /** Asks the platform to reboot [instance]. The boot count grows once the instance is back. */
    public fun reboot(instance: InstanceId, timeoutMillis: Long): Verdict<Unit>
}
