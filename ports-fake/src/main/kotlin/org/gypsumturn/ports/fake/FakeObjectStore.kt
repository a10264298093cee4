// In-memory object store for tests and for the stand-in. It can be made to fail on demand, as the in-memory table can.

package org.gypsumturn.ports.fake

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.ObjectName
import org.gypsumturn.ports.ObjectStore

/**
 * An object store in memory. Thread-safe.
 *
 * @param fault called once for each call, returns the fault to apply to it; `isWrite` is true for puts and removals. A
 *   read has no effect to lose, so with any fault it fails as not run
 * @param delay called at the start of each call, before it takes effect; it may block to simulate a slow store
 */
public class FakeObjectStore(
    private val fault: (isWrite: Boolean) -> PortFault = { PortFault.NONE },
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
        if (fault(false) == PortFault.NONE) Verdict.Ran(get()) else unreachable()

    @Synchronized
    private fun write(apply: () -> Unit): Verdict<Unit> = when (fault(true)) {
        PortFault.NONE -> Verdict.Ran(apply())

        PortFault.REFUSE -> unreachable()

        PortFault.LOSE_REQUEST -> answerTimeout()

        PortFault.LOSE_ANSWER -> {
            apply()
            answerTimeout()
        }
    }

    private fun unreachable() = Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "the object store is down"))

    private fun answerTimeout() = Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "the object store did not answer"))
}
