// Settings of the stand-in: the address it listens on, the instances it simulates, and their delays and capacity.

package org.gypsumturn.standin

import org.gypsumturn.model.Address
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.RegionId
import org.gypsumturn.runtime.settings.CommonSettings
import org.gypsumturn.runtime.settings.NamedCount
import org.gypsumturn.runtime.settings.Setting
import org.gypsumturn.runtime.settings.Settings
import org.gypsumturn.runtime.settings.SettingsSchema
import org.gypsumturn.runtime.settings.address
import org.gypsumturn.runtime.settings.namedCounts
import org.gypsumturn.runtime.settings.names
import org.gypsumturn.runtime.settings.wholeNumber

/**
 * Simulated instances of one kind, executors or workers.
 *
 * @property groups names and sizes; the instances of group `plans` are named `plans-1`, `plans-2` and so on
 * @property capacity capacity of each instance
 */
internal data class InstanceGroups(val groups: List<NamedCount>, val capacity: Capacity, val instancesPerRack: Int)

/** Options of the stand-in. If [firstPort] is 0, each executor listens on any free port. */
internal data class StandinOptions(
    val address: Address,
    val region: RegionId,
    val dataCentres: List<String>,
    val executors: InstanceGroups,
    val workers: InstanceGroups,
    val firstPort: Int,
    val slots: Int,
    val connections: Int,
    val meanWorkMillis: Long,
    val listLagMillis: Long,
    val rebootMillis: Long,
    val usageLagMillis: Long,
    val seed: Long,
)

internal object StandinSettings {
    private const val MAX_INSTANCES = 1_000
    private const val HOUR_MILLIS = 3_600_000L
    private const val MAX_PROCESSORS_MILLI = 1_000_000L
    private const val MAX_MEMORY_MIB = 16_777_216L
    private const val MAX_PORT = 65_535L

    private val listenAddress = address("standin", "address", null, "address of the platform's services over gRPC")
    private val dataCentres = names("standin", "data_centres", null, "data centres over which instances are spread")
    private val listLagMillis =
        millis("standin", "list_lag_millis", 500, "time until a change appears in the instance list")
    private val rebootMillis = millis("standin", "reboot_millis", 1_000, "duration of the reboot of an instance")
    private val usageLagMillis =
        millis("standin", "usage_lag_millis", 1_000, "time from the start of a task until its usage is reported")
    private val seed = wholeNumber("standin", "seed", 1, 0L..Long.MAX_VALUE, "", "seed of all random draws")

    private val executorGroups =
        namedCounts("executors", "groups", emptyList(), MAX_INSTANCES, "groups of executors with their sizes")
    private val firstPort =
        wholeNumber("executors", "first_port", null, 0..MAX_PORT, "", "port of the first executor; 0 takes any")
    private val slots = wholeNumber("executors", "slots", 8, 1L..1_000, "", "requests that an executor runs at once")
    private val connections =
        wholeNumber("executors", "connections", 64, 1L..10_000, "", "connections that an executor keeps open at once")
    private val meanWorkMillis =
        millis("executors", "mean_work_millis", 20, "mean service time of a request that names none")
    private val executorsPerRack = perRack("executors")
    private val executorProcessorsMilli = processors("executors", 8_000)
    private val executorMemoryMib = memory("executors", 16_384)

    private val workerGroups =
        namedCounts("workers", "groups", emptyList(), MAX_INSTANCES, "groups of workers with their sizes")
    private val workersPerRack = perRack("workers")
    private val workerProcessorsMilli = processors("workers", 16_000)
    private val workerMemoryMib = memory("workers", 32_768)
    private val workerAccelerators =
        wholeNumber("workers", "accelerators", 0, 0L..64, "", "accelerators of a worker")

    val schema = SettingsSchema(
        CommonSettings.all + listOf(listenAddress, dataCentres, listLagMillis, rebootMillis, usageLagMillis, seed) +
            listOf(executorGroups, firstPort, slots, connections, meanWorkMillis) +
            listOf(executorsPerRack, executorProcessorsMilli, executorMemoryMib) +
            listOf(workerGroups, workersPerRack, workerProcessorsMilli, workerMemoryMib, workerAccelerators),
    )

    fun optionsOf(settings: Settings): StandinOptions = StandinOptions(
        address = settings[listenAddress].let { Address(it.host, it.port) },
        region = RegionId(settings[CommonSettings.region]),
        dataCentres = settings[dataCentres],
        executors = InstanceGroups(
            settings[executorGroups],
            Capacity(settings[executorProcessorsMilli], settings[executorMemoryMib]),
            settings[executorsPerRack].toInt(),
        ),
        workers = InstanceGroups(
            settings[workerGroups],
            Capacity(settings[workerProcessorsMilli], settings[workerMemoryMib], settings[workerAccelerators].toInt()),
            settings[workersPerRack].toInt(),
        ),
        firstPort = settings[firstPort].toInt(),
        slots = settings[slots].toInt(),
        connections = settings[connections].toInt(),
        meanWorkMillis = settings[meanWorkMillis],
        listLagMillis = settings[listLagMillis],
        rebootMillis = settings[rebootMillis],
        usageLagMillis = settings[usageLagMillis],
        seed = settings[seed],
    )

    private fun millis(section: String, key: String, default: Long, description: String): Setting<Long> =
        wholeNumber(section, key, default, 0..HOUR_MILLIS, "milliseconds", description)

    private fun perRack(section: String) =
        wholeNumber(section, "instances_per_rack", 4, 1L..MAX_INSTANCES, "", "instances that share a rack")

    private fun processors(section: String, default: Long) = wholeNumber(
        section,
        "processors_milli",
        default,
        1..MAX_PROCESSORS_MILLI,
        "thousandths of a core",
        "processor capacity of an instance",
    )

    private fun memory(section: String, default: Long) =
        wholeNumber(section, "memory_mib", default, 1..MAX_MEMORY_MIB, "mebibytes", "memory capacity of an instance")
}
