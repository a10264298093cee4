// The settings of a node: the addresses at which it listens, the services that it calls, and the limits of the
// installation.

package org.gypsumturn.node

import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.runtime.settings.HostAndPort
import org.gypsumturn.runtime.settings.Setting
import org.gypsumturn.runtime.settings.SettingsSchema
import org.gypsumturn.runtime.settings.address
import org.gypsumturn.runtime.settings.name
import org.gypsumturn.runtime.settings.number
import org.gypsumturn.runtime.settings.oneOf
import org.gypsumturn.runtime.settings.text
import org.gypsumturn.runtime.settings.wholeNumber

private const val DAY_MILLIS = 86_400_000L
private const val DAY_SECONDS = 86_400L

/** Highest port number. */
private const val PORTS = 65_535L

private const val MAX_ROW_BYTES = 16_777_216L

/** The settings of a node. The description of each setting is shown in the help text. */
public object NodeSettings {
    public val nodeName: Setting<String> = name("node", "name", null, "name of this node, unique in the installation")

    public val dataCentre: Setting<String> = name("node", "data_centre", null, "data centre of this node")

    public val host: Setting<String> = name("node", "host", null, "IP number of this node")

    public val peerPort: Setting<Long> =
        wholeNumber("node", "peer_port", null, 1L..PORTS, "port", "port on which this node serves other nodes")

    public val metricsPort: Setting<Long> =
        wholeNumber("node", "metrics_port", null, 1L..PORTS, "port", "port on which metrics are served")

    public val coreShare: Setting<Double> =
        number("node", "core_share", 1.0, 0.0, 1_024.0, "cores", "processor cores that the node may use")

    public val callerAddress: Setting<HostAndPort> =
        address("node", "caller_address", null, "address at which callers are served")

    public val readyAddress: Setting<HostAndPort> =
        address("node", "ready_address", null, "address at which the readiness check is served")

    public val storeAddress: Setting<HostAndPort> =
        address("platform", "store_address", null, "address of the platform's store")

    /** Machines are neither moved nor taken down for upkeep if this is empty. */
    public val machinesAddress: Setting<String> =
        text("platform", "machines_address", "", "address of the platform's machine API; empty for none")

    public val advisorAddress: Setting<String> =
        text("platform", "advisor_address", "", "address of the placement advisor; empty for none")

    public val orderMode: Setting<String> =
        name("platform", "order_mode", "rpc", "how orders reach executors; only rpc is supported")

    public val maxRowBytes: Setting<Long> =
        wholeNumber(
            "platform",
            "max_row_bytes",
            65_536,
            1_024L..MAX_ROW_BYTES,
            "bytes",
            "largest value of a stored row",
        )

    public val maxLeaseMillis: Setting<Long> =
        millis("max_lease_millis", 6_000, "longest lease that executors grant to a run")

    public val stopMillis: Setting<Long> = millis("stop_millis", 900, "longest time that stopping a run takes")

    public val gangTimeoutMillis: Setting<Long> =
        millis("gang_timeout_millis", 3_000, "time that the members of a gang wait for each other")

    public val earlyMillis: Setting<Long> =
        millis("early_millis", 250, "how long before its start time a timed job may start")

    public val orderLeaseMillis: Setting<Long> =
        millis("order_lease_millis", 3_000, "least time between the orders of two lease holders for one machine")

    public val noticeMillis: Setting<Long> =
        millis("notice_millis", 4_500, "time without a run after which a long-running task counts as missing")

    /** A start order takes up to 600 ms, so that much less than a second would leave no time to read a cancellation. */
    public val cancelMillis: Setting<Long> =
        wholeNumber(
            "limits",
            "cancel_millis",
            SchedulerSettings.DEFAULT_CANCEL_MILLIS,
            1_000L..DAY_MILLIS,
            "milliseconds",
            "time after the answer to a cancellation from which on no task of the job starts",
        )

    public val remoteFactor: Setting<Double> =
        number(
            "limits",
            "remote_factor",
            2.0,
            1.0,
            1_000.0,
            "",
            "factor by which tasks take longer away from their data",
        )

    public val moveSeconds: Setting<Double> =
        seconds("move_seconds", 1.5, "time that a machine takes to change its pool")

    public val upkeepSeconds: Setting<Double> =
        seconds("upkeep_seconds", 2.0, "time that the upkeep of a machine takes")

    public val graceSeconds: Setting<Double> =
        seconds("grace_seconds", 6.0, "time from the termination signal until the process is killed")

    public val statusSeconds: Setting<Long> =
        wholeNumber(
            "limits",
            "status_seconds",
            120,
            1L..DAY_SECONDS,
            "seconds",
            "time for which the state of an ended job can be read",
        )

    public val overloadOrder: Setting<String> =
        oneOf(
            "scheduling",
            "overload_order",
            "plan",
            listOf("plan", "cost"),
            "which jobs wait while a pool can't do all in time: the oldest, or those that cost callers least",
        )

    /** All settings of a node, in the order of the help text. */
    public val schema: SettingsSchema = SettingsSchema(
        listOf(
            nodeName, dataCentre, host, peerPort, metricsPort, coreShare, callerAddress, readyAddress,
            storeAddress, machinesAddress, advisorAddress, orderMode, maxRowBytes,
            maxLeaseMillis, stopMillis, gangTimeoutMillis, earlyMillis, orderLeaseMillis, noticeMillis, cancelMillis,
            remoteFactor, moveSeconds, upkeepSeconds, graceSeconds, statusSeconds, overloadOrder,
        ),
    )

    private fun millis(key: String, default: Long, description: String) =
        wholeNumber("limits", key, default, 0L..DAY_MILLIS, "milliseconds", description)

    private fun seconds(key: String, default: Double, description: String) =
        number("limits", key, default, 0.0, DAY_SECONDS.toDouble(), "seconds", description)
}
