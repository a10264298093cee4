// The JSON messages by which a node relays a call to the store through another node. Names of properties and constants
// are part of the messages, so that nodes of different versions understand each other.

package org.gypsumturn.node

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.port.RowChanges
import org.gypsumturn.batch.port.RowCondition
import org.gypsumturn.batch.port.RowPage
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.StoredRow
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.model.Revision
import java.util.Base64

internal val relayJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/**
 * A row, a condition or a write. A condition has no [value] and a write has no [revision].
 *
 * @property value the row's content in Base64; null for a row that is absent or to be deleted
 */
@Serializable
internal class RelayRow(
    val table: String,
    val partition: String,
    val key: String,
    val revision: Long = 0,
    val value: String? = null,
) {
    val address: RowAddress get() = RowAddress(table, partition, key)

    fun toStoredRow() = StoredRow(address, Revision(revision), valueBytes())

    fun valueBytes(): ByteArray? = value?.let { Base64.getDecoder().decode(it) }
}

/** A call to the store. Properties that [kind] does not use have their default values, and are not sent. */
@Serializable
internal class RelayCall(
    val kind: RelayKind,
    val timeoutMillis: Long,
    val conditions: List<RelayRow> = emptyList(),
    val writes: List<RelayRow> = emptyList(),
    val table: String = "",
    val partition: String = "",
    val from: String? = null,
    val limit: Int = 0,
    val after: Long = 0,
    val waitMillis: Long = 0,
)

@Serializable
internal enum class RelayKind { TRANSACT, READ, FOLLOW }

/**
 * The store's answer to a call.
 *
 * @property conflict whether a condition of the transaction did not hold; [rows] are the present rows then
 * @property discarded whether the store no longer has the changes that a long poll asked for
 */
@Serializable
internal class RelayAnswer(
    val rows: List<RelayRow> = emptyList(),
    val revision: Long = 0,
    val storeMillis: Long = 0,
    val hasMore: Boolean = false,
    val conflict: Boolean = false,
    val discarded: Boolean = false,
) {
    fun toOutcome(): TransactionOutcome = if (conflict) {
        TransactionOutcome.Conflict(rows.map { it.toStoredRow() })
    } else {
        TransactionOutcome.Committed(Revision(revision), storeMillis)
    }

    fun toPage(): RowPage = RowPage(rows.map { it.toStoredRow() }, hasMore, Revision(revision), storeMillis)

    fun toChanges(): RowChanges = if (discarded) {
        RowChanges.Discarded
    } else {
        RowChanges.Known(rows.map { it.toStoredRow() }, Revision(revision), storeMillis)
    }
}

internal fun relayRow(address: RowAddress, revision: Revision = Revision.ABSENT, value: ByteArray? = null): RelayRow {
    val text = value?.let { Base64.getEncoder().encodeToString(it) }
    return RelayRow(address.table, address.partition, address.key, revision.value, text)
}

internal fun StoredRow.toRelay(): RelayRow = relayRow(address, revision, value)

internal fun RowTransaction.toRelay(timeoutMillis: Long): RelayCall = RelayCall(
    RelayKind.TRANSACT,
    timeoutMillis,
    conditions.map { relayRow(it.address, it.revision) },
    writes.map { relayRow(it.address, value = it.value) },
)

internal fun RelayCall.toTransaction(): RowTransaction = RowTransaction(
    conditions.map { RowCondition(it.address, Revision(it.revision)) },
    writes.map { RowWrite(it.address, it.valueBytes()) },
)

internal fun relayAnswerOf(outcome: TransactionOutcome): RelayAnswer = when (outcome) {
    is TransactionOutcome.Committed ->
        RelayAnswer(revision = outcome.revision.value, storeMillis = outcome.storeMillis)

    is TransactionOutcome.Conflict -> RelayAnswer(outcome.current.map { it.toRelay() }, conflict = true)
}

internal fun relayAnswerOf(page: RowPage): RelayAnswer =
    RelayAnswer(page.rows.map { it.toRelay() }, page.revision.value, page.storeMillis, page.hasMore)

internal fun relayAnswerOf(changes: RowChanges): RelayAnswer = when (changes) {
    RowChanges.Discarded -> RelayAnswer(discarded = true)

    is RowChanges.Known ->
        RelayAnswer(changes.rows.map { it.toRelay() }, changes.revision.value, changes.storeMillis)
}
