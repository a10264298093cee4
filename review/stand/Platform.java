// What the cases have in common: the store, the list of machines, the operator, executors and nodes of a small
// installation, all on loopback, and the settings and bounds of the pages' sites.

package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

final class Platform {
    static final long HEARTBEAT_MILLIS = 1_500;

    /** A script runs for two minutes at most. */
    private static final long MAX_MILLIS = 115_000;

    final Record record;
    final WorkUnits units;
    final Store store = new Store(HEARTBEAT_MILLIS);
    final List<Executor> executors = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    final Map<String, Executor.Size> sizes = new java.util.concurrent.ConcurrentHashMap<>();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path folder;
    private final Path repository;
    private final Web cloud = new Web("127.0.0.1", this::machines);
    private final Web advice = new Web("127.0.0.1", request -> Web.Answer.of(200, "good", List.of()));

    Platform(Path recordFile, Path repository) {
        this.repository = repository;
        record = new Record(recordFile);
        units = new WorkUnits(record);
        try {
            folder = Files.createTempDirectory("gypsumturn-review");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
        Tasks.after(MAX_MILLIS, () -> couldNotRun("it took too long"));
    }

    private Web.Answer machines(Web.Request request) {
        if (!request.path().equals("/-/machines")) return Web.Answer.of(400, "reason", "busy");
        List<Object> list = new ArrayList<>();
        for (Executor executor : executors) {
            list.add(Json.object("machine", executor.machine, "pool", executor.service, "state", "up", "zone", "z1",
                "labels", executor.labels(), "capacity", executor.capacity(), "id", executor.id));
        }
        return Web.Answer.of(200, "machines", list, "next_token", null);
    }

    static Map<String, Object> route(String host, String prefix, String service, int priority) {
        return Json.object("name", "r-" + prefix.replace("/", ""), "host", host, "path_prefix", prefix,
            "kind", "unsafe", "timeout_ms", 3_000L, "target_duration_ms", 600L, "priority", (long) priority,
            "service", service, "max_attempts", 4L, "stretch", 1.6);
    }

    /** Puts a manifest in force, as the operator does. */
    void configure(long version, List<Map<String, Object>> routes) {
        List<Object> services = new ArrayList<>();
        executors.stream().map(executor -> executor.service).distinct().forEach(service ->
            services.add(Json.object("name", service, "health_path", "/health", "admission_check", true)));
        record.add("manifest %d acknowledged, routes %s", version,
            routes.stream().map(route -> (String) route.get("path_prefix")).toList());
        store.put("op", "config", Json.object("version", version, "routes", routes, "services", services,
            "limits", Json.object("max_body_bytes", 262_144L)));
    }

    void addExecutors(String service, int count) {
        for (int i = 0; i < count; i++) {
            int number = executors.size();
            Executor executor = new Executor(String.format("i-%s%d", service, number), "m-" + number, service,
                "r1-" + number / 4, store, units, record, sizes);
            executors.add(executor);
            executor.register(100 + 1_400L * i / count, HEARTBEAT_MILLIS);
        }
    }

    void addNodes(int count) {
        Map<String, String> platform = new HashMap<>();
        platform.put("platform.address", store.address());
        platform.put("cloud.address", cloud.address());
        platform.put("advice", advice.address());
        platform.put("bounds.max_hold_ms", "" + Executor.MAX_HOLD_MILLIS);
        platform.put("bounds.stop_ms", "200");
        platform.put("bounds.gang_timeout_ms", "3000");
        platform.put("bounds.early_ms", "250");
        platform.put("bounds.lease_ms", "3000");
        platform.put("bounds.notice_ms", "4500");
        platform.put("bounds.remote_factor", "2");
        platform.put("bounds.migrate_s", "1.5");
        platform.put("bounds.maintenance_s", "2");
        platform.put("bounds.grace_s", "6");
        platform.put("bounds.status_s", "120");
        for (int i = 0; i < count; i++) nodes.add(new Node("front-" + (i + 1), repository, folder, record, platform));
        nodes.forEach(Node::start);
    }

    /** Waits until every node reports that it is ready, and one of them acts. */
    void awaitReady(Caller caller, long millis) throws InterruptedException {
        long until = Record.nowMillis() + millis;
        while (Record.nowMillis() < until) {
            boolean ready = holder() != null;
            for (Node node : nodes) ready &= isReady(node);
            if (ready) return;
            Thread.sleep(100);
        }
        couldNotRun("the nodes were not ready in time");
    }

    /** Whether [node] answers the check of the balancer with 200. */
    static boolean isReady(Node node) {
        try {
            java.net.URL url = new java.net.URL("http://" + node.ready + "/-/ready");
            java.net.HttpURLConnection connection = (java.net.HttpURLConnection) url.openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** The node that last wrote the lease under a condition; null before the first. */
    Node holder() {
        Map<String, Object> owner = store.get("lease", "control", "owner");
        if (owner == null) return null;
        return nodes.stream().filter(node -> node.name.equals(owner.get("node"))).findFirst().orElse(null);
    }

    /** A step of a job, with the length of its work units in [sizes]. */
    Map<String, Object> step(String job, int index, long count, long cpu, long memMb, long millis,
        Object... namesAndValues) {
        sizes.put(job + "." + index, new Executor.Size(cpu, memMb, millis));
        Map<String, Object> step = new LinkedHashMap<>(
            Json.object("count", count, "cpu", cpu, "mem_mb", memMb, "estimate_ms", millis));
        step.putAll(Json.object(namesAndValues));
        return step;
    }

    private void stop() {
        nodes.forEach(Node::destroy);
        try (var files = Files.walk(folder)) {
            if (System.getenv("KEEP_LOGS") != null) return;
            files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The temporary folder stays behind.
        }
    }

    void couldNotRun(String why) {
        record.add("COULD NOT RUN: %s", why);
        System.out.println("could not run: " + why);
        System.exit(2);
    }

    /** Ends the case: with 10 if [broken] says how the rule was broken, otherwise with 0. */
    void finish(String rule, List<String> broken) {
        for (String line : broken) record.add("%s BROKEN: %s", rule, line);
        record.add("%s", broken.isEmpty() ? rule + " HELD" : rule + " BROKEN " + broken.size() + " times");
        System.out.println(broken.isEmpty() ? rule + " held" : rule + " broken: " + broken.get(0));
        System.exit(broken.isEmpty() ? 0 : 10);
    }
}
