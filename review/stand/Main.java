// Runs one case. Its exit code is 10 if the rule was broken, 0 if it held, and 2 if the case could not run. It is not 1, with
// which a virtual machine that does not start ends too.

package review;

import java.nio.file.Path;
import java.util.Map;

final class Main {
    private interface Case {
        void run(Platform platform) throws Exception;
    }

    private static final Map<String, Case> CASES = Map.of(
        "lapsed-entries", LapsedEntries::run,
        "many-ends", ManyEnds::run,
        "lost-occurrence", LostOccurrence::run,
        "dropped-route", DroppedRoute::run,
        "huge-job", HugeJob::run);

    private Main() {}

    /** The arguments are the name of the case, the file of its record and the root of the repository. */
    public static void main(String[] args) {
        try {
            CASES.get(args[0]).run(new Platform(Path.of(args[1]), Path.of(args[2])));
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(2);
    }
}
