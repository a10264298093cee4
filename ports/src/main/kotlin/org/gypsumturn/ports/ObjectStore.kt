// Port to the platform's object store, for values that are too large for a row of the table.

package org.gypsumturn.ports

import org.gypsumturn.model.Verdict

@JvmInline
public value class ObjectName(public val value: String) {
    override fun toString(): String = value
}

/** The platform's object store. A put replaces the whole object, so it can be retried. */
public interface ObjectStore {
    /** Stores [bytes] under [name]. */
    public fun put(name: ObjectName, bytes: ByteArray, timeoutMillis: Long): Verdict<Unit>

    /** Reads the object [name]; null if it does not exist. */
    public fun get(name: ObjectName, timeoutMillis: Long): Verdict<ByteArray?>

    /** Removes the object [name] if it exists. */
    public fun remove(name: ObjectName, timeoutMillis: Long): Verdict<Unit>
}
