// The keys of each kind of section of a configuration file, and the records that they make.

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

/** One section of a configuration file: its settings, and what it adds to the request. */
internal interface RecordSettings {
    val settings: List<Setting<*>>

    fun addTo(request: ApplyConfigurationRequest.Builder, values: Settings)
}

internal class PoolSettings(private val section: String, private val id: String) : RecordSettings {
    private val role =
        oneOf(section, "role", "SERVING", PoolRole.entries.map { it.name }, "what the pool is for")
    private val maxUnavailable = count(section, "max_unavailable", null)
    private val perDataCentre = count(section, "max_unavailable_per_data_centre", 0)
    private val minInstances = count(section, "min_instances", 0)
    private val maxInstances = count(section, "max_instances", 0)

    override val settings = listOf(role, maxUnavailable, perDataCentre, minInstances, maxInstances)

    override fun addTo(request: ApplyConfigurationRequest.Builder, values: Settings) {
        request.addPools(
            Pool
                .newBuilder()
                .setId(id)
                .setRole(values[role])
                .setMaxUnavailable(values[maxUnavailable].toInt())
                .setMaxUnavailablePerDataCentre(values[perDataCentre].toInt())
                .setMinInstances(values[minInstances].toInt())
                .setMaxInstances(values[maxInstances].toInt()),
        )
    }
}

internal class ServiceSettings(private val section: String, private val id: String) : RecordSettings {
    private val pool = name(section, "pool", null, "pool that serves it")
    private val priority =
        oneOf(section, "priority", "NORMAL", Priority.entries.map { it.name }, "order of its work")
    private val timeout = wholeNumber(
        section,
        "timeout_millis",
        10_000,
        1..MAX_MILLIS,
        "milliseconds",
        "time within which a request must have its answer",
    )
    private val idempotent = flag(section, "idempotent", null, "whether requests without a key may be repeated")
    private val maxQueued = count(section, "max_queued", 1_000)
    private val maxAnswer =
        wholeNumber(section, "max_answer_bytes", 1_048_576, 1..MAX_BYTES, "bytes", "largest answer")

    override val settings = listOf(pool, priority, timeout, idempotent, maxQueued, maxAnswer)

    override fun addTo(request: ApplyConfigurationRequest.Builder, values: Settings) {
        request.addServices(
            Service
                .newBuilder()
                .setId(id)
                .setPool(values[pool])
                .setPriority(values[priority])
                .setTimeoutMillis(values[timeout])
                .setIdempotent(values[idempotent])
                .setMaxQueued(values[maxQueued].toInt())
                .setMaxAnswerBytes(values[maxAnswer].toInt()),
        )
    }
}

internal class TeamSettings(private val section: String, private val id: String) : RecordSettings {
    private val share = number(section, "share", 1.0, 0.0, MAX_SHARE, "weight", "weight in the division of the fleet")
    private val processors = amount(section, "quota_processors_milli", "thousandths of a core")
    private val memory = amount(section, "quota_memory_mib", "mebibytes")
    private val accelerators = count(section, "quota_accelerators", 0)
    private val maxInFlight = count(section, "max_requests_in_flight", 0)

    override val settings = listOf(share, processors, memory, accelerators, maxInFlight)

    override fun addTo(request: ApplyConfigurationRequest.Builder, values: Settings) {
        val team =
            Team
                .newBuilder()
                .setId(id)
                .setShare(values[share])
                .setMaxRequestsInFlight(values[maxInFlight].toInt())
        val quota = capacity(values[processors], values[memory], values[accelerators])
        if (quota != Capacity.getDefaultInstance()) team.jobQuota = quota
        request.addTeams(team)
    }
}

internal class InstanceSettings(private val section: String, private val id: String) : RecordSettings {
    private val pool = name(section, "pool", null, "pool that it belongs to")
    private val region = name(section, "region", null, "region in which it stands")
    private val dataCentre = name(section, "data_centre", null, "its data centre")
    private val rack = name(section, "rack", null, "its rack")
    private val address = address(section, "address", null, "its IP number and port; port 0 for a worker")
    private val processors = amount(section, "processors_milli", "thousandths of a core")
    private val memory = amount(section, "memory_mib", "mebibytes")
    private val accelerators = count(section, "accelerators", 0)
    private val slots = count(section, "slots", 0)
    private val connections = count(section, "connections", 0)

    override val settings =
        listOf(pool, region, dataCentre, rack, address, processors, memory, accelerators, slots, connections)

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
                .setCapacity(capacity(values[processors], values[memory], values[accelerators]))
                .setSlots(values[slots].toInt())
                .setConnections(values[connections].toInt()),
        )
    }
}

private fun count(section: String, key: String, default: Long?) =
    wholeNumber(section, key, default, 0..MAX_COUNT, "", key.replace('_', ' '))

private fun amount(section: String, key: String, unit: String) =
    wholeNumber(section, key, 0, 0..MAX_BYTES, unit, key.replace('_', ' '))

private fun capacity(processorsMilli: Long, memoryMib: Long, accelerators: Long): Capacity = Capacity
    .newBuilder()
    .setProcessorsMilli(processorsMilli)
    .setMemoryMib(memoryMib)
    .setAccelerators(accelerators.toInt())
    .build()
