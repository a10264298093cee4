// Jobs complete and are asked for; their kept state expires. At that time some parts of the store refuse calls for 4.5 s,
// and some seconds later the store forgets its history.

package review2;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

final class ExpiredJobs {
    private static final List<Work.Step> STEPS = List.of(new Work.Step(1, 500, 4_000, -1), new Work.Step(1, 500, 300, 0));
    private static final int JOBS = 80;
    private static final long STATUS_SECONDS = Long.getLong("status", 30);

    /** 3 of the 12 parts that the system uses. */
    private static final Set<String> DOWN = Set.of("jobs-5", "jobs-6", "jobs-7");
    private static final long CONTACT_MILLIS = 3_000;

    static int run(Record record, boolean trouble) throws Exception {
        Deployment site = new Deployment(record, 8);
        site.bounds.put("bounds.status_s", "" + STATUS_SECONDS);
        Work work = new Work(site, record);
        for (int i = 0; i < 6; i++) work.addWorker("worker-" + i, i < 4 ? "r1-1" : "r1-2");
        site.startNodes(3);
        if (!site.awaitReady(30_000)) return 2;
        long begin = record.now();
        for (int i = 0; i < JOBS; i++) {
            if (!work.submit(String.format("%016x", 0x1000 + i), STEPS, null)) return 2;
            Thread.sleep(200);
        }
        Map<String, Long> completed = new HashMap<>();
        while (completed.size() < JOBS) {
            for (int i = 0; i < JOBS; i++) {
                String id = String.format("%016x", 0x1000 + i);
                if (completed.containsKey(id)) continue;
                Caller.Answer answer =
                    Caller.call(site.nodes.get(0).callerPort, "GET", Deployment.PREFIX + id, null, 3_000);
                if (answer.body().contains("completed")) completed.put(id, record.now());
            }
            if (record.now() - begin > 45_000) {
                record.line("only %d jobs were completed in time", completed.size());
                return 2;
            }
        }
        record.line("all %d jobs are shown as completed; the holder is %s", JOBS, site.holder().name);
        // The state of an ended job is kept for 30 s more than is promised. The jobs expire over 16 s from then on.
        long expiry = begin + 5_000 + (STATUS_SECONDS + 30) * 1_000;
        Thread.sleep(Math.max(0, expiry + 5_000 - record.now()));
        long lastImpairment = record.now();
        if (trouble) {
            record.line("3 of the 12 parts of the store are down: %s", DOWN);
            site.store.partsDown = DOWN;
            Thread.sleep(4_500);
            site.store.partsDown = Set.of();
            record.line("all parts are up again");
            Thread.sleep(6_000);
            site.store.forgetHistory();
            lastImpairment = record.now();
            record.line("the store forgets its history; the holder is %s", site.holder().name);
        } else {
            Thread.sleep(8_000);
        }
        Thread.sleep(10_000);
        Set<String> again = new HashSet<>();
        List<String> inTouch = new ArrayList<>();
        for (Record.Event event : record.events) {
            if (!event.what().equals("start")) continue;
            String id = event.task().substring(0, 16);
            if (event.millis() <= completed.get(id) + 1_000) continue;
            again.add(id);
            if (event.millis() - lastImpairment > CONTACT_MILLIS) inTouch.add(event.task());
            record.line("%s starts again on %s at %d ms as attempt %d; its job was shown as completed at %d ms",
                event.task(), event.executor(), event.millis(), event.attempt(), completed.get(id));
        }
        record.line("TWICE: %d completed jobs ran again; %d starts were over %d ms after the last impairment",
            again.size(), inTouch.size(), CONTACT_MILLIS);
        return inTouch.isEmpty() ? 0 : 1;
    }
}
