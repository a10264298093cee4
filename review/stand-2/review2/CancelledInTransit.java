// A requester leaves before it has an answer to its POST, and cancels the job at another node. The store has lost the
// answer of the write of that job, and performs the write some seconds later.

package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;

final class CancelledInTransit {
    private static final int JOBS = 5;
    private static final long PATIENCE_MILLIS = 300;
    private static final long LATE_MILLIS = 4_000;
    private static final long CANCEL_MILLIS = 3_000;
    private static final long STOP_MILLIS = 900;
    private static final long CONTACT_MILLIS = 3_000;

    static int run(Record record, boolean trouble) throws Exception {
        Deployment site = new Deployment(record, 8);
        Work work = new Work(site, record);
        for (int i = 0; i < 6; i++) work.addWorker("worker-" + i, i < 4 ? "r1-1" : "r1-2");
        site.startNodes(3);
        if (!site.awaitReady(30_000)) return 2;
        int broken = 0;
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", 0x3000 + i);
            // Of all writes only the first one of this job is lost.
            ConcurrentHashMap<String, Boolean> lost = new ConcurrentHashMap<>();
            site.store.treatment = body -> {
                boolean isFirst = trouble && body.contains("\"" + id + "\"") && lost.putIfAbsent(id, true) == null;
                return isFirst ? new Store.Treatment(LATE_MILLIS, false) : new Store.Treatment(0, true);
            };
            work.declare(id, List.of(new Work.Step(2, 500, 60_000, -1)));
            Caller.Answer post = Caller.call(
                site.nodes.get(0).callerPort, "POST", Deployment.PREFIX + id, work.bodyOf(id, null), 3_000, PATIENCE_MILLIS);
            long left = record.now();
            record.line("POST %s: %s", id, post.status() == 0 ? "no answer; the requester leaves" : post.status());
            Caller.Answer delete =
                Caller.call(site.nodes.get(1).callerPort, "DELETE", Deployment.PREFIX + id, null, 3_000);
            long acknowledged = record.now();
            record.line("DELETE %s: %d", id, delete.status());
            if (delete.status() != 200 && delete.status() != 410) continue;
            // No impairment is near from then on: the lost write was sent before the requester left.
            long checkFrom = Math.max(acknowledged + CANCEL_MILLIS + STOP_MILLIS, left + LATE_MILLIS + CONTACT_MILLIS);
            Thread.sleep(Math.max(0, checkFrom - record.now()) + 500);
            Caller.Answer state = Caller.call(site.nodes.get(1).callerPort, "GET", Deployment.PREFIX + id, null, 3_000);
            int running = site.workers.stream().mapToInt(worker -> worker.running(id)).sum();
            record.line("%d ms after the answer to the DELETE: %d work units run; GET: %d %s",
                record.now() - acknowledged, running, state.status(), state.body());
            if (running > 0) broken++;
        }
        record.line("UNASKED is broken for %d of %d jobs", broken, JOBS);
        return broken > 0 ? 1 : 0;
    }
}
