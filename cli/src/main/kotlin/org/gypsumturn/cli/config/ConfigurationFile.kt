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
    /** The change that the file describes, without its header. */
    data class Loaded(val request: ApplyConfigurationRequest) : ConfigurationResult

    /** Nothing may be sent. */
    data class Rejected(val problems: List<SettingsProblem>) : ConfigurationResult
}

internal object ConfigurationFile {
    private const val REMOVE = "remove"
    private const val KINDS = "[pool NAME], [service NAME], [team NAME], [instance NAME] and [remove]"
    private val heading = Regex("(pool|service|team|instance) ([A-Za-z0-9._-]+)")

    fun load(file: File): ConfigurationResult {
        val sections = sectionNames(file)
        val records = sections.mapNotNull(::recordOf)
        val removal = if (REMOVE in sections) listOf(RemovalSettings(REMOVE)) else emptyList()
        val all = records + removal
        val unknown = sections.filter { it != REMOVE && !it.matches(heading) }
        return when (val result = SettingsSchema(all.flatMap { it.settings }).load(file)) {
            is SettingsResult.Rejected ->
                ConfigurationResult.Rejected(
                    unknown.map { unknownSection(file, it) } + result.problems.filter { it.section !in unknown },
                )

            is SettingsResult.Loaded ->
                if (unknown.isNotEmpty()) {
                    ConfigurationResult.Rejected(unknown.map { unknownSection(file, it) })
                } else {
                    ConfigurationResult.Loaded(requestOf(all, result.settings))
                }
        }
    }

    private fun requestOf(records: List<RecordSettings>, values: Settings): ApplyConfigurationRequest =
        ApplyConfigurationRequest.newBuilder().also { request -> records.forEach { it.addTo(request, values) } }.build()

    private fun recordOf(section: String): RecordSettings? {
        val (kind, id) = heading.matchEntire(section)?.destructured ?: return null
        return when (kind) {
            "pool" -> PoolSettings(section, id)
            "service" -> ServiceSettings(section, id)
            "team" -> TeamSettings(section, id)
            else -> InstanceSettings(section, id)
        }
    }

    // A file that cannot be read has no sections here; loading it reports why.
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

    private fun unknownSection(file: File, section: String) =
        SettingsProblem(SettingsProblemKind.UNKNOWN, file.path, section, "", "", "sections $KINDS", "")
}

private class RemovalSettings(section: String) : RecordSettings {
    private val pools = removed(section, "pools")
    private val services = removed(section, "services")
    private val teams = removed(section, "teams")

    override val settings: List<Setting<*>> = listOf(pools, services, teams)

    override fun addTo(request: ApplyConfigurationRequest.Builder, values: Settings) {
        request.addAllRemovePools(values[pools])
        request.addAllRemoveServices(values[services])
        request.addAllRemoveTeams(values[teams])
    }

    private fun removed(section: String, key: String) = names(section, key, emptyList(), "$key to delete")
}
