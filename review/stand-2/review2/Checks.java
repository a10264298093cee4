// Checks on what the executors have run.

package review2;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

final class Checks {
    /** TWICE: number of work units of which two runs were at work at the same time. */
    static int overlaps(Record record) {
        return overlapping(record).size();
    }

    /** The work units of which two runs were at work at the same time. */
    static List<String> overlapping(Record record) {
        Map<String, Integer> running = new HashMap<>();
        List<String> found = new ArrayList<>();
        for (Record.Event event : record.events) {
            if (event.what().equals("start")) {
                if (running.merge(event.task(), 1, Integer::sum) == 2) found.add(event.task());
            } else if (event.what().equals("end")) {
                running.merge(event.task(), -1, Integer::sum);
            }
        }
        return found;
    }
}
