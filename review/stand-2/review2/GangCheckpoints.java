// Gangs that save their progress work on eight executors. One executor crashes, and the gangs that had members there
// are started again.

package review2;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

final class GangCheckpoints {
    private static final int JOBS = 3;
    private static final int WORKERS = 8;
    private static final Work.Step GANG = new Work.Step(8, 12_000, 8_000, -1, true);
    private static final long DOWN_MILLIS = 4_500;

    static int run(Record record, boolean trouble) throws Exception {
        Deployment site = new Deployment(record, 8);
        Work work = new Work(site, record);
        // The checkpoints with which the members were started, by the run of the gang.
        Map<String, Set<String>> checkpoints = new TreeMap<>();
        for (int i = 0; i < WORKERS; i++) {
            work.addWorker("worker-" + i, i < 4 ? "r1-1" : "r1-2");
            site.workers.get(i).onStart = (task, attempt, checkpoint) -> {
                synchronized (checkpoints) {
                    checkpoints.computeIfAbsent(Gangs.keyOf(task, attempt), key -> new TreeSet<>()).add(checkpoint);
                }
            };
        }
        site.startNodes(3);
        if (!site.awaitReady(30_000)) return 2;
        String[] ids = new String[JOBS];
        for (int i = 0; i < JOBS; i++) {
            ids[i] = String.format("%016x", 0x4000 + i);
            if (!work.submit(ids[i], List.of(GANG), null)) return 2;
        }
        Thread.sleep(4_000);
        if (trouble) {
            Worker victim = site.workers.stream().filter(worker -> worker.isRunning(ids[0])).findFirst().orElse(null);
            if (victim == null) {
                record.line("the first gang did not run in time");
                return 2;
            }
            record.line("%s crashes", victim.id);
            victim.crash();
            Thread.sleep(DOWN_MILLIS);
            victim.start();
            record.line("%s is back", victim.id);
        }
        for (String id : ids) {
            long end = record.now() + 30_000;
            String state = "";
            while (record.now() < end && !state.contains("completed") && !state.contains("failed")) {
                Thread.sleep(250);
                state = Caller.call(site.nodes.get(0).callerPort, "GET", Deployment.PREFIX + id, null, 3_000).body();
            }
            record.line("%s is shown as %s", id, state);
        }
        int broken = 0;
        synchronized (checkpoints) {
            for (Map.Entry<String, Set<String>> entry : checkpoints.entrySet()) {
                boolean differ = entry.getValue().size() > 1;
                record.line("gang %s: its members were started with the checkpoints %s", entry.getKey(), entry.getValue());
                if (differ) broken++;
            }
        }
        record.line("UNASKED: %d of %d starts of a gang with checkpoints that differ", broken, checkpoints.size());
        return broken > 0 ? 1 : 0;
    }
}
