// The settings of the program gypsumturn-entry, with their defaults, bounds and units.

package org.gypsumturn.entry

import org.gypsumturn.entry.http.CallerLimits
import org.gypsumturn.entry.http.RequestSizeLimits
import org.gypsumturn.entry.ledger.LedgerSettings
import org.gypsumturn.entry.target.TargetLimits
import org.gypsumturn.peer.ViewSettings
import org.gypsumturn.request.DispatchSettings
import org.gypsumturn.runtime.settings.CommonSettings
import org.gypsumturn.runtime.settings.HostAndPort
import org.gypsumturn.runtime.settings.Setting
import org.gypsumturn.runtime.settings.Settings
import org.gypsumturn.runtime.settings.SettingsSchema
import org.gypsumturn.runtime.settings.address
import org.gypsumturn.runtime.settings.number
import org.gypsumturn.runtime.settings.wholeNumber

/** Settings of the sections `entry`, `callers`, `targets`, `dispatch`, `ledger` and `retention`. */
internal object EntrySettings {
    private const val MILLISECONDS = "milliseconds"
    private const val BYTES = "bytes"
    private val dispatchDefaults = DispatchSettings()
    private val ledgerDefaults = LedgerSettings()
    private val declared = ArrayList<Setting<*>>()

    val entryAddress: Setting<HostAndPort> =
        address("entry", "address", null, "address at which callers are served").also { declared += it }
    private val balancerLag =
        millis(
            "entry",
            "balancer_lag_millis",
            5_000,
            0L..120_000L,
            "time that the load balancer needs to notice that the entry is not ready",
        )
    private val maxOpenRequests =
        count("entry", "max_open_requests", 12_000, 1L..200_000L, "largest number of requests that may be open at once")
    private val maxHeldBytes =
        bytes(
            "entry",
            "max_held_bytes",
            268_435_456,
            1_048_576L..17_179_869_184L,
            "largest total size of the bodies of the open requests",
        )
    private val jobWait =
        millis(
            "entry",
            "job_wait_millis",
            5_000,
            100L..60_000L,
            "longest time that a request about a job waits in the queue",
        )
    private val eventLoops = count("entry", "event_loops", 2, 1L..64L, "threads that read and write connections")
    private val instanceList =
        millis(
            "entry",
            "instance_list_millis",
            1_000,
            100L..60_000L,
            "interval at which the platform's instance list is polled",
        )

    private val maxLine = bytes("callers", "max_line_bytes", 8_192, 512L..65_536L, "largest request line")
    private val maxHeader = bytes("callers", "max_header_bytes", 16_384, 512L..262_144L, "largest header of a request")
    private val maxBody = bytes("callers", "max_body_bytes", 1_048_576, 0L..67_108_864L, "largest body of a request")
    private val requestRead =
        millis("callers", "read_millis", 10_000, 50L..120_000L, "longest time that one request may take to arrive")
    private val callerIdle =
        millis("callers", "idle_millis", 60_000, 100L..3_600_000L, "time after which an unused connection is closed")
    private val answerWrite =
        millis(
            "callers",
            "write_millis",
            30_000,
            100L..600_000L,
            "longest time that writing one answer may take",
        )
    private val maxConnections =
        count(
            "callers",
            "max_connections",
            16_000,
            1L..200_000L,
            "largest number of connections that may be open at once",
        )
    private val maxPipelined =
        count("callers", "max_pipelined", 16, 1L..1_000L, "unanswered requests at which a connection stops reading")

    private val connect =
        millis("targets", "connect_millis", 500, 10L..10_000L, "longest time that opening a connection may take")
    private val targetIdle =
        millis("targets", "idle_millis", 20_000, 100L..600_000L, "time after which an unused connection is closed")

    private val maxQueued =
        count(
            "dispatch",
            "max_queued_total",
            dispatchDefaults.maxQueuedTotal.toLong(),
            1L..200_000L,
            "largest number of accepted requests at this entry",
        )
    private val maxAttempts =
        count(
            "dispatch",
            "max_attempts",
            dispatchDefaults.maxAttempts.toLong(),
            1L..10L,
            "largest number of exchanges for one request",
        )
    private val retryShare =
        number(
            "dispatch",
            "retry_budget_share",
            dispatchDefaults.retryBudgetShare,
            0.0,
            1.0,
            "retries per first attempt",
            "retries that each pool may use",
        ).also { declared += it }
    private val slowStart =
        millis(
            "dispatch",
            "slow_start_millis",
            dispatchDefaults.slowStartMillis,
            0L..600_000L,
            "time over which the slots of a new target are opened",
        )
    private val ejection =
        millis(
            "dispatch",
            "ejection_millis",
            dispatchDefaults.ejectionMillis,
            0L..600_000L,
            "time for which a faulty target gets no exchanges",
        )
    private val peerReport =
        millis(
            "dispatch",
            "peer_report_millis",
            dispatchDefaults.peerReportIntervalMillis,
            20L..10_000L,
            "interval between slot reports while any entry has demand",
        )
    private val peerLapse =
        millis(
            "dispatch",
            "peer_lapse_millis",
            dispatchDefaults.peerLapseMillis,
            100L..60_000L,
            "age at which the slot report of another entry expires",
        )

    private val linger =
        millis(
            "ledger",
            "linger_millis",
            ledgerDefaults.lingerMillis,
            0L..1_000L,
            "longest time that a write waits to share a transaction",
        )
    private val maxGroup =
        count(
            "ledger",
            "max_group_rows",
            ledgerDefaults.maxGroupRows.toLong(),
            1L..1_000L,
            "largest number of rows in one transaction",
        )
    private val repeatWait =
        millis(
            "ledger",
            "repeat_wait_millis",
            ledgerDefaults.repeatWaitMillis,
            0L..60_000L,
            "longest time that a repeat waits for the first request",
        )
    private val maxRecorded =
        bytes(
            "ledger",
            "max_recorded_bytes",
            ledgerDefaults.maxRecordedBytes.toLong(),
            0L..1_048_576L,
            "largest body of an answer that is recorded",
        )
    private val retention =
        millis(
            "retention",
            "millis",
            86_400_000,
            60_000L..2_592_000_000L,
            "time for which an idempotency key is remembered",
        )
    private val sweepRows =
        count("retention", "sweep_rows", 200, 1L..1_000L, "rows that one step of the retention sweep reads")
    private val sweepStep =
        millis("retention", "sweep_millis", 1_000, 100L..600_000L, "interval between two steps of the retention sweep")

    /** All settings of the program, including those that all programs share. */
    val schema: SettingsSchema = SettingsSchema(CommonSettings.all + ViewSettings.all + declared)

    /** Builds the configuration of an entry from [settings]. */
    fun configOf(settings: Settings): EntryConfig = EntryConfig(
        address = settings[entryAddress],
        requestSizeLimits = RequestSizeLimits(settings.int(maxLine), settings.int(maxHeader), settings.int(maxBody)),
        callerLimits = CallerLimits(
            settings[requestRead],
            settings[callerIdle],
            settings[answerWrite],
            settings.int(maxPipelined),
        ),
        targetLimits = TargetLimits(
            settings[connect],
            settings[targetIdle],
            settings.int(maxLine),
            settings.int(maxHeader),
        ),
        dispatch = dispatchOf(settings),
        ledger = ledgerOf(settings),
        retention = RetentionSettings(settings[retention], settings.int(sweepRows), settings[sweepStep]),
        maxConnections = settings.int(maxConnections),
        maxOpenRequests = settings.int(maxOpenRequests),
        maxHeldBytes = settings[maxHeldBytes],
        jobWaitMillis = settings[jobWait],
        eventLoops = settings.int(eventLoops),
        balancerLagMillis = settings[balancerLag],
        instanceListMillis = settings[instanceList],
    )

    private fun dispatchOf(settings: Settings) = dispatchDefaults.copy(
        maxQueuedTotal = settings.int(maxQueued),
        retryBudgetShare = settings[retryShare],
        maxAttempts = settings.int(maxAttempts),
        peerReportIntervalMillis = settings[peerReport],
        peerLapseMillis = settings[peerLapse],
        slowStartMillis = settings[slowStart],
        ejectionMillis = settings[ejection],
    )

    private fun ledgerOf(settings: Settings) = ledgerDefaults.copy(
        lingerMillis = settings[linger],
        maxGroupRows = settings.int(maxGroup),
        storeTimeoutMillis = settings[ViewSettings.platformTimeoutMillis],
        repeatWaitMillis = settings[repeatWait],
        maxRecordedBytes = settings.int(maxRecorded),
    )

    private fun Settings.int(setting: Setting<Long>): Int = this[setting].toInt()

    private fun millis(section: String, key: String, default: Long, range: LongRange, description: String) =
        wholeNumber(section, key, default, range, MILLISECONDS, description).also { declared += it }

    private fun bytes(section: String, key: String, default: Long, range: LongRange, description: String) =
        wholeNumber(section, key, default, range, BYTES, description).also { declared += it }

    private fun count(section: String, key: String, default: Long, range: LongRange, description: String) =
        wholeNumber(section, key, default, range, "", description).also { declared += it }
}
