// Settings of how a node keeps its view, with their defaults.

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

/** How a node keeps its view. Times are in milliseconds. */
public data class ViewKeeping(
    public val leaseMillis: Long = 3_000,
    public val lapseMillis: Long = 5_000,
    public val pollMillis: Long = 500,
    public val beatMillis: Long = 1_000,
    public val storeTimeoutMillis: Long = 1_000,
    public val peerTimeoutMillis: Long = 500,
)

/** Settings of the sections `view`, `platform` and `peer`. */
public object ViewSettings {
    private const val MILLISECONDS = "milliseconds"
    private val defaults = ViewKeeping()

    /** Lease of the view. */
    public val leaseMillis: Setting<Long> =
        wholeNumber(
            "view",
            "lease_millis",
            defaults.leaseMillis,
            500L..60_000L,
            MILLISECONDS,
            "time for which a confirmed view may be used",
        )

    /** Lapse of a node. */
    public val lapseMillis: Setting<Long> =
        wholeNumber(
            "view",
            "lapse_millis",
            defaults.lapseMillis,
            1_000L..120_000L,
            MILLISECONDS,
            "silence after which a node counts as gone; more than the lease",
        )

    /** Pause between polls. */
    public val pollMillis: Setting<Long> =
        wholeNumber(
            "view",
            "poll_millis",
            defaults.pollMillis,
            50L..10_000L,
            MILLISECONDS,
            "time between two looks for a newer view",
        )

    /** Pause between beats. */
    public val beatMillis: Setting<Long> =
        wholeNumber(
            "view",
            "beat_millis",
            defaults.beatMillis,
            100L..10_000L,
            MILLISECONDS,
            "time between two beats of this node",
        )

    /** Deadline of a call to the table. */
    public val storeTimeoutMillis: Setting<Long> =
        wholeNumber(
            "platform",
            "timeout_millis",
            defaults.storeTimeoutMillis,
            50L..30_000L,
            MILLISECONDS,
            "deadline of a call to the platform",
        )

    /** Where the platform answers. */
    public val platformAddress: Setting<HostAndPort> =
        address("platform", "address", null, "address of the platform's service")

    /** Where peers reach this node. */
    public val peerAddress: Setting<HostAndPort> =
        address("peer", "address", null, "address at which other nodes reach this one")

    /** Nodes that are asked when the table cannot be reached at the start. */
    public val seeds: Setting<List<HostAndPort>> =
        addresses("peer", "seeds", "nodes that are asked for the view when the platform is out of reach at the start")

    /** All of them. */
    public val all: List<Setting<*>> =
        listOf(
            leaseMillis,
            lapseMillis,
            pollMillis,
            beatMillis,
            storeTimeoutMillis,
            platformAddress,
            peerAddress,
            seeds,
        )

    /** The values in [settings]. */
    public fun keeping(settings: Settings): ViewKeeping = ViewKeeping(
        leaseMillis = settings[leaseMillis],
        lapseMillis = settings[lapseMillis],
        pollMillis = settings[pollMillis],
        beatMillis = settings[beatMillis],
        storeTimeoutMillis = settings[storeTimeoutMillis],
    )

    /** The node that [settings] describe. Its id is new at each call, since a node that starts anew is another node. */
    public fun node(settings: Settings, role: NodeRole): Node {
        val start = UUID.randomUUID().toString().take(START_ID_LENGTH)
        return Node(
            id = NodeId("${settings[CommonSettings.nodeName]}-$start"),
            role = role,
            region = RegionId(settings[CommonSettings.region]),
            dataCentre = DataCentreId(settings[CommonSettings.dataCentre]),
            peerAddress = settings[peerAddress].toAddress(),
        )
    }

    private const val START_ID_LENGTH = 8
}

/** The address of the model that this setting names. */
public fun HostAndPort.toAddress(): Address = Address(host, port)
