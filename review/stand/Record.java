// The record of a case: what was sent, answered and run, with the time since the start of the case.

package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

final class Record {
    private static final long START_NANOS = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static long nowMillis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    synchronized void add(String format, Object... values) {
        out.printf("%8.3f %s%n", nowMillis() / 1000.0, String.format(format, values));
    }
}
