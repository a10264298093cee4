// One process of the system, started with the command of the deploy file. Its settings are the deploy file's template,
// filled as DEPLOY.md tells. Only the path of the settings differs, since /etc belongs to the machine.

package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

final class Node {
    /** Variables of the caller that a process gets, as DEPLOY.md tells. */
    private static final Set<String> PASSED_VARIABLES = Set.of("PATH", "HOME", "JAVA_HOME", "LANG");
    private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)}}");
    final String name;
    final String caller;
    final String ready;
    private final Path repository;
    private final Path folder;
    private final Record record;
    private Process process;

    Node(String name, Path repository, Path folder, Record record, Map<String, String> platform) {
        this.name = name;
        this.repository = repository;
        this.folder = folder;
        this.record = record;
        caller = "127.0.0.1:" + freePort();
        ready = "127.0.0.1:" + freePort();
        Map<String, String> values = new HashMap<>(platform);
        values.put("node", name);
        values.put("zone", "z1");
        values.put("ip", "127.0.0.1");
        values.put("port_range.0", "" + freePort());
        values.put("port_range.1", "" + freePort());
        values.put("limits.cpu_share", "0.75");
        values.put("listen.front", caller);
        values.put("listen.ready", ready);
        values.put("control_mode", "rpc");
        try {
            String template = Files.readString(repository.resolve("deploy/node.ini"));
            Matcher matcher = PLACEHOLDER.matcher(template);
            StringBuilder text = new StringBuilder();
            while (matcher.find()) {
                String value = values.get(matcher.group(1));
                if (value == null) throw new IllegalStateException("no value for " + matcher.group(1));
                matcher.appendReplacement(text, Matcher.quoteReplacement(value));
            }
            matcher.appendTail(text);
            Files.writeString(settings(), text.toString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Path settings() {
        return folder.resolve(name + ".ini");
    }

    /** A free port below those that the system gives to outgoing connections, which could take it meanwhile. */
    private static int freePort() {
        for (int attempt = 0; attempt < 1_000; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 30_000);
            if (!TAKEN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // Another program has this port.
            }
        }
        throw new IllegalStateException("no free port");
    }

    void start() {
        try {
            String run = null;
            for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
                if (line.startsWith("run = ")) run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
            List<String> command = new ArrayList<>(List.of(run.split(" +")));
            command.set(command.size() - 1, settings().toString());
            ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
            builder.environment().keySet().retainAll(PASSED_VARIABLES);
            builder.environment().put("GYPSUMTURN_BOOT", settings().toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            record.add("node %s started, process %d", name, process.pid());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends [signal], as kill(1) names it, to the process. */
    void signal(String signal) throws InterruptedException {
        record.add("node %s gets SIG%s", name, signal);
        try {
            new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    boolean awaitExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Ends the process at the end of the case. */
    void destroy() {
        if (process != null) process.destroyForcibly();
    }
}
