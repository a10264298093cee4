// An executor is cut off just after it has begun a work unit. The work unit ends as done behind the cut, then the
// executor crashes there and starts again. The same happens to the next run of the work unit.

package review2;

import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

final class UnfoundedFailure {
    private static final int WORKERS = 8;
    private static final Work.Step STEP = new Work.Step(1, 1_000, 700, -1);
    private static final int CUTS = 2;
    private static final long CUT_AFTER_MILLIS = 200;
    private static final long CRASH_AFTER_MILLIS = 1_500;
    private static final long DOWN_MILLIS = 300;
    private static final long HEAL_AFTER_MILLIS = 1_000;

    static int run(Record record, boolean trouble) throws Exception {
        Deployment site = new Deployment(record, 8);
        Work work = new Work(site, record);
        for (int i = 0; i < WORKERS; i++) work.addWorker("worker-" + i, "r1-" + (1 + i / 4));
        String id = String.format("%016x", 0x6000);
        LinkedBlockingQueue<Worker> starts = new LinkedBlockingQueue<>();
        for (Worker worker : site.workers) {
            worker.onStart = (task, attempt, checkpoint) -> {
                if (task.startsWith(id + ".")) starts.add(worker);
            };
        }
        site.startNodes(3);
        if (!site.awaitReady(30_000)) return 2;
        Thread.sleep(3_000);
        if (!work.submit(id, List.of(STEP), null)) return 2;
        for (int i = 0; trouble && i < CUTS; i++) {
            Worker worker = starts.poll(20, TimeUnit.SECONDS);
            if (worker == null) {
                record.line("the work unit was not started again");
                break;
            }
            Thread.sleep(CUT_AFTER_MILLIS);
            worker.cutOff = true;
            record.line("%s is cut off and runs on", worker.id);
            Thread.sleep(CRASH_AFTER_MILLIS);
            worker.crashSilently();
            record.line("%s crashes behind the cut", worker.id);
            Thread.sleep(DOWN_MILLIS);
            worker.start();
            record.line("%s starts again under its id", worker.id);
            Thread.sleep(HEAL_AFTER_MILLIS);
            worker.cutOff = false;
            record.line("the cut is over");
        }
        Thread.sleep(8_000);
        long crashed = record.events.stream().filter(event -> event.how().equals("crashed")).count();
        long failed = record.events.stream().filter(event -> event.how().equals("failed")).count();
        Caller.Answer state = Caller.call(site.nodes.get(0).callerPort, "GET", Deployment.PREFIX + id, null, 3_000);
        record.line("runs that ended failed: %d; runs under which an executor crashed: %d; GET: %d %s",
            failed, crashed, state.status(), state.body());
        return state.body().contains("failed") && failed == 0 && crashed == 0 ? 1 : 0;
    }
}
