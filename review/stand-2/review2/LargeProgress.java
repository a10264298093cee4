// A job of many work units in ten steps, beside quick jobs. Without the disruption the same work units come in ten jobs.

package review2;

import java.util.Collections;
import java.util.List;

final class LargeProgress {
    private static final int STEPS = 10;
    private static final Work.Step STEP = new Work.Step(2_000, 640, 600, -1);

    static int run(Record record, boolean trouble) throws Exception {
        Deployment site = new Deployment(record, 8);
        Work work = new Work(site, record);
        for (int i = 0; i < 6; i++) work.addWorker("worker-" + i, i < 4 ? "r1-1" : "r1-2");
        int[] refused = {0};
        site.store.onRefused = why -> {
            if (refused[0]++ == 0) record.line("the store refuses a transaction: %s", why);
        };
        site.startNodes(3);
        if (!site.awaitReady(30_000)) return 2;
        record.unlistedJob = "00000000000000a";
        if (trouble) {
            work.submit("00000000000000aa", Collections.nCopies(STEPS, STEP), null);
        } else {
            for (int i = 0; i < STEPS; i++) work.submit(String.format("00000000000000a%x", i), List.of(STEP), null);
        }
        long begin = record.now();
        for (int i = 1; record.now() - begin < 60_000; i++) {
            work.submit(String.format("%016x", 0x1000 + i), Work.QUICK, null);
            Thread.sleep(2_000);
            record.line("%d work units run, %d runs have ended done; %d transactions were refused", work.running(),
                site.workers.stream().mapToLong(worker -> worker.done.get()).sum(), refused[0]);
        }
        record.line("end of the traffic");
        Thread.sleep(14_000);
        int lost = work.countLost();
        record.line("LOST is broken for %d jobs", lost);
        return lost > 0 ? 1 : 0;
    }
}
