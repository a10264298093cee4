// Settings of the view replica, of calls to the platform and of the peer server, with their defaults.

package org.gypsumturn.peer

import org.gypsumturn.model.Address
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.Node
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.NodeRole
import org.gypsumturn.model.RegionId
import org.gypsumturn.runtime.settings.CommonSettings
import org.gypsumturn.runtime.settings.HostAndPort
import org.gypsumturn.runtime.settings.Setting
import org.gypsumturn.runtime.settings.Settings
import org.gypsumturn.runtime.settings.address
import org.gypsumturn.runtime.settings.addresses
import org.gypsumturn.runtime.settings.wholeNumber
import java.util.UUID

/**
 * Times of a node's view replica and heartbeats, in milliseconds.
 *
 * @property leaseMillis time for which a confirmed view may be used
 * @property lapseMillis time without a heartbeat or reply after which a node no longer counts as live
 * @property pollIntervalMillis time between two polls for a newer view
 * @property heartbeatIntervalMillis time between two heartbeats of the node
 * @property platformTimeoutMillis deadline of a call to the platform
 * @property peerTimeoutMillis deadline of a call to another node
 */
public data class ViewTiming(
    public val leaseMillis: Long = 3_000,
    public val lapseMillis: Long = 5_000,
    public val pollIntervalMillis: Long = 500,
    public val heartbeatIntervalMillis: Long = 1_000,
    public val platformTimeoutMillis: Long = 1_000,
    public val peerTimeoutMillis: Long = 500,
)

/** Settings of the sections `view`, `platform` and `peer`. */
public object ViewSettings {
    private const val MILLISECONDS = "milliseconds"
    private val defaults = ViewTiming()

    /** Time for which a confirmed view may be used. */
    public val leaseMillis: Setting<Long> =
        wholeNumber(
            "view",
            "lease_millis",
            defaults.leaseMillis,
            500L..60_000L,
            MILLISECONDS,
            "time for which a confirmed view may be used",
        )

    /** Time without a heartbeat or reply after which a node no longer counts as live. */
    public val lapseMillis: Setting<Long> =
        wholeNumber(
            "view",
            "lapse_millis",
            defaults.lapseMillis,
            1_000L..120_000L,
            MILLISECONDS,
            "time without a heartbeat after which a node counts as lost; must be longer than the lease",
        )

    /** Time between two polls for a newer view. */
    public val pollIntervalMillis: Setting<Long> =
        wholeNumber(
            "view",
            "poll_millis",
            defaults.pollIntervalMillis,
            50L..10_000L,
            MILLISECONDS,
            "time between two polls for a newer view",
        )

    /** Time between two heartbeats of this node. */
    public val heartbeatIntervalMillis: Setting<Long> =
        wholeNumber(
            "view",
            "beat_millis",
            defaults.heartbeatIntervalMillis,
            100L..10_000L,
            MILLISECONDS,
            "time between two heartbeats of this node",
        )

    /** Deadline of a call to the platform. */
    public val platformTimeoutMillis: Setting<Long> =
        wholeNumber(
            "platform",
            "timeout_millis",
            defaults.platformTimeoutMillis,
            50L..30_000L,
            MILLISECONDS,
            "deadline of a call to the platform",
        )

    /** Address of the platform's service. */
    public val platformAddress: Setting<HostAndPort> =
        address("platform", "address", null, "address of the platform's service")

    /** Address at which other nodes reach this one. */
    public val peerAddress: Setting<HostAndPort> =
        address("peer", "address", null, "address at which other nodes reach this one")

    /** Nodes that are polled for the view while this node knows no other node. */
    public val seeds: Setting<List<HostAndPort>> =
        addresses("peer", "seeds", "nodes that are asked for the view if the platform is unreachable at startup")

    /** All settings of this object. */
    public val all: List<Setting<*>> =
        listOf(
            leaseMillis,
            lapseMillis,
            pollIntervalMillis,
            heartbeatIntervalMillis,
            platformTimeoutMillis,
            platformAddress,
            peerAddress,
            seeds,
        )

    /** The times that [settings] contain. The deadline of calls to other nodes has no setting. */
    public fun timing(settings: Settings): ViewTiming = ViewTiming(
        leaseMillis = settings[leaseMillis],
        lapseMillis = settings[lapseMillis],
        pollIntervalMillis = settings[pollIntervalMillis],
        heartbeatIntervalMillis = settings[heartbeatIntervalMillis],
        platformTimeoutMillis = settings[platformTimeoutMillis],
    )

    /** Creates the node that [settings] describe. Each call uses a new id, since a restarted process is a new node. */
    public fun createNode(settings: Settings, role: NodeRole): Node {
        val incarnation = UUID.randomUUID().toString().take(INCARNATION_LENGTH)
        return Node(
            id = NodeId("${settings[CommonSettings.nodeName]}-$incarnation"),
            role = role,
            region = RegionId(settings[CommonSettings.region]),
            dataCentre = DataCentreId(settings[CommonSettings.dataCentre]),
            peerAddress = settings[peerAddress].toAddress(),
        )
    }

    private const val INCARNATION_LENGTH = 8
}

/** This setting as an address of the model. */
public fun HostAndPort.toAddress(): Address = Address(host, port)
