// One requester hands in a job of a million work units by mistake, beside ordinary jobs of others.

package review;

import java.util.ArrayList;
import java.util.List;

final class HugeJob {
    private static final String HOST = "print.example";
    private static final String HUGE_JOB = "9d21c07be4530a6f";
    private static final long HUGE_COUNT = 1_000_000;
    private static final int JOBS = 4;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long FINISH_MILLIS = 14_000;

    static void run(Platform platform) throws InterruptedException {
        platform.addExecutors("plans", 3);
        platform.configure(2, List.of(Platform.route(HOST, "/plans/", "plans", 0)));
        platform.addNodes(3);
        Caller caller = new Caller(platform.nodes, platform.record);
        platform.awaitReady(caller, 30_000);
        Thread.sleep(3_000);

        List<String> jobs = new ArrayList<>();
        submit(platform, caller, jobs);
        Thread.sleep(1_000);
        if (platform.trouble) {
            String job = Json.write(Json.object("spec", "plan",
                "phases", List.of(platform.step(HUGE_JOB, 0, HUGE_COUNT, 1_000, 1_024, 500))));
            caller.request("POST", HOST, "/plans/" + HUGE_JOB, job);
        }
        while (jobs.size() < JOBS) {
            Thread.sleep(1_000);
            submit(platform, caller, jobs);
        }

        // Until all ordinary jobs are done, or nothing has run for finish_s and contact_ms.
        long idleSinceMillis = Record.nowMillis();
        long limitMillis = Record.nowMillis() + 60_000;
        while (Record.nowMillis() < limitMillis && !undone(platform, jobs).isEmpty()) {
            if (platform.units.running() > 0) idleSinceMillis = Record.nowMillis();
            if (Record.nowMillis() - idleSinceMillis > FINISH_MILLIS + CONTACT_MILLIS) break;
            Thread.sleep(100);
        }
        List<String> broken = new ArrayList<>();
        for (String task : undone(platform, jobs)) {
            broken.add(String.format("work unit %s was started %d times; nothing has run for %.1f s, and all 3 executors"
                + " are free", task, platform.units.startsOf(task), (Record.nowMillis() - idleSinceMillis) / 1000.0));
        }
        for (Node node : platform.nodes) {
            platform.record.add("%s reports that it is %s", node.name, Platform.isReady(node) ? "ready" : "not ready");
            caller.send(node, "GET", HOST, "/plans/" + jobs.get(0), null, 3_000);
        }
        platform.finish("LOST", broken);
    }

    private static void submit(Platform platform, Caller caller, List<String> jobs) throws InterruptedException {
        String id = String.format("5c0e7a21d94b36%02x", jobs.size());
        String job = Json.write(Json.object("spec", "plan", "phases", List.of(
            platform.step(id, 0, 3, 4_000, 4_096, 3_000),
            platform.step(id, 1, 2, 4_000, 4_096, 1_000, "after", List.of(0L)))));
        Caller.Reply reply = caller.request("POST", HOST, "/plans/" + id, job);
        if (reply == null || reply.status() != 200) {
            if (jobs.isEmpty()) platform.couldNotRun("the first job was not accepted");
            return;
        }
        jobs.add(id);
    }

    /** Work units of [jobs] that have not ended as done. */
    private static List<String> undone(Platform platform, List<String> jobs) {
        List<String> result = new ArrayList<>();
        for (String id : jobs) {
            for (int step = 0; step < 2; step++) {
                for (int i = 0; i < (step == 0 ? 3 : 2); i++) {
                    String task = id + ".0." + step + "." + i;
                    if (!platform.units.isDone(task)) result.add(task);
                }
            }
        }
        return result;
    }
}
