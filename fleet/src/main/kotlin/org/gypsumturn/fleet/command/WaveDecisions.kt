// Decisions on commands for a maintenance wave. The records of the instances show which ones a wave has rebooted, so
// the record of the wave stays small and any control process can continue the wave.

package org.gypsumturn.fleet.command

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.model.Wave
import org.gypsumturn.model.WaveId
import org.gypsumturn.model.WaveState

/** Time from the start of a wave for which the record of an ended wave stays in the view. */
private const val WAVE_RETENTION_MILLIS = 5L * 7 * 24 * 3_600_000

internal fun decideStartWave(view: FleetView, command: FleetCommand.StartWave, nowMillis: Long): CommandDecision {
    val wave = command.wave
    view.waves[wave.id]?.let { return CommandDecision.Conflict("wave ${wave.id}", it.revision) }
    val problems = problemsOf(wave, "wave", view.pools.keys)
    if (problems.isNotEmpty()) return CommandDecision.Invalid(problems)
    val started = wave.copy(
        state = WaveState.RUNNING,
        startedAtMillis = nowMillis,
        done = emptyList(),
        failed = emptyList(),
    )
    val expired = view.waves.values.filter {
        !it.isUnfinished && it.startedAtMillis < nowMillis - WAVE_RETENTION_MILLIS
    }
    val mutations = listOf(Mutation.PutWave(started)) + expired.map { Mutation.RemoveWave(it.id) }
    return CommandDecision.Accepted(mutations, "start wave ${wave.id} over ${wave.pools.size} pools")
}

internal fun decidePauseWave(view: FleetView, command: FleetCommand.PauseWave): CommandDecision =
    decideWaveState(view, command.id, command.expected, setOf(WaveState.RUNNING)) {
        it.copy(state = WaveState.PAUSED, reason = "paused by an operator")
    }

/** Resumes a wave and clears its failures, so that it tries the failed instances again. */
internal fun decideResumeWave(view: FleetView, command: FleetCommand.ResumeWave): CommandDecision =
    decideWaveState(view, command.id, command.expected, setOf(WaveState.PAUSED, WaveState.HALTED)) {
        it.copy(
            state = WaveState.RUNNING,
            reason = "resumed by an operator after ${it.failed.size} failures",
            failed = emptyList(),
        )
    }

internal fun decideAbortWave(view: FleetView, command: FleetCommand.AbortWave): CommandDecision {
    val from = setOf(WaveState.RUNNING, WaveState.PAUSED, WaveState.HALTED)
    return decideWaveState(view, command.id, command.expected, from) {
        it.copy(state = WaveState.ABORTED, reason = "aborted by an operator")
    }
}

private fun decideWaveState(
    view: FleetView,
    id: WaveId,
    expected: ViewVersion?,
    from: Set<WaveState>,
    change: (Wave) -> Wave,
): CommandDecision {
    val what = "wave $id"
    val wave = view.waves[id]
    checkRevision(what, expected, wave?.revision)?.let { return it }
    checkNotNull(wave)
    val changed = change(wave)
    if (wave.state == changed.state) return unchanged(what)
    if (wave.state !in from) return CommandDecision.WrongState("$what is ${wave.state}")
    return accepted("$what is ${changed.state}", Mutation.PutWave(changed))
}

internal fun decideRecordWave(view: FleetView, command: FleetCommand.RecordWave): CommandDecision {
    val recorded = command.wave
    val what = "wave ${recorded.id}"
    val wave = view.waves[recorded.id]
    checkRevision(what, command.expected, wave?.revision)?.let { return it }
    checkNotNull(wave)
    val progress = wave.copy(
        state = recorded.state,
        reason = recorded.reason,
        done = recorded.done,
        failed = recorded.failed,
        revision = recorded.revision,
    )
    if (progress != recorded) return invalid("wave", "only the progress of $what may be recorded")
    if (progress.copy(revision = wave.revision) == wave) return unchanged(what)
    val ends = recorded.state == WaveState.HALTED || recorded.state == WaveState.FINISHED
    val allowed = recorded.state == wave.state || (wave.state == WaveState.RUNNING && ends)
    if (!allowed) return CommandDecision.WrongState("$what is ${wave.state} and cannot become ${recorded.state}")
    return accepted("$what is ${recorded.state}: ${recorded.reason}", Mutation.PutWave(recorded))
}
