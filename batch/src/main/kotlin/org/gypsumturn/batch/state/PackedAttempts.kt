// Compact encoding of attempt numbers by task. Attempt numbers of one step are close to each other, since each epoch
// has a range of its own, so that differences take one to three bytes where a number in a plain list takes six or more.

package org.gypsumturn.batch.state

import java.io.ByteArrayOutputStream
import java.util.Base64

private const val PAYLOAD_BITS = 7
private const val PAYLOAD_MASK = 0x7fL
private const val MORE_BIT = 0x80
private const val MAX_VARINT_BYTES = 10

/**
 * Packs the attempt numbers of the tasks of one step, by the index of the task. The text is base64 of unsigned numbers
 * of variable length: the lowest attempt, and for each task in the order of the indices the difference to the index
 * before, the number of its attempts, and their differences to the lowest attempt and to each other.
 */
internal fun packAttempts(attemptsByIndex: Map<Int, List<Long>>): String {
    val bytes = ByteArrayOutputStream()
    val lowest = attemptsByIndex.values.minOf { it.min() }
    writeNumber(bytes, lowest)
    var previousIndex = 0
    attemptsByIndex.toSortedMap().forEach { (index, attempts) ->
        writeNumber(bytes, (index - previousIndex).toLong())
        previousIndex = index
        writeNumber(bytes, attempts.size.toLong())
        var previous = lowest
        attempts.sorted().forEach { attempt ->
            writeNumber(bytes, attempt - previous)
            previous = attempt
        }
    }
    return Base64.getEncoder().encodeToString(bytes.toByteArray())
}

/**
 * Unpacks the attempt numbers by the index of the task. Throws [IllegalArgumentException] if [text] was not packed by
 * [packAttempts].
 */
internal fun unpackAttempts(text: String): Map<Int, List<Long>> {
    val numbers = NumberReader(Base64.getDecoder().decode(text))
    val lowest = numbers.next()
    val attemptsByIndex = LinkedHashMap<Int, List<Long>>()
    var index = 0
    while (numbers.hasNext) {
        index += numbers.next().toInt()
        var previous = lowest
        attemptsByIndex[index] = List(numbers.next().toInt()) { (previous + numbers.next()).also { previous = it } }
    }
    return attemptsByIndex
}

private fun writeNumber(bytes: ByteArrayOutputStream, number: Long) {
    var rest = number
    while (rest > PAYLOAD_MASK) {
        bytes.write((rest and PAYLOAD_MASK).toInt() or MORE_BIT)
        rest = rest ushr PAYLOAD_BITS
    }
    bytes.write(rest.toInt())
}

private class NumberReader(private val bytes: ByteArray) {
    private var position = 0

    val hasNext: Boolean get() = position < bytes.size

    fun next(): Long {
        var number = 0L
        repeat(MAX_VARINT_BYTES) { count ->
            require(position < bytes.size) { "packed attempts end within a number" }
            val byte = bytes[position++].toInt()
            number = number or ((byte.toLong() and PAYLOAD_MASK) shl (count * PAYLOAD_BITS))
            if (byte and MORE_BIT == 0) return number
        }
        throw IllegalArgumentException("packed attempts hold a number that is too long")
    }
}
