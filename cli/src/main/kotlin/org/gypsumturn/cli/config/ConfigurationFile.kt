// Reads a file of pools, services, teams and instances. Each section `[pool NAME]`, `[service NAME]`, `[team NAME]` or
// `[instance NAME]` is one record; `[remove]` lists records to delete. Every problem of the file is reported at once.

package org.gypsumturn.cli.config

import org.gypsumturn.runtime.settings.Setting
import org.gypsumturn.runtime.settings.Settings
import org.gypsumturn.runtime.settings.SettingsProblem
import org.gypsumturn.runtime.settings.SettingsProblemKind
import org.gypsumturn.runtime.settings.SettingsResult
import org.gypsumturn.runtime.settings.SettingsSchema
import org.gypsumturn.runtime.settings.names
import org.gypsumturn.schema.admin.ApplyConfigurationRequest
import org.ini4j.Config
import org.ini4j.Ini
import java.io.File
import java.io.IOException

/** Outcome of reading a configuration file. */
internal sealed interface ConfigurationResult {
    /** The file is valid. [request] is the change that it describes; its header is not set. */
    data class Loaded(val request: ApplyConfigurationRequest) : ConfigurationResult

    /** The file has the given [problems], so no request may be sent. */
    data class Rejected(val problems: List<SettingsProblem>) : ConfigurationResult
}

internal object ConfigurationFile {
    private const val REMOVE_SECTION = "remove"
    private const val ALLOWED_SECTIONS = "[pool NAME], [service NAME], [team NAME], [instance NAME] and [remove]"
    private val recordHeading = Regex("(pool|service|team|instance) ([A-Za-z0-9._-]+)")

    /** Reads [file] and checks it. The result has all problems of the file, also if it cannot be read. */
    fun load(file: File): ConfigurationResult {
        val sections = sectionNames(file)
        val records = sections.mapNotNull(::recordSettingsOf)
        val removal = if (REMOVE_SECTION in sections) listOf(RemovalSettings(REMOVE_SECTION)) else emptyList()
        val allRecords = records + removal
        val unknownSections = sections.filter { it != REMOVE_SECTION && !it.matches(recordHeading) }
        return when (val result = SettingsSchema(allRecords.flatMap { it.settings }).load(file)) {
            is SettingsResult.Rejected ->
                ConfigurationResult.Rejected(
                    unknownSections.map { unknownSectionProblem(file, it) } +
                        result.problems.filter { it.section !in unknownSections },
                )

            is SettingsResult.Loaded ->
                if (unknownSections.isNotEmpty()) {
                    ConfigurationResult.Rejected(unknownSections.map { unknownSectionProblem(file, it) })
                } else {
                    ConfigurationResult.Loaded(buildRequest(allRecords, result.settings))
                }
        }
    }

    private fun buildRequest(records: List<RecordSettings>, values: Settings): ApplyConfigurationRequest =
        ApplyConfigurationRequest.newBuilder().also { request -> records.forEach { it.addTo(request, values) } }.build()

    private fun recordSettingsOf(section: String): RecordSettings? {
        val (kind, id) = recordHeading.matchEntire(section)?.destructured ?: return null
        return when (kind) {
            "pool" -> PoolSettings(section, id)
            "service" -> ServiceSettings(section, id)
            "team" -> TeamSettings(section, id)
            else -> InstanceSettings(section, id)
        }
    }

    // Returns no names if the file cannot be read: SettingsSchema.load reads it again and reports the reason.
    private fun sectionNames(file: File): List<String> = try {
        val ini = Ini()
        ini.config = Config().apply {
            isMultiOption = true
            isMultiSection = true
            isEscape = false
            isEmptyOption = true
        }
        file.inputStream().use(ini::load)
        ini.keys.toList()
    } catch (e: IOException) {
        emptyList()
    }

    private fun unknownSectionProblem(file: File, section: String) =
        SettingsProblem(SettingsProblemKind.UNKNOWN, file.path, section, "", "", "sections $ALLOWED_SECTIONS", "")
}

/** The section `[remove]`: the ids of the records to delete. Instances cannot be removed by a file. */
private class RemovalSettings(section: String) : RecordSettings {
    private val pools = removalSetting(section, "pools")
    private val services = removalSetting(section, "services")
    private val teams = removalSetting(section, "teams")

    override val settings: List<Setting<*>> = listOf(pools, services, teams)

    override fun addTo(request: ApplyConfigurationRequest.Builder, values: Settings) {
        request.addAllRemovePools(values[pools])
        request.addAllRemoveServices(values[services])
        request.addAllRemoveTeams(values[teams])
    }

    private fun removalSetting(section: String, key: String) = names(section, key, emptyList(), "$key to delete")
}
