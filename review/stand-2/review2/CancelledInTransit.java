// Eight requesters hand jobs in. Two of them leave before they have an answer, and cancel their jobs at another node. The
// store has lost the answers to the first writes of these two jobs, and performs the writes some seconds later.

package review2;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

final class CancelledInTransit {
    private static final int JOBS = 8;
    private static final Set<Integer> GIVEN_UP = Set.of(2, 5);
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
        Thread.sleep(2_000);
        // Of all writes only the first one of each job that is given up is lost.
        Set<String> lost = ConcurrentHashMap.newKeySet();
        site.store.treatment = body -> {
            boolean isLost = trouble && GIVEN_UP.stream().map(CancelledInTransit::idOf)
                .anyMatch(id -> body.contains("\"" + id + "\"") && lost.add(id));
            return isLost ? new Store.Treatment(LATE_MILLIS, false) : new Store.Treatment(0, true);
        };
        long lastAcknowledged = 0;
        long lastLost = 0;
        for (int i = 0; i < JOBS; i++) {
            if (!GIVEN_UP.contains(i)) {
                if (!work.submit(idOf(i), Work.QUICK, null)) return 2;
                Thread.sleep(200);
                continue;
            }
            String id = idOf(i);
            work.declare(id, List.of(new Work.Step(2, 500, 60_000, -1)));
            // The two requesters are at different nodes, and cancel at the next one.
            int node = i == 2 ? 1 : 2;
            Caller.Answer post = Caller.call(
                site.nodes.get(node).callerPort, "POST", Deployment.PREFIX + id, work.bodyOf(id, null), 3_000, PATIENCE_MILLIS);
            lastLost = record.now();
            record.line("POST %s: %s", id, post.status() == 0 ? "no answer; the requester leaves" : post.status());
            int delete = Caller.call(
                site.nodes.get((node + 1) % 3).callerPort, "DELETE", Deployment.PREFIX + id, null, 3_000).status();
            lastAcknowledged = record.now();
            record.line("DELETE %s: %d", id, delete);
            if (delete != 200 && delete != 410) return 2;
        }
        long calm = Math.max(lastAcknowledged + CANCEL_MILLIS + STOP_MILLIS, lastLost + LATE_MILLIS + CONTACT_MILLIS);
        Thread.sleep(Math.max(0, calm - record.now()) + 500);
        int broken = 0;
        for (int i : GIVEN_UP) {
            String id = idOf(i);
            Caller.Answer state = Caller.call(site.nodes.get(0).callerPort, "GET", Deployment.PREFIX + id, null, 3_000);
            int running = site.workers.stream().mapToInt(worker -> worker.running(id)).sum();
            record.line("%s, %d ms after the last answer to a DELETE: %d work units run; GET: %d %s",
                id, record.now() - lastAcknowledged, running, state.status(), state.body());
            if (running > 0) broken++;
        }
        record.line("UNASKED is broken for %d of %d cancelled jobs", broken, GIVEN_UP.size());
        return broken > 0 ? 1 : 0;
    }

    private static String idOf(int number) {
        return String.format("%016x", 0x3000 + number);
    }
}
