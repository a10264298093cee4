// Stand-in for one life of an executor. It follows "Running work units" in PROTOCOL.md: fence numbers, leases on its own
// clock, stops, lists of runs and ends, and checks of its capacity. A work unit runs for as long as the job's spec says.

package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

final class Executor {
    static final long MAX_HOLD_MILLIS = 6_000;
    private static final long STOP_MILLIS = 200;
    private static final long BEAT_TIMEOUT_MILLIS = 500;
    private static final int MAX_ENDS = 500;

    private static final class Active {
        final WorkUnits.Run run;
        final long cpu;
        final long memMb;
        final long endAtMillis;
        long stopAtMillis = Long.MAX_VALUE;

        Active(WorkUnits.Run run, long cpu, long memMb, long endAtMillis) {
            this.run = run;
            this.cpu = cpu;
            this.memMb = memMb;
            this.endAtMillis = endAtMillis;
        }
    }

    private static final class End {
        final long number;
        final WorkUnits.Run run;
        boolean leaseLapsedSince;

        End(long number, WorkUnits.Run run) {
            this.number = number;
            this.run = run;
        }
    }

    /** Sizes and lengths of the work units of one step, told apart by job and step. */
    record Size(long cpu, long memMb, long millis) {}

    final String id;
    final String machine;
    final String service;
    private final Store store;
    private final WorkUnits units;
    private final Record record;
    private final Map<String, Size> sizes;
    private final long cpu = 16_000;
    private final long memMb = 32_768;
    private final String rack;
    private final long bornMillis = System.currentTimeMillis();
    private final long startMillis = Record.nowMillis() - 1_000;
    private final Web web;
    private final List<Active> running = new ArrayList<>();
    private final List<End> ends = new ArrayList<>();
    private final Map<String, Long> highestEnded = new HashMap<>();
    private long lastEnd;
    private long fence;
    private long leaseEndMillis;

    Executor(String id, String machine, String service, String rack, Store store, WorkUnits units, Record record,
        Map<String, Size> sizes) {
        this.id = id;
        this.machine = machine;
        this.service = service;
        this.rack = rack;
        this.store = store;
        this.units = units;
        this.record = record;
        this.sizes = sizes;
        web = new Web("127.0.0.1", this::handle);
        Tasks.every(5, this::tick);
    }

    /**
     * Reports to the store after [firstMillis], and then every [intervalMillis]. A report that is not answered ends
     * with its timeout, and the next one follows an interval later, so that an entry that has lapsed is back within
     * two seconds of the store's return.
     */
    void register(long firstMillis, long intervalMillis) {
        Tasks.after(firstMillis, () -> register(beat() ? intervalMillis : intervalMillis + BEAT_TIMEOUT_MILLIS,
            intervalMillis));
    }

    private boolean beat() {
        return store.beat(id, Json.object("service", service, "address", web.address(), "zone", "z1", "version", "v1",
            "slots", 8L, "state", "ready", "cold_left_ms", 0L, "seq", 1L, "capacity", capacity(), "labels", labels(),
            "born", bornMillis, "machine", machine));
    }

    Map<String, Object> capacity() {
        return Json.object("cpu", cpu, "mem_mb", memMb, "gpu", 0L);
    }

    List<Object> labels() {
        return List.of("a", rack);
    }

    private long clock() {
        return Record.nowMillis() - startMillis;
    }

    private synchronized void tick() {
        long now = clock();
        boolean lapsed = now > leaseEndMillis;
        if (lapsed) ends.forEach(end -> end.leaseLapsedSince = true);
        for (Iterator<Active> all = running.iterator(); all.hasNext();) {
            Active active = all.next();
            String how = null;
            if (lapsed) how = "lapsed";
            else if (now >= active.stopAtMillis) how = "stopped";
            else if (now >= active.endAtMillis) how = "done";
            if (how == null) continue;
            all.remove();
            units.end(active.run, how);
            highestEnded.merge(active.run.task, active.run.attempt, Math::max);
            ends.add(new End(++lastEnd, active.run));
            notifyAll();
        }
    }

    private Web.Answer handle(Web.Request request) throws InterruptedException {
        if (request.path().equals("/health")) return Web.Answer.of(200);
        if (!id.equals(request.headers().get("X-Gypsumturn-Expect-Instance"))) {
            return Web.Answer.of(421, "clock_ms", clock());
        }
        Map<String, Object> body = Json.parseObject(request.body());
        return switch (request.path()) {
            case "/-/run-start" -> start(body);
            case "/-/run-stop" -> stop(body);
            case "/-/hold" -> hold(body);
            case "/-/pace" -> Web.Answer.of(200, "clock_ms", clock(), "born", bornMillis);
            default -> Web.Answer.of(404);
        };
    }

    private boolean isFenced(Map<String, Object> body) {
        long token = body.get("fencing_token") instanceof Number n ? n.longValue() : 0;
        if (token < fence) return true;
        fence = token;
        return false;
    }

    private void extend(Map<String, Object> body) {
        if (!(body.get("deadline_ms") instanceof Number deadline)) return;
        leaseEndMillis = Math.max(leaseEndMillis, Math.min(deadline.longValue(), clock() + MAX_HOLD_MILLIS));
    }

    private Web.Answer refusal(String reason) {
        return Web.Answer.of(409, "clock_ms", clock(), "born", bornMillis, "reason", reason);
    }

    private synchronized Web.Answer start(Map<String, Object> body) {
        String task = (String) body.get("task");
        long attempt = ((Number) body.get("attempt")).longValue();
        if (isFenced(body)) return refusal("fence");
        boolean present = running.stream().anyMatch(a -> a.run.task.equals(task) && a.run.attempt == attempt);
        if (present) return Web.Answer.of(200, "clock_ms", clock(), "born", bornMillis);
        if (((Number) body.get("deadline_ms")).longValue() <= clock()) return refusal("late");
        extend(body);
        if (attempt <= highestEnded.getOrDefault(task, 0L)) return refusal("old");
        String[] parts = task.split("\\.");
        Size size = sizes.get(parts[0] + "." + parts[2]);
        if (size == null) {
            record.add("start %s on %s: no requester sent it", task, id);
            return Web.Answer.of(400, "clock_ms", clock());
        }
        long usedCpu = running.stream().mapToLong(a -> a.cpu).sum() + size.cpu;
        long usedMem = running.stream().mapToLong(a -> a.memMb).sum() + size.memMb;
        if (usedCpu > cpu || usedMem > memMb) return refusal("room");
        running.add(new Active(units.start(task, attempt, id), size.cpu, size.memMb, clock() + size.millis));
        return Web.Answer.of(200, "clock_ms", clock(), "born", bornMillis);
    }

    private synchronized Web.Answer stop(Map<String, Object> body) {
        String task = (String) body.get("task");
        long attempt = ((Number) body.get("attempt")).longValue();
        if (isFenced(body)) return refusal("fence");
        boolean found = false;
        for (Active active : running) {
            if (active.run.task.equals(task) && active.run.attempt == attempt) {
                active.stopAtMillis = Math.min(active.stopAtMillis, clock() + STOP_MILLIS / 2);
                found = true;
            }
        }
        if (!found) highestEnded.merge(task, attempt, Math::max);
        return Web.Answer.of(200, "clock_ms", clock(), "born", bornMillis);
    }

    private synchronized Web.Answer hold(Map<String, Object> body) throws InterruptedException {
        if (isFenced(body)) return refusal("fence");
        extend(body);
        long acknowledged = body.get("ack_seq") instanceof Number n ? n.longValue() : 0;
        for (Iterator<End> all = ends.iterator(); all.hasNext();) {
            End end = all.next();
            if (end.number > acknowledged) continue;
            if (!end.leaseLapsedSince) units.noted(end.run);
            all.remove();
        }
        long wait = body.get("wait_ms") instanceof Number n ? Math.min(2_000, n.longValue()) : 0;
        long until = clock() + wait;
        while (ends.isEmpty() && until - clock() > 0) wait(until - clock());
        List<Object> runningRows = new ArrayList<>();
        for (Active active : running) {
            long length = Math.max(1, active.endAtMillis - (active.run.startMillis - startMillis));
            long percent = Math.min(99, Math.max(0, 100 * (clock() - (active.run.startMillis - startMillis)) / length));
            runningRows.add(List.of(active.run.task, active.run.attempt, "", percent, active.cpu));
        }
        List<Object> endRows = new ArrayList<>();
        for (End end : ends.subList(0, Math.min(MAX_ENDS, ends.size()))) {
            endRows.add(List.of(end.number, end.run.task, end.run.attempt, end.run.how, ""));
        }
        return Web.Answer.of(200, "clock_ms", clock(), "born", bornMillis, "running", runningRows,
            "finished", endRows);
    }
}
