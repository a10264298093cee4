// Defines the keys of each kind of section in a configuration file and builds the records of the request from them.

package org.gypsumturn.cli.config

import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.Priority
import org.gypsumturn.runtime.settings.Setting
import org.gypsumturn.runtime.settings.Settings
import org.gypsumturn.runtime.settings.address
import org.gypsumturn.runtime.settings.flag
import org.gypsumturn.runtime.settings.name
import org.gypsumturn.runtime.settings.number
import org.gypsumturn.runtime.settings.oneOf
import org.gypsumturn.runtime.settings.wholeNumber
import org.gypsumturn.schema.admin.ApplyConfigurationRequest
import org.gypsumturn.schema.admin.Capacity
import org.gypsumturn.schema.admin.FailureDomain
import org.gypsumturn.schema.admin.Instance
import org.gypsumturn.schema.admin.Pool
import org.gypsumturn.schema.admin.Service
import org.gypsumturn.schema.admin.Team

private const val MAX_COUNT = 1_000_000L
private const val MAX_MILLIS = 86_400_000L
private const val MAX_BYTES = 1_073_741_824L
private const val MAX_SHARE = 1_000_000.0

/** One section of a configuration file. [addTo] adds the record that it describes to a request. */
internal interface RecordSettings {
    val settings: List<Setting<*>>

    fun addTo(request: ApplyConfigurationRequest.Builder, values: Settings)
}

internal class PoolSettings(private val section: String, private val id: String) : RecordSettings {
    private val role =
        oneOf(section, "role", "SERVING", PoolRole.entries.map { it.name }, "purpose of the pool")
    private val maxUnavailable = countSetting(section, "max_unavailable", null)
    private val maxUnavailablePerDataCentre = countSetting(section, "max_unavailable_per_data_centre", 0)
    private val minInstances = countSetting(section, "min_instances", 0)
    private val maxInstances = countSetting(section, "max_instances", 0)

    override val settings = listOf(role, maxUnavailable, maxUnavailablePerDataCentre, minInstances, maxInstances)

    override fun addTo(request: ApplyConfigurationRequest.Builder, values: Settings) {
        request.addPools(
            Pool
                .newBuilder()
                .setId(id)
                .setRole(values[role])
                .setMaxUnavailable(values[maxUnavailable].toInt())
                .setMaxUnavailablePerDataCentre(values[maxUnavailablePerDataCentre].toInt())
                .setMinInstances(values[minInstances].toInt())
                .setMaxInstances(values[maxInstances].toInt()),
        )
    }
}

internal class ServiceSettings(private val section: String, private val id: String) : RecordSettings {
    private val pool = name(section, "pool", null, "pool whose instances serve the requests")
    private val priority =
        oneOf(section, "priority", "NORMAL", Priority.entries.map { it.name }, "priority of the requests")
    private val timeoutMillis = wholeNumber(
        section,
        "timeout_millis",
        10_000,
        1..MAX_MILLIS,
        "milliseconds",
        "time within which a request must be answered",
    )
    private val idempotent = flag(section, "idempotent", null, "requests without an idempotency key may be repeated")
    private val maxQueued = countSetting(section, "max_queued", 1_000)
    private val maxAnswerBytes =
        wholeNumber(section, "max_answer_bytes", 1_048_576, 1..MAX_BYTES, "bytes", "largest answer that is accepted")

    override val settings = listOf(pool, priority, timeoutMillis, idempotent, maxQueued, maxAnswerBytes)

    override fun addTo(request: ApplyConfigurationRequest.Builder, values: Settings) {
        request.addServices(
            Service
                .newBuilder()
                .setId(id)
                .setPool(values[pool])
                .setPriority(values[priority])
                .setTimeoutMillis(values[timeoutMillis])
                .setIdempotent(values[idempotent])
                .setMaxQueued(values[maxQueued].toInt())
                .setMaxAnswerBytes(values[maxAnswerBytes].toInt()),
        )
    }
}

internal class TeamSettings(private val section: String, private val id: String) : RecordSettings {
    private val share =
        number(
            section,
            "share",
            1.0,
            0.0,
            MAX_SHARE,
            "weight",
            "weight of the team when the capacity outside all quotas is shared out",
        )
    private val processorsMilli = amountSetting(section, "quota_processors_milli", "thousandths of a core")
    private val memoryMib = amountSetting(section, "quota_memory_mib", "mebibytes")
    private val accelerators = countSetting(section, "quota_accelerators", 0)
    private val maxRequestsInFlight = countSetting(section, "max_requests_in_flight", 0)

    override val settings = listOf(share, processorsMilli, memoryMib, accelerators, maxRequestsInFlight)

    override fun addTo(request: ApplyConfigurationRequest.Builder, values: Settings) {
        val team =
            Team
                .newBuilder()
                .setId(id)
                .setShare(values[share])
                .setMaxRequestsInFlight(values[maxRequestsInFlight].toInt())
        val quota = capacity(values[processorsMilli], values[memoryMib], values[accelerators])
        if (quota != Capacity.getDefaultInstance()) team.jobQuota = quota
        request.addTeams(team)
    }
}

internal class InstanceSettings(private val section: String, private val id: String) : RecordSettings {
    private val pool = name(section, "pool", null, "pool of the instance")
    private val region = name(section, "region", null, "region of the instance")
    private val dataCentre = name(section, "data_centre", null, "data centre of the instance")
    private val rack = name(section, "rack", null, "rack of the instance")
    private val address = address(section, "address", null, "IP address and port of the instance; port 0 for a worker")
    private val processorsMilli = amountSetting(section, "processors_milli", "thousandths of a core")
    private val memoryMib = amountSetting(section, "memory_mib", "mebibytes")
    private val accelerators = countSetting(section, "accelerators", 0)
    private val slots = countSetting(section, "slots", 0)
    private val connections = countSetting(section, "connections", 0)

    override val settings =
        listOf(pool, region, dataCentre, rack, address, processorsMilli, memoryMib, accelerators, slots, connections)

    override fun addTo(request: ApplyConfigurationRequest.Builder, values: Settings) {
        val domain =
            FailureDomain
                .newBuilder()
                .setRegion(values[region])
                .setDataCentre(values[dataCentre])
                .setRack(values[rack])
        request.addInstances(
            Instance
                .newBuilder()
                .setId(id)
                .setPool(values[pool])
                .setDomain(domain)
                .setHost(values[address].host)
                .setPort(values[address].port)
                .setCapacity(capacity(values[processorsMilli], values[memoryMib], values[accelerators]))
                .setSlots(values[slots].toInt())
                .setConnections(values[connections].toInt()),
        )
    }
}

private fun countSetting(section: String, key: String, default: Long?) =
    wholeNumber(section, key, default, 0..MAX_COUNT, "", key.replace('_', ' '))

private fun amountSetting(section: String, key: String, unit: String) =
    wholeNumber(section, key, 0, 0..MAX_BYTES, unit, key.replace('_', ' '))

private fun capacity(processorsMilli: Long, memoryMib: Long, accelerators: Long): Capacity = Capacity
    .newBuilder()
    .setProcessorsMilli(processorsMilli)
    .setMemoryMib(memoryMib)
    .setAccelerators(accelerators.toInt())
    .build()
