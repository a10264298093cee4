// Formats messages as text for people. A field of repeated messages becomes a table, every other field a line with its
// name and value. The fields of nested messages are shown like those of the outer message.

package org.gypsumturn.cli.output

import com.google.protobuf.Descriptors.FieldDescriptor
import com.google.protobuf.Descriptors.FieldDescriptor.JavaType
import com.google.protobuf.Message
import java.time.Instant

private const val COLUMN_GAP = "  "
private val TIME_SUFFIXES = listOf("_at_millis", "_since_millis")

/** The name and the value of a field as they are printed. An empty value is not shown. */
private data class Cell(val name: String, val value: String)

/** Formats [message] as lines of text, each with a newline at its end. */
internal fun formatMessage(message: Message): String {
    val (tableFields, singleFields) = message.descriptorForType.fields.partition {
        it.isRepeated &&
            it.javaType == JavaType.MESSAGE
    }
    val lines = singleFields.flatMap { cellsOf(it, message) }.filter { it.value.isNotEmpty() }
    val width = lines.maxOfOrNull { it.name.length } ?: 0
    return tableFields.joinToString("") { formatTable(message, it) } +
        lines.joinToString("") { "${it.name.padEnd(width)}$COLUMN_GAP${it.value}\n" }
}

private fun formatTable(message: Message, field: FieldDescriptor): String {
    val rows = (message.getField(field) as List<*>).map { rowOf(it as Message) }
    if (rows.isEmpty()) return "no ${field.name.replace('_', ' ')}\n"
    val columns = rows.first().indices.filter { column -> rows.any { it[column].value.isNotEmpty() } }
    val grid =
        listOf(columns.map { rows.first()[it].name.uppercase() }) + rows.map { row -> columns.map { row[it].value } }
    val widths = columns.indices.map { column -> grid.maxOf { it[column].length } }
    return grid.joinToString("") { line -> formatLine(line, widths) }
}

private fun formatLine(values: List<String>, widths: List<Int>): String =
    values.mapIndexed { column, value -> value.padEnd(widths[column]) }.joinToString(COLUMN_GAP).trimEnd() + "\n"

private fun rowOf(message: Message): List<Cell> = message.descriptorForType.fields.flatMap { cellsOf(it, message) }

private fun cellsOf(field: FieldDescriptor, message: Message): List<Cell> {
    val value = message.getField(field)
    if (field.isRepeated) return listOf(Cell(field.name, (value as List<*>).joinToString(",")))
    if (field.javaType == JavaType.MESSAGE) return rowOf(value as Message)
    val isTime = TIME_SUFFIXES.any { field.name.endsWith(it) }
    if (!isTime) return listOf(Cell(field.name, value.toString()))
    val text = if (value == 0L) "" else Instant.ofEpochMilli(value as Long).toString()
    return listOf(Cell(field.name.removeSuffix("_millis"), text))
}
