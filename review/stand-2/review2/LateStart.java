// An executor carries one start out late and without an answer. It crashes in between and comes back under its id.

package review2;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

final class LateStart {
    private static final int JOBS = 10;
    private static final Work.Step STEP = new Work.Step(4, 1_000, 20_000, -1);
    private static final int WORKERS = 8;
    private static final long LATE_MILLIS = 9_500;
    private static final long DARK_MILLIS = 7_700;

    static int run(Record record, boolean trouble) throws Exception {
        Deployment site = new Deployment(record, 8);
        Work work = new Work(site, record);
        for (int i = 0; i < WORKERS; i++) work.addWorker("worker-" + i, "r1-" + (1 + i / 2));
        AtomicReference<String> late = new AtomicReference<>();
        AtomicReference<Worker> victim = new AtomicReference<>();
        CountDownLatch ordered = new CountDownLatch(1);
        for (Worker worker : site.workers) {
            worker.lateMillis = task -> {
                // Of 40 starts this one is carried out late.
                boolean chosen = trouble && task.startsWith("0000000000005006.") && late.compareAndSet(null, task);
                if (!chosen) return 0;
                victim.set(worker);
                ordered.countDown();
                return LATE_MILLIS;
            };
        }
        site.startNodes(3);
        if (!site.awaitReady(30_000)) return 2;
        Thread.sleep(5_000);
        for (int i = 0; i < JOBS; i++) if (!work.submit(String.format("%016x", 0x5000 + i), List.of(STEP), null)) return 2;
        if (trouble) {
            if (!ordered.await(10, TimeUnit.SECONDS)) return 2;
            Thread.sleep(200);
            // The executors of its rack crash.
            List<Worker> rack = site.workers.stream().filter(worker -> worker.rack.equals(victim.get().rack)).toList();
            for (Worker worker : rack) worker.crashSilently();
            record.line("the executors of rack %s crash and are silent", victim.get().rack);
            Thread.sleep(DARK_MILLIS);
            for (Worker worker : rack) worker.start();
            record.line("they are back under their ids");
            Thread.sleep(20_000);
        } else {
            Thread.sleep(28_000);
        }
        List<String> twice = Checks.overlapping(record);
        record.line("TWICE: work units that ran twice at the same time: %s", twice);
        return twice.isEmpty() ? 0 : 1;
    }
}
