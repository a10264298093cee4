// An executor: it checks fences, leases and room, runs work units for the time that the case gives them, and lists what
// runs and what has ended. It can crash and start again under its id.

package review2;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToLongFunction;

final class Worker {
    static final long MAX_HOLD_MILLIS = 6_000;
    static final long STOP_MILLIS = 50;
    static final int MAX_LISTED = 500;

    /** What one work unit of a job needs. */
    record Size(long cpu, long memoryMb) {}

    private record Key(String task, long attempt) {}

    private static final class Running {
        long startedMillis;
        long endMillis;
        String how = "done";
        Size size;

        /** Key of the run of the gang; null for a work unit that is not of a gang. */
        String gang;
        long gangWorkMillis;
        String checkpoint = "";
    }

    final String id;
    final String service;
    final String rack;
    private final Store store;
    private final Record record;
    private final Web web;
    private final ToLongFunction<String> workMillis;
    private final java.util.function.Function<String, Size> sizeOf;
    final long cpu;
    final long memoryMb;

    private final Map<Key, Running> running = new LinkedHashMap<>();
    private final TreeMap<Long, List<Object>> finished = new TreeMap<>();
    private final Map<String, Long> highestClosed = new HashMap<>();
    private long lastEnd;
    private long fence;
    private long leaseEnd;
    private long born;
    private long clockStart;
    private long usedCpu;
    private long usedMemory;
    private boolean up;
    private long seq;

    /** Tells the number of members of the gang of a work unit; 0 for none. */
    java.util.function.ToIntFunction<String> gangSize = task -> 0;
    Gangs gangs;

    /** Is told the work unit, the attempt and the checkpoint of each start that is begun. */
    interface StartListener {
        void started(String task, long attempt, String checkpoint);
    }

    StartListener onStart = (task, attempt, checkpoint) -> {};

    /** Numbers of starts and of ends listed as done, over all lives. */
    final AtomicLong starts = new AtomicLong();
    final AtomicLong done = new AtomicLong();

    Worker(
        String id, String service, String rack, long cpu, long memoryMb, Store store, Record record,
        ToLongFunction<String> workMillis, java.util.function.Function<String, Size> sizeOf
    ) throws Exception {
        this.id = id;
        this.service = service;
        this.rack = rack;
        this.cpu = cpu;
        this.memoryMb = memoryMb;
        this.store = store;
        this.record = record;
        this.workMillis = workMillis;
        this.sizeOf = sizeOf;
        web = new Web(Web.freePort(), this::handle);
        start();
        Thread ticker = new Thread(this::tick);
        ticker.setDaemon(true);
        ticker.start();
    }

    String address() {
        return web.address();
    }

    /** Starts a life. Nothing of an earlier one is known. */
    synchronized void start() throws Exception {
        born = System.currentTimeMillis();
        clockStart = Store.steadyMillis() - 1_000;
        up = true;
        if (!web.isOpen()) web.start();
        announce();
    }

    /** Ends the life at once. What runs here ends with it. Connections are refused from then on. */
    synchronized void crash() {
        web.stop();
        endLife();
    }

    /** As above, but the executor is silent: it takes connections and answers nothing. */
    synchronized void crashSilently() {
        endLife();
    }

    private void endLife() {
        up = false;
        running.forEach((key, run) -> {
            record.run(id, "end", key.task, key.attempt, "crashed");
            if (run.gang != null) gangs.breakUp(run.gang);
        });
        running.clear();
        finished.clear();
        highestClosed.clear();
        lastEnd = 0;
        fence = 0;
        leaseEnd = 0;
        usedCpu = 0;
        usedMemory = 0;
        notifyAll();
    }

    synchronized boolean isUp() {
        return up;
    }

    synchronized int runningCount() {
        return running.size();
    }

    synchronized boolean isRunning(String jobId) {
        return running.keySet().stream().anyMatch(key -> key.task.startsWith(jobId + "."));
    }

    /** Number of work units of a job that run here. */
    synchronized int running(String jobId) {
        return (int) running.keySet().stream().filter(key -> key.task.startsWith(jobId + ".")).count();
    }

    synchronized int unacknowledged() {
        return finished.size();
    }

    synchronized long freeCpu() {
        return up ? cpu - usedCpu : 0;
    }

    private long clock() {
        return Store.steadyMillis() - clockStart;
    }

    synchronized Map<String, Object> capacity() {
        return Json.map("cpu", cpu, "mem_mb", memoryMb);
    }

    private void announce() {
        store.put("servers", id, Json.map(
            "service", service, "address", address(), "zone", "zone-a", "version", "1", "slots", 8L, "state", "ready",
            "seq", ++seq, "capacity", capacity(), "labels", List.of("a", rack), "born", born
        ));
    }

    private void tick() {
        long lastAnnounced = Store.steadyMillis();
        while (true) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                if (!up) continue;
                if (Store.steadyMillis() - lastAnnounced >= 1_500) {
                    lastAnnounced = Store.steadyMillis();
                    announce();
                }
                long now = clock();
                boolean lapsed = !running.isEmpty() && now > leaseEnd;
                List<Key> ended = new ArrayList<>();
                running.forEach((key, run) -> {
                    if (run.gang != null) workInGang(key, run, now);
                    if (lapsed || now >= run.endMillis) ended.add(key);
                });
                for (Key key : ended) {
                    Running run = running.remove(key);
                    usedCpu -= run.size.cpu;
                    usedMemory -= run.size.memoryMb;
                    String how = lapsed ? "lapsed" : run.how;
                    highestClosed.merge(key.task, key.attempt, Math::max);
                    finished.put(++lastEnd, List.of(lastEnd, key.task, key.attempt, how, run.checkpoint));
                    if (run.gang != null && !how.equals("done")) gangs.breakUp(run.gang);
                    if (how.equals("done")) done.incrementAndGet();
                    record.run(id, "end", key.task, key.attempt, how);
                }
                if (!ended.isEmpty()) notifyAll();
            }
        }
    }

    /** A member saves a value of its own after each second of work. It begins with the work done so far. */
    private void workInGang(Key key, Running run, long now) {
        long worked = gangs.workedMillis(run.gang);
        if (worked < 0 && now - run.startedMillis > Gangs.TIMEOUT_MILLIS) {
            run.how = "alone";
            run.endMillis = now;
        } else if (gangs.isBroken(run.gang) && run.endMillis > now) {
            run.how = "broken";
            run.endMillis = now;
        } else if (worked >= run.gangWorkMillis) {
            run.endMillis = now;
        } else if (worked >= 1_000) {
            run.checkpoint = worked / 1_000 + "s-of-" + key.task.substring(key.task.lastIndexOf('.') + 1);
        }
    }

    /** While this is set, no call of the system reaches the executor, and none of its answers reaches the system. */
    volatile boolean cutOff;

    private Web.Answer handle(Web.Request request) throws Exception {
        if (cutOff) return null;
        Web.Answer answer = perform(request);
        return cutOff ? null : answer;
    }

    private Web.Answer perform(Web.Request request) throws Exception {
        String expected = request.header("X-Gypsumturn-Expect-Instance");
        if (expected != null && !expected.equals(id)) return new Web.Answer(421, "{}");
        Map<String, Object> body = Json.object(request.body());
        return switch (request.path()) {
            case "/-/run-start" -> startInTimeOrLate(body);
            case "/-/run-stop" -> stopRun(body);
            case "/-/hold" -> hold(body);
            default -> new Web.Answer(404, "{}");
        };
    }

    private Web.Answer refused(String reason) {
        return new Web.Answer(409, Json.write(Json.map("clock_ms", clock(), "born", born, "reason", reason)));
    }

    private Web.Answer accepted() {
        return new Web.Answer(200, Json.write(Json.map("clock_ms", clock(), "born", born)));
    }

    private boolean isFenced(Map<String, Object> body) {
        long token = Json.number(body.get("fencing_token"), 0);
        if (token < fence) return true;
        fence = token;
        return false;
    }

    private void extendLease(Map<String, Object> body) {
        long wanted = Json.number(body.get("deadline_ms"), 0);
        leaseEnd = Math.max(leaseEnd, Math.min(wanted, clock() + MAX_HOLD_MILLIS));
    }

    /** Tells how late a start is carried out, which then has no answer; 0 for one that is carried out at once. */
    ToLongFunction<String> lateMillis = task -> 0;

    private Web.Answer startInTimeOrLate(Map<String, Object> body) {
        if (!isUp()) return null;
        String task = (String) body.get("task");
        long late = lateMillis.applyAsLong(task);
        if (late == 0) return startRun(body);
        record.line("%s: the start of %s gets no answer and is carried out %d ms later", id, task, late);
        Thread thread = new Thread(() -> {
            try {
                Thread.sleep(late);
            } catch (InterruptedException e) {
                return;
            }
            Web.Answer answer = startRun(body);
            record.line("%s: the late start of %s is carried out: %s", id, task, answer == null ? "not up" : answer.status());
        });
        thread.setDaemon(true);
        thread.start();
        return null;
    }

    private synchronized Web.Answer startRun(Map<String, Object> body) {
        if (!up) return null;
        if (isFenced(body)) return refused("fence");
        extendLease(body);
        if (Json.number(body.get("deadline_ms"), 0) <= clock()) return refused("late");
        String task = (String) body.get("task");
        long attempt = Json.number(body.get("attempt"), 0);
        Key key = new Key(task, attempt);
        if (running.containsKey(key)) return accepted();
        if (attempt <= highestClosed.getOrDefault(task, 0L)) return refused("old");
        Size size = sizeOf.apply(task);
        if (usedCpu + size.cpu > cpu || usedMemory + size.memoryMb > memoryMb) return refused("room");
        Running run = new Running();
        run.startedMillis = clock();
        run.endMillis = clock() + workMillis.applyAsLong(task);
        run.size = size;
        Object checkpoint = body.get("checkpoint");
        if (checkpoint != null) run.checkpoint = (String) checkpoint;
        int members = gangSize.applyAsInt(task);
        if (members > 0) {
            run.gang = Gangs.keyOf(task, attempt);
            run.gangWorkMillis = workMillis.applyAsLong(task);
            run.endMillis = Long.MAX_VALUE;
            gangs.join(run.gang, members);
        }
        running.put(key, run);
        onStart.started(task, attempt, run.checkpoint);
        usedCpu += size.cpu;
        usedMemory += size.memoryMb;
        starts.incrementAndGet();
        record.run(id, "start", task, attempt, run.checkpoint.isEmpty() ? "" : "from checkpoint " + run.checkpoint);
        return accepted();
    }

    private synchronized Web.Answer stopRun(Map<String, Object> body) {
        if (!up) return null;
        if (isFenced(body)) return refused("fence");
        String task = (String) body.get("task");
        long attempt = Json.number(body.get("attempt"), 0);
        highestClosed.merge(task, attempt, Math::max);
        Running run = running.get(new Key(task, attempt));
        if (run != null && run.how.equals("done")) {
            run.how = "stopped";
            run.endMillis = Math.min(run.endMillis, clock() + STOP_MILLIS);
        }
        record.run(id, "stop", task, attempt, "");
        return accepted();
    }

    private synchronized Web.Answer hold(Map<String, Object> body) throws InterruptedException {
        if (!up) return null;
        if (isFenced(body)) return refused("fence");
        extendLease(body);
        finished.headMap(Json.number(body.get("ack_seq"), 0), true).clear();
        long life = born;
        long end = Store.steadyMillis() + Math.min(2_000, Json.number(body.get("wait_ms"), 0));
        while (finished.isEmpty()) {
            long left = end - Store.steadyMillis();
            if (left <= 0) break;
            wait(left);
            if (!up || born != life) return null;
        }
        List<Object> rows = new ArrayList<>();
        running.forEach((key, run) -> rows.add(List.of(key.task, key.attempt, run.checkpoint, percentOf(run), 0L)));
        List<Object> ends = new ArrayList<>();
        for (List<Object> end1 : finished.values()) {
            if (ends.size() == MAX_LISTED) break;
            ends.add(end1);
        }
        return new Web.Answer(
            200, Json.write(Json.map("clock_ms", clock(), "born", born, "running", rows, "finished", ends))
        );
    }

    private long percentOf(Running run) {
        if (run.gang != null) return Math.max(0, Math.min(99, 100 * gangs.workedMillis(run.gang) / run.gangWorkMillis));
        long total = Math.max(1, run.endMillis - run.startedMillis);
        return Math.min(99, 100 * (clock() - run.startedMillis) / total);
    }
}
