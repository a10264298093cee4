// A small deployment on loopback: the store, the list of machines, executors of one service, and some nodes.

package review2;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

final class Deployment {
    static final String PREFIX = "/jobs/";
    static final String SERVICE = "quoting";

    final Path directory = Files.createTempDirectory("review-2-");
    final Store store;
    final Record record;
    final List<Worker> workers = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    private final Web machines;

    /** Settings that differ from those in {@link Node}, by the names of the settings file. */
    final Map<String, String> bounds = new HashMap<>();

    Deployment(Record record, long txnMillis) throws Exception {
        this.record = record;
        store = new Store(txnMillis);
        machines = new Web(Web.freePort(), this::listMachines);
        machines.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
        store.put("op", "config", Json.map(
            "version", 3L,
            "routes", List.of(Json.map(
                "host", Caller.HOST, "path_prefix", PREFIX, "service", SERVICE, "timeout_ms", 3_000L,
                "target_duration_ms", 600L, "priority", 0L, "max_attempts", 3L, "stretch", 1.6
            )),
            "services", List.of(Json.map("name", SERVICE, "health_path", "/health", "admission_check", true)),
            "limits", Json.map("max_body_bytes", 262_144L)
        ));
    }

    void startNodes(int count) throws Exception {
        for (int i = 1; i <= count; i++) {
            Node node = new Node("front-" + i, directory, store.web.address(), machines.address(), bounds);
            nodes.add(node);
            node.start();
        }
    }

    /** Waits until each node serves callers and one of them schedules. Returns whether that came about in time. */
    boolean awaitReady(long millis) throws InterruptedException {
        long end = Store.steadyMillis() + millis;
        for (Node node : nodes) {
            while (Caller.call(node.callerPort, "GET", PREFIX, null, 1_000).status() != 200) {
                if (Store.steadyMillis() > end) return false;
                Thread.sleep(100);
            }
        }
        return true;
    }

    /** The node that holds the control lease, or null. */
    Node holder() {
        String owner = store.value("lease", "control", "owner");
        if (owner == null) return null;
        Object name = Json.object(owner).get("node");
        return nodes.stream().filter(node -> node.name.equals(name)).findFirst().orElse(null);
    }

    private Web.Answer listMachines(Web.Request request) {
        if (!request.path().equals("/-/machines")) return new Web.Answer(409, "{\"reason\":\"busy\"}");
        List<Object> list = new ArrayList<>();
        for (Worker worker : workers) {
            Map<String, Object> machine = Json.map(
                "machine", "m-" + worker.id, "pool", worker.service, "state", worker.isUp() ? "up" : "down",
                "zone", "zone-a", "labels", List.of("a", worker.rack), "capacity", worker.capacity()
            );
            if (worker.isUp()) machine.put("id", worker.id);
            list.add(machine);
        }
        return new Web.Answer(200, Json.write(Json.map("machines", list)));
    }

    /** Ends the nodes, and removes their settings and logs unless KEEP_LOGS is set. */
    private void stop() {
        nodes.forEach(Node::kill);
        if (System.getenv("KEEP_LOGS") != null) return;
        File[] files = directory.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        directory.toFile().delete();
    }
}
