// Port to the platform's object store, for values that are too large for a row.

package org.gypsumturn.ports

import org.gypsumturn.model.Verdict

/** Name of an object. */
@JvmInline
public value class ObjectName(public val value: String) {
    override fun toString(): String = value
}

/** The platform's object store. Puts are idempotent: an object is replaced as a whole. */
public interface ObjectStore {
    /** Stores [bytes] under [name]. */
    public fun put(name: ObjectName, bytes: ByteArray, timeoutMillis: Long): Verdict<Unit>

    /** The object's bytes, or null where there is none. */
    public fun get(name: ObjectName, timeoutMillis: Long): Verdict<ByteArray?>

    /** Removes the object, if there is one. */
    public fun remove(name: ObjectName, timeoutMillis: Long): Verdict<Unit>
}
