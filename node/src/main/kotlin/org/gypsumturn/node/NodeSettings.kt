// Settings of a node: where it listens, what it talks to, and the times that the installation bounds.

package org.gypsumturn.node

import org.gypsumturn.runtime.settings.HostAndPort
import org.gypsumturn.runtime.settings.Setting
import org.gypsumturn.runtime.settings.SettingsSchema
import org.gypsumturn.runtime.settings.address
import org.gypsumturn.runtime.settings.name
import org.gypsumturn.runtime.settings.number
import org.gypsumturn.runtime.settings.text
import org.gypsumturn.runtime.settings.wholeNumber

private const val DAY_MILLIS = 86_400_000L
private const val DAY_SECONDS = 86_400L
private const val PORTS = 65_535L

/** Settings of the node. */
public object NodeSettings {
    /** Name of the node. */
    public val nodeName: Setting<String> = name("node", "name", null, "name of this node, unique in the installation")

    /** Data centre of the node. */
    public val dataCentre: Setting<String> = name("node", "data_centre", null, "data centre of this node")

    /** IP number of the node. */
    public val host: Setting<String> = name("node", "host", null, "IP number of this node")

    /** Port for other nodes. */
    public val peerPort: Setting<Long> =
        wholeNumber("node", "peer_port", null, 1L..PORTS, "port", "port for other nodes")

    /** Port of the metrics. */
    public val metricsPort: Setting<Long> =
        wholeNumber("node", "metrics_port", null, 1L..PORTS, "port", "port of the metrics")

    /** Share of a processor core. */
    public val coreShare: Setting<Double> =
        number("node", "core_share", 1.0, 0.0, 1_024.0, "cores", "processor cores that the node may use")

    /** Address for callers. */
    public val callerAddress: Setting<HostAndPort> = address("node", "caller_address", null, "address for callers")

    /** Address of the readiness check. */
    public val readyAddress: Setting<HostAndPort> =
        address("node", "ready_address", null, "address of the readiness check")

    /** Address of the store. */
    public val storeAddress: Setting<HostAndPort> =
        address("platform", "store_address", null, "address of the platform's store")

    /** Address of the list of machines. */
    public val machinesAddress: Setting<String> =
        text("platform", "machines_address", "", "address of the machines' API, or empty")

    /** Address of the advisor. */
    public val advisorAddress: Setting<String> =
        text("platform", "advisor_address", "", "address of the placement advisor, or empty")

    /** Whether executors take orders by call. */
    public val orderMode: Setting<String> =
        name("platform", "order_mode", "rpc", "how executors take orders; only rpc is served")

    /** Longest lease of what runs. */
    public val maxLeaseMillis: Setting<Long> = millis("max_lease_millis", 6_000, "longest lease that executors grant")

    /** Longest time of a stop. */
    public val stopMillis: Setting<Long> = millis("stop_millis", 900, "longest time that a stop takes")

    /** Wait of a gang. */
    public val gangTimeoutMillis: Setting<Long> =
        millis("gang_timeout_millis", 3_000, "time that members of a gang wait for others")

    /** Earliness of timed jobs. */
    public val earlyMillis: Setting<Long> = millis("early_millis", 250, "how much too early a timed job may start")

    /** Distance between orders of two holders for one machine. */
    public val orderLeaseMillis: Setting<Long> =
        millis("order_lease_millis", 3_000, "time between orders of two holders for a machine")

    /** Notice of upkeep. */
    public val noticeMillis: Setting<Long> =
        millis("notice_millis", 4_500, "absence after which a long-running task counts as away")

    /** Slowness of remote data. */
    public val remoteFactor: Setting<Double> =
        number("limits", "remote_factor", 2.0, 1.0, 1_000.0, "", "how much longer tasks run away from their data")

    /** Time of a move. */
    public val moveSeconds: Setting<Double> =
        seconds("move_seconds", 1.5, "time that a machine takes to change its pool")

    /** Time of upkeep. */
    public val upkeepSeconds: Setting<Double> = seconds("upkeep_seconds", 2.0, "time that upkeep takes")

    /** Grace of a termination. */
    public val graceSeconds: Setting<Double> =
        seconds("grace_seconds", 6.0, "time from the request to end until the process is killed")

    /** How long states are kept. */
    public val statusSeconds: Setting<Long> =
        wholeNumber("limits", "status_seconds", 120, 1L..DAY_SECONDS, "seconds", "time that a job's end can be read")

    /** All settings. */
    public val schema: SettingsSchema = SettingsSchema(
        listOf(
            nodeName, dataCentre, host, peerPort, metricsPort, coreShare, callerAddress, readyAddress,
            storeAddress, machinesAddress, advisorAddress, orderMode,
            maxLeaseMillis, stopMillis, gangTimeoutMillis, earlyMillis, orderLeaseMillis, noticeMillis,
            remoteFactor, moveSeconds, upkeepSeconds, graceSeconds, statusSeconds,
        ),
    )

    private fun millis(key: String, default: Long, description: String) =
        wholeNumber("limits", key, default, 0L..DAY_MILLIS, "milliseconds", description)

    private fun seconds(key: String, default: Double, description: String) =
        number("limits", key, default, 0.0, DAY_SECONDS.toDouble(), "seconds", description)
}
