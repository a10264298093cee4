// What the executors have seen of the work units: every run with its start and end. It tells which runs of one work unit
// overlapped, which were started after an end that was taken note of, and which never ended as done.

package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

final class WorkUnits {
    static final class Run {
        final String task;
        final long attempt;
        final String executor;
        final long startMillis = Record.nowMillis();
        long endMillis = Long.MAX_VALUE;
        String how = "";

        /** When the end was taken note of; not set if the lease lapsed in between. */
        long notedMillis = Long.MAX_VALUE;

        Run(String task, long attempt, String executor) {
            this.task = task;
            this.attempt = attempt;
            this.executor = executor;
        }
    }

    private final Map<String, List<Run>> runsByTask = new TreeMap<>();
    private final Record record;

    WorkUnits(Record record) {
        this.record = record;
    }

    synchronized Run start(String task, long attempt, String executor) {
        Run run = new Run(task, attempt, executor);
        runsByTask.computeIfAbsent(task, name -> new ArrayList<>()).add(run);
        record.add("start %s attempt %d on %s", task, attempt, executor);
        return run;
    }

    synchronized void end(Run run, String how) {
        run.endMillis = Record.nowMillis();
        run.how = how;
        record.add("end %s attempt %d on %s: %s", run.task, run.attempt, run.executor, how);
    }

    synchronized void noted(Run run) {
        run.notedMillis = Record.nowMillis();
    }

    /** Pairs of runs of one work unit that ran at the same time, or whose second began after a noted end as done. */
    synchronized List<String> runsTwice() {
        List<String> found = new ArrayList<>();
        for (List<Run> runs : runsByTask.values()) {
            for (Run first : runs) {
                for (Run second : runs) {
                    if (first == second || second.startMillis < first.startMillis) continue;
                    if (second.startMillis == first.startMillis && second.attempt < first.attempt) continue;
                    if (second.startMillis < first.endMillis) {
                        found.add(String.format("%s ran on %s from %.3f to %s and on %s from %.3f to %s", first.task,
                            first.executor, first.startMillis / 1000.0, seconds(first.endMillis), second.executor,
                            second.startMillis / 1000.0, seconds(second.endMillis)));
                    } else if (first.how.equals("done") && first.notedMillis != Long.MAX_VALUE) {
                        found.add(String.format("%s ended done on %s at %s and was started on %s at %.3f", first.task,
                            first.executor, seconds(first.endMillis), second.executor, second.startMillis / 1000.0));
                    }
                }
            }
        }
        return found;
    }

    private static String seconds(long millis) {
        return millis == Long.MAX_VALUE ? "the end" : String.format("%.3f", millis / 1000.0);
    }

    synchronized boolean isDone(String task) {
        return runsByTask.getOrDefault(task, List.of()).stream().anyMatch(run -> run.how.equals("done"));
    }

    synchronized int running() {
        return (int) runsByTask.values().stream().flatMap(List::stream)
            .filter(run -> run.endMillis == Long.MAX_VALUE).count();
    }

    synchronized int startsOf(String task) {
        return runsByTask.getOrDefault(task, List.of()).size();
    }

    synchronized List<Run> runsOf(String prefix) {
        return runsByTask.entrySet().stream().filter(entry -> entry.getKey().startsWith(prefix))
            .flatMap(entry -> entry.getValue().stream()).toList();
    }
}
