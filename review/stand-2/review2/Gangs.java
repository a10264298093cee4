// What the members of gangs know of each other: they work from the moment when all of one run are present, and end when
// another member has ended.

package review2;

import java.util.HashMap;
import java.util.Map;

final class Gangs {
    static final long TIMEOUT_MILLIS = 3_000;

    private static final class Run {
        final int size;
        int present;
        long workingSinceMillis = -1;
        boolean broken;

        Run(int size) {
            this.size = size;
        }
    }

    private final Map<String, Run> runs = new HashMap<>();

    /** The run of a whole gang to which a run of the work unit belongs: ID.K.STEP and the attempt. */
    static String keyOf(String task, long attempt) {
        return task.substring(0, task.lastIndexOf('.')) + "/" + attempt;
    }

    synchronized void join(String key, int size) {
        Run run = runs.computeIfAbsent(key, unused -> new Run(size));
        run.present++;
        if (run.present == run.size && !run.broken) run.workingSinceMillis = Store.steadyMillis();
    }

    /** A member has ended otherwise than as done. */
    synchronized void breakUp(String key) {
        Run run = runs.get(key);
        if (run != null) run.broken = true;
    }

    synchronized boolean isBroken(String key) {
        Run run = runs.get(key);
        return run != null && run.broken;
    }

    /** Time for which the gang has worked in this run; negative while members are missing. */
    synchronized long workedMillis(String key) {
        Run run = runs.get(key);
        return run == null || run.workingSinceMillis < 0 ? -1 : Store.steadyMillis() - run.workingSinceMillis;
    }
}
