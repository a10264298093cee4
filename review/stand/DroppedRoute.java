// The manifest drops a route whose accepted job is not done yet, and later a process is stopped and started again.

package review;

import java.util.ArrayList;
import java.util.List;

final class DroppedRoute {
    private static final String HOST = "print.example";
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final long CONTACT_MILLIS = 3_000;
    private static final long FINISH_MILLIS = 14_000;

    static void run(Platform platform) throws InterruptedException {
        platform.addExecutors("plans", 3);
        platform.configure(2, List.of(Platform.route(HOST, "/plans/", "plans", 0),
            Platform.route(HOST, "/sheets/", "plans", 1)));
        platform.addNodes(3);
        Caller caller = new Caller(platform.nodes, platform.record);
        platform.awaitReady(caller, 30_000);
        Thread.sleep(3_000);

        String job = Json.write(Json.object("spec", "plan", "phases", List.of(
            platform.step(JOB, 0, 3, 4_000, 4_096, 12_000),
            platform.step(JOB, 1, 6, 2_000, 4_096, 1_000, "after", List.of(0L)))));
        Caller.Reply reply = caller.request("POST", HOST, "/plans/" + JOB, job);
        if (reply == null || reply.status() != 200) platform.couldNotRun("the job was not accepted");
        Thread.sleep(1_500);
        platform.configure(5, List.of(Platform.route(HOST, "/sheets/", "plans", 1)));
        Thread.sleep(2_000 + CONTACT_MILLIS);
        if (platform.trouble) {
            Node holder = platform.holder();
            holder.signal("TERM");
            if (!holder.awaitExit(6_000)) holder.signal("KILL");
            holder.start();
        }

        long limitMillis = Record.nowMillis() + 60_000;
        long idleSinceMillis = Record.nowMillis();
        boolean done = false;
        while (Record.nowMillis() < limitMillis && !done) {
            if (platform.units.running() > 0) idleSinceMillis = Record.nowMillis();
            if (Record.nowMillis() - idleSinceMillis > FINISH_MILLIS + CONTACT_MILLIS) break;
            done = true;
            for (int i = 0; i < 6; i++) done &= platform.units.isDone(JOB + ".0.1." + i);
            Thread.sleep(100);
        }
        List<String> broken = new ArrayList<>();
        for (int step = 0; step < 2; step++) {
            for (int i = 0; i < (step == 0 ? 3 : 6); i++) {
                String task = JOB + ".0." + step + "." + i;
                if (platform.units.isDone(task)) continue;
                broken.add(String.format("work unit %s was started %d times; nothing runs, and all 3 executors are"
                    + " free for %.1f s", task, platform.units.startsOf(task),
                    (Record.nowMillis() - idleSinceMillis) / 1000.0));
            }
        }
        platform.finish("LOST", broken);
    }
}
