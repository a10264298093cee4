// What a case has handed in, and the check of LOST on it.

package review2;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

final class Work {
    /** A step of {@code count} work units; each needs {@code cpu} and takes {@code millis}. */
    record Step(int count, long cpu, long millis, int after, boolean gang) {
        Step(int count, long cpu, long millis, int after) {
            this(count, cpu, millis, after, false);
        }

        Map<String, Object> json() {
            Map<String, Object> json =
                Json.map("count", (long) count, "cpu", cpu, "mem_mb", 10L, "estimate_ms", millis);
            if (gang) {
                json.put("gang", true);
                json.put("checkpointing", true);
            }
            if (after >= 0) json.put("after", List.of((long) after));
            return json;
        }
    }

    /** Quick jobs: two work units, and two more after them. */
    static final List<Step> QUICK = List.of(new Step(2, 100, 300, -1), new Step(2, 100, 300, 0));

    private final Deployment site;
    private final Record record;
    private final Map<String, List<Step>> steps = new java.util.concurrent.ConcurrentHashMap<>();
    private final Gangs gangs = new Gangs();
    private final Map<String, Boolean> accepted = new LinkedHashMap<>();

    Work(Deployment site, Record record) {
        this.site = site;
        this.record = record;
    }

    private Step stepOf(String task) {
        String[] parts = task.split("\\.");
        return steps.get(parts[0]).get(Integer.parseInt(parts[2]));
    }

    /** Adds executors that work as the steps of the jobs say. */
    void addWorker(String id, String rack) throws Exception {
        Worker worker = new Worker(id, Deployment.SERVICE, rack, 64_000, 131_072, site.store, record,
            task -> stepOf(task).millis, task -> new Worker.Size(stepOf(task).cpu, 10));
        worker.gangs = gangs;
        worker.gangSize = task -> stepOf(task).gang ? stepOf(task).count : 0;
        site.workers.add(worker);
    }

    /** Lets the executors know the steps of a job that the case hands in by itself. */
    void declare(String id, List<Step> jobSteps) {
        steps.put(id, jobSteps);
    }

    String bodyOf(String id, String affinity) {
        List<Object> phases = new ArrayList<>();
        for (Step step : steps.get(id)) {
            Map<String, Object> json = step.json();
            if (affinity != null) json.put("affinity", affinity);
            phases.add(json);
        }
        return Json.write(Json.map("spec", "work", "phases", phases));
    }

    /** Hands a job in, and again after no answer, a 502 or a 504, as requesters do. Returns whether it was accepted. */
    boolean submit(String id, List<Step> jobSteps, String affinity) {
        declare(id, jobSteps);
        String body = bodyOf(id, affinity);
        for (int i = 0; i < 4; i++) {
            Node node = site.nodes.get(i % site.nodes.size());
            int status = Caller.call(node.callerPort, "POST", Deployment.PREFIX + id, body, 3_000).status();
            record.line("POST %s (%d work units): %d", id, jobSteps.stream().mapToInt(Step::count).sum(), status);
            if (status == 200) {
                accepted.put(id, true);
                return true;
            }
        }
        return false;
    }

    int running() {
        return site.workers.stream().mapToInt(Worker::runningCount).sum();
    }

    int running(String id) {
        return (int) site.workers.stream().filter(worker -> worker.isRunning(id)).count();
    }

    /**
     * LOST, as asked after the traffic: for 3 s a job has nothing running although a work unit's turn has come, there
     * is capacity for it twice over, and under half of the capacity is in use. Returns the number of such jobs.
     */
    int countLost() throws Exception {
        Set<String> idle = new HashSet<>(accepted.keySet());
        long total = site.workers.stream().mapToLong(worker -> worker.cpu).sum();
        long end = Store.steadyMillis() + 3_200;
        while (Store.steadyMillis() < end) {
            idle.removeIf(id -> running(id) > 0);
            long free = site.workers.stream().mapToLong(Worker::freeCpu).sum();
            long largest = site.workers.stream().mapToLong(Worker::freeCpu).max().orElse(0);
            if (free * 2 < total || largest < 2 * 1_000) idle.clear();
            Thread.sleep(20);
        }
        Set<String> done = new HashSet<>();
        for (Record.Event event : record.events) {
            if (event.what().equals("end") && event.how().equals("done")) done.add(event.task());
        }
        int lost = 0;
        Map<String, Integer> states = new TreeMap<>();
        for (String id : accepted.keySet()) {
            Caller.Answer answer = Caller.call(site.nodes.get(0).callerPort, "GET", Deployment.PREFIX + id, null, 3_000);
            states.merge(answer.status() + " " + answer.body(), 1, Integer::sum);
            int left = 0;
            List<Step> jobSteps = steps.get(id);
            for (int step = 0; step < jobSteps.size(); step++) {
                for (int index = 0; index < jobSteps.get(step).count; index++) {
                    if (!done.contains(id + ".0." + step + "." + index)) left++;
                }
            }
            if (left == 0 || !idle.contains(id)) continue;
            lost++;
            if (lost <= 5) {
                record.line("%s: %d work units have not ended done, none runs; GET: %d %s",
                    id, left, answer.status(), answer.body());
            }
        }
        record.line("states of the accepted jobs: %s", states);
        record.line("ends that executors list and that are not taken note of: %d",
            site.workers.stream().mapToInt(Worker::unacknowledged).sum());
        record.line("work units that ran twice at the same time: %d", Checks.overlaps(record));
        return lost;
    }
}
