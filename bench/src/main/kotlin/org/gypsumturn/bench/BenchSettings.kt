// Settings of the experiment tool.

package org.gypsumturn.bench

import org.gypsumturn.runtime.settings.Setting
import org.gypsumturn.runtime.settings.Settings
import org.gypsumturn.runtime.settings.SettingsSchema
import org.gypsumturn.runtime.settings.flag
import org.gypsumturn.runtime.settings.names

/** Settings of the section `bench`. */
internal object BenchSettings {
    private val quick: Setting<Boolean> = flag("bench", "quick", false, "run the small fixed set")
    private val experiments: Setting<List<String>> =
        names("bench", "experiments", emptyList(), "experiments to run; all of them if it is not set")

    val schema = SettingsSchema(listOf(quick, experiments))

    /** The command line that says the same as [settings]. */
    fun arguments(settings: Settings): List<String> =
        settings[experiments] + if (settings[quick]) listOf(QUICK) else emptyList()
}

internal const val QUICK = "--quick"
