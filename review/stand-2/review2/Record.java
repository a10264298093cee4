// Writes what was sent, answered and run to the record file of a case.

package review2;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ConcurrentLinkedQueue;

final class Record {
    /** A start, a stop or an end on an executor. */
    record Event(long millis, String executor, String what, String task, long attempt, String how) {}

    final ConcurrentLinkedQueue<Event> events = new ConcurrentLinkedQueue<>();
    private final PrintWriter out;
    private final long startMillis = Store.steadyMillis();

    /** Jobs whose runs are counted but not listed, since there are too many of them. */
    volatile String unlistedJob = "none";

    Record(Path file) throws Exception {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long now() {
        return Store.steadyMillis() - startMillis;
    }

    synchronized void line(String format, Object... values) {
        String text = String.format("%8d ms  ", now()) + String.format(format, values);
        out.println(text);
        out.flush();
        System.out.println(text);
    }

    void run(String executor, String what, String task, long attempt, String how) {
        events.add(new Event(now(), executor, what, task, attempt, how));
        if (task.startsWith(unlistedJob)) return;
        synchronized (this) {
            out.println(String.format("%8d ms  %s: %s %s attempt %d %s", now(), executor, what, task, attempt, how));
            out.flush();
        }
    }
}
