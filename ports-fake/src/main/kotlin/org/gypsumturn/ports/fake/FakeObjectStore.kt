// An in-memory object store that fails on demand in the same ways as the table.

package org.gypsumturn.ports.fake

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.ObjectName
import org.gypsumturn.ports.ObjectStore

/**
 * An object store in memory. Thread-safe.
 *
 * @param fault decides, before each call, what becomes of it; `isWrite` tells puts and removals from reads
 * @param delay is called before each call takes effect; it may block, as a slow store does
 */
public class FakeObjectStore(
    private val fault: (isWrite: Boolean) -> TableFault = { TableFault.NONE },
    private val delay: () -> Unit = {},
) : ObjectStore {
    private val objects = HashMap<ObjectName, ByteArray>()

    override fun put(name: ObjectName, bytes: ByteArray, timeoutMillis: Long): Verdict<Unit> {
        delay()
        return write { objects[name] = bytes.copyOf() }
    }

    override fun get(name: ObjectName, timeoutMillis: Long): Verdict<ByteArray?> {
        delay()
        return read { objects[name]?.copyOf() }
    }

    override fun remove(name: ObjectName, timeoutMillis: Long): Verdict<Unit> {
        delay()
        return write { objects.remove(name) }
    }

    @Synchronized
    private fun <T> read(get: () -> T): Verdict<T> =
        if (fault(false) == TableFault.NONE) Verdict.Ran(get()) else unavailable()

    @Synchronized
    private fun write(apply: () -> Unit): Verdict<Unit> = when (fault(true)) {
        TableFault.NONE -> Verdict.Ran(apply())

        TableFault.REFUSE -> unavailable()

        TableFault.LOSE_REQUEST -> lost()

        TableFault.LOSE_ANSWER -> {
            apply()
            lost()
        }
    }

    private fun unavailable() = Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "the object store is down"))

    private fun lost() = Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "the object store did not answer"))
}
