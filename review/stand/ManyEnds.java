// The platform's store is down for some seconds while many short work units end on each executor.

package review;

import java.util.ArrayList;
import java.util.List;

final class ManyEnds {
    private static final String HOST = "print.example";
    private static final long DOWN_MILLIS = 4_200;
    private static final int JOBS = 16;
    private static final int WIDTH = 150;
    private static final long CPU = 250;
    private static final long MEM_MB = 256;
    private static final long WORK_MILLIS = 400;

    static void run(Platform platform) throws InterruptedException {
        platform.addExecutors("plans", 2);
        platform.configure(2, List.of(Platform.route(HOST, "/plans/", "plans", 0)));
        platform.addNodes(3);
        Caller caller = new Caller(platform.nodes, platform.record);
        platform.awaitReady(caller, 30_000);
        Thread.sleep(3_000);

        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("5c0e7a21d94b36%02x", i);
            jobs.add(id);
            String job = Json.write(Json.object("spec", "plan",
                "phases", List.of(platform.step(id, 0, WIDTH, CPU, MEM_MB, WORK_MILLIS))));
            Caller.Reply reply = caller.request("POST", HOST, "/plans/" + id, job);
            if (reply == null || reply.status() != 200) platform.couldNotRun("a job was not accepted");
        }
        Thread.sleep(1_000);
        if (platform.trouble) {
            platform.record.add("the store goes down");
            platform.store.setSilent(true);
            Thread.sleep(DOWN_MILLIS);
            platform.store.setSilent(false);
            platform.record.add("the store is back");
        }
        long untilMillis = Record.nowMillis() + 40_000;
        while (Record.nowMillis() < untilMillis) {
            boolean done = true;
            for (String id : jobs) {
                for (int i = 0; i < WIDTH; i++) done &= platform.units.isDone(id + ".0.0." + i);
            }
            if (done) break;
            Thread.sleep(100);
        }
        Thread.sleep(3_000);
        platform.finish("TWICE", platform.units.runsTwice());
    }
}
