// One process of the system, started with the command and the settings template of the deploy file.

package review2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

final class Node {
    final String name;
    final int callerPort;
    private final List<String> command;
    private final Path log;
    private Process process;

    Node(String name, Path directory, String storeAddress, String machinesAddress, Map<String, String> bounds) throws Exception {
        this.name = name;
        callerPort = Web.freePort();
        int readyPort = Web.freePort();
        int peerPort = Web.freePort();
        int metricsPort = Web.freePort();
        Map<String, String> values = Map.ofEntries(
            Map.entry("node", name), Map.entry("zone", "zone-a"), Map.entry("ip", "127.0.0.1"),
            Map.entry("port_range.0", "" + peerPort), Map.entry("port_range.1", "" + metricsPort),
            Map.entry("limits.cpu_share", "0.75"),
            Map.entry("listen.front", "127.0.0.1:" + callerPort), Map.entry("listen.ready", "127.0.0.1:" + readyPort),
            Map.entry("platform.address", storeAddress), Map.entry("cloud.address", machinesAddress),
            Map.entry("advice", ""), Map.entry("control_mode", "rpc"),
            Map.entry("bounds.max_hold_ms", "6000"), Map.entry("bounds.stop_ms", "900"),
            Map.entry("bounds.gang_timeout_ms", "3000"), Map.entry("bounds.early_ms", "250"),
            Map.entry("bounds.lease_ms", "3000"), Map.entry("bounds.notice_ms", "4500"),
            Map.entry("bounds.remote_factor", "2"), Map.entry("bounds.migrate_s", "1.5"),
            Map.entry("bounds.maintenance_s", "2"), Map.entry("bounds.grace_s", "6"),
            Map.entry("bounds.status_s", "120")
        );
        String template = Files.readString(Path.of("deploy/node.ini"));
        // The sections of the template ask for a bound that this deployment does not have.
        String text = template.replaceAll("\\{\\{#([a-z_.]+)}}.*?\\{\\{/\\1}}", "")
            .replaceAll("\\{\\{\\^([a-z_.]+)}}(.*?)\\{\\{/\\1}}", "$2");
        Matcher matcher = Pattern.compile("\\{\\{([a-z_.0-9]+)}}").matcher(text);
        String settings = matcher.replaceAll(found -> {
            String value = bounds.getOrDefault(found.group(1), values.get(found.group(1)));
            if (value == null) throw new IllegalStateException("no value for " + found.group(1));
            return Matcher.quoteReplacement(value);
        });
        Path file = directory.resolve(name + ".ini");
        Files.writeString(file, settings);
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IllegalStateException("deploy/system.toml has no command");
        command = new ArrayList<>(List.of(run.group(1).split(" ")));
        command.replaceAll(word -> word.equals("/etc/gypsumturn/local.yaml") ? file.toString() : word);
        log = directory.resolve(name + ".log");
    }

    synchronized void start() throws Exception {
        process = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
    }

    synchronized void kill() {
        if (process != null) process.destroyForcibly().onExit().join();
    }
}
