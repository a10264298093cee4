// Settings of the stand-in: where it listens, which instances it simulates, and how fast they are.

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
 * A set of simulated instances.
 *
 * @property groups names and sizes; the instances of group `plans` are `plans-1`, `plans-2` and so on
 */
internal data class Groups(val groups: List<NamedCount>, val capacity: Capacity, val instancesPerRack: Int)

/** What the stand-in simulates. A [firstPort] of 0 gives each executor any free port. */
internal data class StandinOptions(
    val address: Address,
    val region: RegionId,
    val dataCentres: List<String>,
    val executors: Groups,
    val workers: Groups,
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

    private val listen = address("standin", "address", null, "address of the platform's services over gRPC")
    private val dataCentres = names("standin", "data_centres", null, "data centres over which instances are spread")
    private val listLag = millis("standin", "list_lag_millis", 500, "age of what the instance list shows")
    private val reboot = millis("standin", "reboot_millis", 1_000, "time for which a rebooting instance is away")
    private val usageLag = millis("standin", "usage_lag_millis", 1_000, "time until a task's usage is reported")
    private val seed = wholeNumber("standin", "seed", 1, 0L..Long.MAX_VALUE, "", "seed of all random draws")

    private val executorGroups =
        namedCounts("executors", "groups", emptyList(), MAX_INSTANCES, "groups of executors with their sizes")
    private val firstPort =
        wholeNumber("executors", "first_port", null, 0..MAX_PORT, "", "port of the first executor; 0 takes any")
    private val slots = wholeNumber("executors", "slots", 8, 1L..1_000, "", "requests that an executor runs at once")
    private val connections =
        wholeNumber("executors", "connections", 64, 1L..10_000, "", "connections that an executor accepts")
    private val meanWork = millis("executors", "mean_work_millis", 20, "mean service time of a request")
    private val executorRack = perRack("executors")
    private val executorProcessors = processors("executors", 8_000)
    private val executorMemory = memory("executors", 16_384)

    private val workerGroups =
        namedCounts("workers", "groups", emptyList(), MAX_INSTANCES, "groups of workers with their sizes")
    private val workerRack = perRack("workers")
    private val workerProcessors = processors("workers", 16_000)
    private val workerMemory = memory("workers", 32_768)
    private val accelerators =
        wholeNumber("workers", "accelerators", 0, 0L..64, "", "accelerators of a worker")

    val schema = SettingsSchema(
        CommonSettings.all + listOf(listen, dataCentres, listLag, reboot, usageLag, seed) +
            listOf(executorGroups, firstPort, slots, connections, meanWork) +
            listOf(executorRack, executorProcessors, executorMemory) +
            listOf(workerGroups, workerRack, workerProcessors, workerMemory, accelerators),
    )

    fun optionsOf(settings: Settings): StandinOptions = StandinOptions(
        address = settings[listen].let { Address(it.host, it.port) },
        region = RegionId(settings[CommonSettings.region]),
        dataCentres = settings[dataCentres],
        executors = Groups(
            settings[executorGroups],
            Capacity(settings[executorProcessors], settings[executorMemory]),
            settings[executorRack].toInt(),
        ),
        workers = Groups(
            settings[workerGroups],
            Capacity(settings[workerProcessors], settings[workerMemory], settings[accelerators].toInt()),
            settings[workerRack].toInt(),
        ),
        firstPort = settings[firstPort].toInt(),
        slots = settings[slots].toInt(),
        connections = settings[connections].toInt(),
        meanWorkMillis = settings[meanWork],
        listLagMillis = settings[listLag],
        rebootMillis = settings[reboot],
        usageLagMillis = settings[usageLag],
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
        "processors of an instance",
    )

    private fun memory(section: String, default: Long) =
        wholeNumber(section, "memory_mib", default, 1..MAX_MEMORY_MIB, "mebibytes", "memory of an instance")
}
