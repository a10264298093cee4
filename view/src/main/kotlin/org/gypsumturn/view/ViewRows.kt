// Keys and encoding of the rows that store the view in the platform's table. A head row holds the version, each change
// has a row, and each record has a row with its latest state, so a process that starts does not read all changes.

package org.gypsumturn.view

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.gypsumturn.model.Change
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.OperationId
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.Write

/** Value of the head row: the version of the latest change. */
@Serializable
internal data class HeadRecord(val version: ViewVersion)

/** Value of an operation's row: the version at which it was accepted, so that a retry doesn't apply it again. */
@Serializable
internal data class OperationRecord(val version: ViewVersion)

internal object ViewRows {
    val head = RowKey("view/head")
    const val RECORD_PREFIX = "view/record/"
    private const val CHANGE_PREFIX = "view/change/"
    private const val OPERATION_PREFIX = "view/operation/"
    private const val VERSION_DIGITS = 19

    private val json =
        Json {
            ignoreUnknownKeys = true
            encodeDefaults = false
        }

    fun changeKey(version: ViewVersion): RowKey =
        RowKey(CHANGE_PREFIX + version.value.toString().padStart(VERSION_DIGITS, '0'))

    fun operationKey(operation: OperationId): RowKey = RowKey(OPERATION_PREFIX + operation.value)

    fun encodeHead(version: ViewVersion): String = json.encodeToString(HeadRecord(version))

    fun decodeHead(value: String): ViewVersion = json.decodeFromString<HeadRecord>(value).version

    fun encodeOperation(version: ViewVersion): String = json.encodeToString(OperationRecord(version))

    fun decodeOperation(value: String): ViewVersion = json.decodeFromString<OperationRecord>(value).version

    fun encodeChange(change: Change): String = json.encodeToString(change)

    fun decodeChange(value: String): Change = json.decodeFromString(value)

    fun decodeRecord(value: String): Mutation = json.decodeFromString(value)

    /** The write that brings the record of [mutation] up to date; [version] becomes the revision of the record. */
    fun recordWrite(mutation: Mutation, version: ViewVersion): Write = when (mutation) {
        is Mutation.PutPool -> put(
            "pool",
            mutation.pool.id.value,
            mutation.copy(mutation.pool.copy(revision = version)),
        )

        is Mutation.RemovePool -> remove("pool", mutation.id.value)

        is Mutation.PutService ->
            put("service", mutation.service.id.value, mutation.copy(mutation.service.copy(revision = version)))

        is Mutation.RemoveService -> remove("service", mutation.id.value)

        is Mutation.PutTeam -> put(
            "team",
            mutation.team.id.value,
            mutation.copy(mutation.team.copy(revision = version)),
        )

        is Mutation.RemoveTeam -> remove("team", mutation.id.value)

        is Mutation.PutInstance ->
            put("instance", mutation.instance.id.value, mutation.copy(mutation.instance.copy(revision = version)))

        is Mutation.RemoveInstance -> remove("instance", mutation.id.value)

        is Mutation.PutWave -> put(
            "wave",
            mutation.wave.id.value,
            mutation.copy(mutation.wave.copy(revision = version)),
        )

        is Mutation.RemoveWave -> remove("wave", mutation.id.value)

        is Mutation.PutNode -> put(
            "node",
            mutation.node.id.value,
            mutation.copy(mutation.node.copy(revision = version)),
        )

        is Mutation.RemoveNode -> remove("node", mutation.id.value)
    }

    private fun put(kind: String, id: String, mutation: Mutation) =
        Write(RowKey("$RECORD_PREFIX$kind/$id"), json.encodeToString(mutation))

    private fun remove(kind: String, id: String) = Write(RowKey("$RECORD_PREFIX$kind/$id"), null)
}
