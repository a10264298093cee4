// Settings of the control program.

package org.gypsumturn.control

import org.gypsumturn.peer.ViewSettings
import org.gypsumturn.runtime.settings.CommonSettings
import org.gypsumturn.runtime.settings.HostAndPort
import org.gypsumturn.runtime.settings.Setting
import org.gypsumturn.runtime.settings.SettingsSchema
import org.gypsumturn.runtime.settings.address
import org.gypsumturn.runtime.settings.number
import org.gypsumturn.runtime.settings.text
import org.gypsumturn.runtime.settings.wholeNumber

/** Settings of the sections `admin`, `fleet`, `capacity` and `jobs`, and [schema] with those that all nodes have. */
internal object ControlSettings {
    private const val MILLISECONDS = "milliseconds"
    private const val MAX_COST = 1e9
    private const val DAY_MILLIS = 86_400_000L

    val adminAddress: Setting<HostAndPort> =
        address("admin", "address", null, "address of the administration API")
    val readToken: Setting<String> =
        text("admin", "read_token", "", "token that allows reading; empty allows everybody to read")
    val changeToken: Setting<String> =
        text("admin", "change_token", "", "token that allows changes; empty allows everybody to change")
    val certificateFile: Setting<String> =
        text("admin", "tls_certificate_file", "", "certificate chain in PEM; empty serves without TLS")
    val keyFile: Setting<String> =
        text("admin", "tls_key_file", "", "private key in PEM; needed with a certificate")
    val stepMillis: Setting<Long> =
        wholeNumber(
            "fleet",
            "step_millis",
            250,
            50L..10_000L,
            MILLISECONDS,
            "time between two updates of the fleet's state",
        )
    val warmMillis: Setting<Long> =
        wholeNumber(
            "fleet",
            "warm_millis",
            2_000,
            0L..3_600_000L,
            MILLISECONDS,
            "time for which a returned instance warms up",
        )
    val lostMillis: Setting<Long> =
        wholeNumber(
            "fleet",
            "lost_millis",
            10_000,
            500L..3_600_000L,
            MILLISECONDS,
            "time missing from the platform's list after which an instance counts as lost",
        )
    val maintenancePeriodMillis: Setting<Long> =
        wholeNumber(
            "fleet",
            "maintenance_period_millis",
            0,
            0L..366 * DAY_MILLIS,
            MILLISECONDS,
            "period within which each instance is rebooted once automatically; 0 leaves maintenance to operators",
        )
    val capacityPeriodMillis: Setting<Long> =
        wholeNumber(
            "capacity",
            "period_millis",
            5_000,
            0L..3_600_000L,
            MILLISECONDS,
            "time between two decisions on moves; 0 leaves moves to operators",
        )
    val idleCost: Setting<Double> =
        number(
            "capacity",
            "buffer_cost_per_hour",
            1.0,
            0.0,
            MAX_COST,
            "cost units",
            "cost of an instance held idle for an hour",
        )
    val moveCost: Setting<Double> =
        number("capacity", "move_cost", 0.2, 0.0, MAX_COST, "cost units", "cost of one move of an instance")
    val lateCost: Setting<Double> =
        number(
            "capacity",
            "late_cost_per_hour",
            20.0,
            0.0,
            MAX_COST,
            "cost units",
            "cost of delaying as much work as an instance does in an hour",
        )
    val jobStepMillis: Setting<Long> =
        wholeNumber("jobs", "step_millis", 100, 20L..10_000L, MILLISECONDS, "time between two rounds of job placement")
    val jobLeaseMillis: Setting<Long> =
        wholeNumber("jobs", "lease_millis", 30_000, 1_000L..600_000L, MILLISECONDS, "lease of a task on its worker")
    val jobLeaseMarginMillis: Setting<Long> =
        wholeNumber(
            "jobs",
            "lease_margin_millis",
            5_000,
            100L..600_000L,
            MILLISECONDS,
            "time from the end of a lease until the job may run again",
        )
    val ownerLapseMillis: Setting<Long> =
        wholeNumber(
            "jobs",
            "owner_lapse_millis",
            1_000,
            400L..60_000L,
            MILLISECONDS,
            "time without a heartbeat after which other control processes take over a process's pools of jobs",
        )

    val schema: SettingsSchema =
        SettingsSchema(
            CommonSettings.all +
                ViewSettings.all +
                listOf(adminAddress, readToken, changeToken, certificateFile, keyFile) +
                listOf(stepMillis, warmMillis, lostMillis, maintenancePeriodMillis) +
                listOf(capacityPeriodMillis, idleCost, moveCost, lateCost) +
                listOf(jobStepMillis, jobLeaseMillis, jobLeaseMarginMillis, ownerLapseMillis),
        )
}
