// A scheduled job in a time of high demand, and a process that is stopped and started again meanwhile.

package review;

import java.util.ArrayList;
import java.util.List;

final class LostOccurrence {
    private static final String HOST = "print.example";
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int TIMES = 8;
    private static final int WIDTH = 4;
    private static final long INTERVAL_MILLIS = 1_000;
    private static final long WORK_MILLIS = 2_000;
    private static final long FINISH_MILLIS = 14_000;

    static void run(Platform platform) throws InterruptedException {
        platform.addExecutors("plans", 3);
        platform.configure(2, List.of(Platform.route(HOST, "/nightly/", "plans", 0)));
        platform.addNodes(3);
        Caller caller = new Caller(platform.nodes, platform.record);
        platform.awaitReady(caller, 30_000);
        Thread.sleep(3_000);

        long startAtMillis = System.currentTimeMillis() + 1_500;
        String job = Json.write(Json.object("spec", "nightly run",
            "phases", List.of(platform.step(JOB, 0, WIDTH, 16_000, 8_192, WORK_MILLIS)),
            "repeats", (long) TIMES, "interval_ms", INTERVAL_MILLIS, "start_at_ms", startAtMillis));
        Caller.Reply reply = caller.request("POST", HOST, "/nightly/" + JOB, job);
        if (reply == null || reply.status() != 200) platform.couldNotRun("the job was not accepted");
        long lastDueMillis = Record.nowMillis() + 1_500 + (TIMES - 1) * INTERVAL_MILLIS;

        Thread.sleep(Math.max(0, lastDueMillis + 500 - Record.nowMillis()));
        for (int k = 0; k < TIMES; k++) {
            platform.record.add("time %d: %d starts so far", k, platform.units.runsOf(JOB + "." + k + ".").size());
        }
        if (platform.trouble) {
            Node holder = platform.holder();
            holder.signal("TERM");
            if (!holder.awaitExit(6_000)) holder.signal("KILL");
            holder.start();
        }

        // Until the job is shown as completed, or finish_s after the traffic it has had nothing running for 10 s.
        long limitMillis = Record.nowMillis() + 75_000;
        long idleSinceMillis = Record.nowMillis();
        String state = "";
        while (Record.nowMillis() < limitMillis) {
            if (platform.units.running() > 0) idleSinceMillis = Record.nowMillis();
            boolean settled = Record.nowMillis() > lastDueMillis + FINISH_MILLIS;
            if (settled && Record.nowMillis() - idleSinceMillis > 10_000) break;
            if (Record.nowMillis() / 1_000 % 2 == 0) {
                reply = caller.request("GET", HOST, "/nightly/" + JOB, null);
                state = reply == null ? "" : reply.body();
                if (state.contains("completed")) break;
            }
            Thread.sleep(500);
        }
        List<String> broken = new ArrayList<>();
        if (!state.contains("completed")) {
            for (int k = 0; k < TIMES; k++) {
                for (int i = 0; i < WIDTH; i++) {
                    String task = JOB + "." + k + ".0." + i;
                    if (platform.units.isDone(task)) continue;
                    broken.add(String.format("work unit %s was due and has been started %d times; nothing runs, all 3"
                        + " executors are free for %.1f s, and the job is shown as %s", task,
                        platform.units.startsOf(task), (Record.nowMillis() - idleSinceMillis) / 1000.0, state));
                }
            }
        }
        platform.finish("LOST", broken);
    }
}
