// The platform's store is down for some seconds, and the executors' entries lapse meanwhile.

package review;

import java.util.ArrayList;
import java.util.List;

final class LapsedEntries {
    private static final String HOST = "print.example";
    private static final long DOWN_MILLIS = 4_200;
    private static final int EXECUTORS = 24;
    private static final int NODES = 8;
    private static final int OUTAGES = 4;
    private static final int JOBS = 3;
    private static final int WIDTH = 6;

    static void run(Platform platform) throws InterruptedException {
        platform.addExecutors("plans", EXECUTORS);
        platform.configure(2, List.of(Platform.route(HOST, "/plans/", "plans", 0)));
        platform.addNodes(NODES);
        Caller caller = new Caller(platform.nodes, platform.record);
        platform.awaitReady(caller, 30_000);
        Thread.sleep(3_000);

        for (int outage = 0; outage < OUTAGES; outage++) {
            List<String> jobs = new ArrayList<>();
            for (int i = 0; i < JOBS; i++) {
                String id = String.format("5c0e7a21d94b%02x%02x", outage, i);
                jobs.add(id);
                String job = Json.write(Json.object("spec", "plan",
                    "phases", List.of(platform.step(id, 0, WIDTH, 12_000, 8_192, 10_000))));
                Caller.Reply reply = caller.request("POST", HOST, "/plans/" + id, job);
                if (reply == null || reply.status() != 200) platform.couldNotRun("a job was not accepted");
            }
            Thread.sleep(2_000);
            if (platform.trouble) {
                platform.record.add("the store goes down");
                platform.store.setSilent(true);
                Thread.sleep(DOWN_MILLIS);
                platform.store.setSilent(false);
                platform.record.add("the store is back");
            }
            long untilMillis = Record.nowMillis() + 13_000;
            while (Record.nowMillis() < untilMillis) {
                boolean done = true;
                for (String id : jobs) {
                    for (int i = 0; i < WIDTH; i++) done &= platform.units.isDone(id + ".0.0." + i);
                }
                if (done) break;
                Thread.sleep(100);
            }
            if (!platform.units.runsTwice().isEmpty()) break;
        }
        platform.finish("TWICE", platform.units.runsTwice());
    }
}
