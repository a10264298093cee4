// Subcommands that list, start, pause, resume and abort maintenance waves.

package org.gypsumturn.cli.command

import com.google.protobuf.Message
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.delimiter
import kotlinx.cli.required
import org.gypsumturn.schema.admin.AdminGrpc.AdminBlockingStub
import org.gypsumturn.schema.admin.ListWavesRequest
import org.gypsumturn.schema.admin.Mutating
import org.gypsumturn.schema.admin.StartWaveRequest
import org.gypsumturn.schema.admin.Wave
import org.gypsumturn.schema.admin.WaveRequest

private const val DEFAULT_MAX_FAILURES = 2
private const val DEFAULT_REBOOT_TIMEOUT_MILLIS = 600_000

internal fun waveCommands() = CommandGroup(
    "waves",
    "maintenance waves",
    listOf(
        ReadCommand("list", "list all waves") { it.listWaves(ListWavesRequest.getDefaultInstance()) },
        StartWave(),
        IdCommand("pause", "pause a wave") { stub, header, id -> stub.pauseWave(waveRequest(header, id)) },
        IdCommand("resume", "resume a wave") { stub, header, id -> stub.resumeWave(waveRequest(header, id)) },
        IdCommand("abort", "abort a wave") { stub, header, id -> stub.abortWave(waveRequest(header, id)) },
    ),
)

private fun waveRequest(header: Mutating, id: String) = WaveRequest.newBuilder().setHeader(header).setWave(id).build()

private class StartWave : MutatingCommand("start", "reboot every instance of some pools once") {
    private val id by argument(ArgType.String, "id", "name of the wave")
    private val pools by option(ArgType.String, "pools", description = "pools, separated by commas")
        .required()
        .delimiter(",")
    private val canaries by option(
        ArgType.Int,
        "canaries",
        description = "instances that are rebooted before all others",
    )
        .default(1)
    private val maxParallel by option(
        ArgType.Int,
        "max-parallel",
        description = "most instances out of service at once; 0: as many as the budgets allow",
    ).default(0)
    private val maxFailures by option(
        ArgType.Int,
        "max-failures",
        description = "number of failures at which the wave halts",
    )
        .default(DEFAULT_MAX_FAILURES)
    private val rebootTimeoutMillis by option(
        ArgType.Int,
        "reboot-timeout-millis",
        description = "time in milliseconds after which a reboot counts as failed",
    ).default(DEFAULT_REBOOT_TIMEOUT_MILLIS)

    override fun send(stub: AdminBlockingStub, header: Mutating): Message {
        val wave =
            Wave
                .newBuilder()
                .setId(id)
                .addAllPools(pools)
                .setCanaries(canaries)
                .setMaxParallel(maxParallel)
                .setMaxFailures(maxFailures)
                .setRebootTimeoutMillis(rebootTimeoutMillis.toLong())
        return stub.startWave(StartWaveRequest.newBuilder().setHeader(header).setWave(wave).build())
    }
}
