// Stand-in for the platform's metadata store: tables of rows, atomic transactions, reads and a feed of changes. It also
// keeps the executors' entries, which it removes after three missed liveness reports.

package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

final class Store {
    static final long CALL_MILLIS = 4;
    static final long TXN_MILLIS = 8;
    private static final int MAX_ROWS = 500;

    private record Key(String table, String part, String key) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int byTable = table.compareTo(other.table);
            int byPart = byTable != 0 ? byTable : part.compareTo(other.part);
            return byPart != 0 ? byPart : key.compareTo(other.key);
        }
    }

    private record Row(long version, String value) {}

    private final TreeMap<Key, Row> rows = new TreeMap<>();
    private final Map<String, Long> beatMillis = new TreeMap<>();
    private final long beatIntervalMillis;
    private final Web web;
    private long version;

    /** While set, calls are neither carried out nor answered, and no liveness report arrives. */
    private volatile boolean silent;

    Store(long beatIntervalMillis) {
        this.beatIntervalMillis = beatIntervalMillis;
        web = new Web("127.0.0.1", this::handle);
        Tasks.every(100, this::removeSilentExecutors);
    }

    String address() {
        return web.address();
    }

    void setSilent(boolean silent) {
        this.silent = silent;
    }

    /** Writes a row as the operator or the platform does. */
    synchronized void put(String table, String key, Object value) {
        String text = Json.write(value);
        Row present = rows.get(new Key(table, "", key));
        String encoded = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        if (present != null && encoded.equals(present.value)) return;
        rows.put(new Key(table, "", key), new Row(++version, encoded));
        notifyAll();
    }

    /** The decoded value of a row, or null. */
    synchronized Map<String, Object> get(String table, String part, String key) {
        Row row = rows.get(new Key(table, part, key));
        return row == null || row.value == null ? null : Json.parseObject(decode(row.value));
    }

    private static String decode(String value) {
        return new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
    }

    /** A liveness report of an executor. Returns whether it arrived. */
    synchronized boolean beat(String id, Object entry) {
        if (silent) return false;
        beatMillis.put(id, Record.nowMillis());
        put("servers", id, entry);
        return true;
    }

    synchronized void leave(String id) {
        beatMillis.remove(id);
        rows.put(new Key("servers", "", id), new Row(++version, null));
        notifyAll();
    }

    private synchronized void removeSilentExecutors() {
        long now = Record.nowMillis();
        for (String id : new ArrayList<>(beatMillis.keySet())) {
            if (now - beatMillis.get(id) > 3 * beatIntervalMillis) leave(id);
        }
    }

    private Web.Answer handle(Web.Request request) throws InterruptedException {
        if (silent) return null;
        Web.Answer answer = switch (request.path()) {
            case "/-/rows-tx" -> transactAfterDelay(Json.parseObject(request.body()));
            case "/-/rows-get" -> get(request.query());
            case "/-/rows-feed" -> feed(request.query());
            default -> Web.Answer.of(404);
        };
        // What was asked before an outage is not answered during it.
        return silent ? null : answer;
    }

    private Web.Answer transactAfterDelay(Map<String, Object> call) throws InterruptedException {
        Thread.sleep(CALL_MILLIS + TXN_MILLIS);
        return silent ? null : transact(call);
    }

    private static List<Map<String, Object>> rowsOf(Map<String, Object> call, String field) {
        List<Map<String, Object>> result = new ArrayList<>();
        Object list = call.get(field);
        if (list == null) return result;
        for (Object row : (List<?>) list) {
            @SuppressWarnings("unchecked")
            Map<String, Object> map = (Map<String, Object>) row;
            result.add(map);
        }
        return result;
    }

    private static Key keyOf(Map<String, Object> row) {
        Object part = row.get("part");
        return new Key((String) row.get("table"), part == null ? "" : (String) part, (String) row.get("key"));
    }

    private synchronized Web.Answer transact(Map<String, Object> call) {
        List<Map<String, Object>> expected = rowsOf(call, "expected");
        boolean holds = true;
        for (Map<String, Object> condition : expected) {
            Row row = rows.get(keyOf(condition));
            long present = row == null || row.value == null ? 0 : row.version;
            holds &= present == ((Number) condition.get("schema_version")).longValue();
        }
        if (!holds) {
            List<Object> current = new ArrayList<>();
            for (Map<String, Object> condition : expected) {
                Row row = rows.get(keyOf(condition));
                if (row != null && row.value != null) current.add(wire(keyOf(condition), row));
            }
            return Web.Answer.of(412, "rows", current, "schema_version", version, "now_ms", Record.nowMillis());
        }
        List<Map<String, Object>> writes = rowsOf(call, "writes");
        if (writes.stream().map(Store::keyOf).anyMatch(key -> key.table.equals("op") || key.table.equals("servers"))) {
            return Web.Answer.of(403);
        }
        version++;
        for (Map<String, Object> row : writes) rows.put(keyOf(row), new Row(version, (String) row.get("value")));
        for (Map<String, Object> row : rowsOf(call, "remove")) rows.put(keyOf(row), new Row(version, null));
        notifyAll();
        return Web.Answer.of(200, "schema_version", version, "now_ms", Record.nowMillis());
    }

    private static Map<String, Object> wire(Key key, Row row) {
        Map<String, Object> result = Json.object("table", key.table, "part", key.part, "key", key.key,
            "schema_version", row.version);
        if (row.value == null) result.put("deleted", true);
        else result.put("value", row.value);
        return result;
    }

    private Web.Answer get(Map<String, String> query) throws InterruptedException {
        Thread.sleep(CALL_MILLIS);
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + MAX_ROWS)));
        synchronized (this) {
            List<Object> found = new ArrayList<>();
            boolean more = false;
            for (Map.Entry<Key, Row> entry : rows.entrySet()) {
                Key key = entry.getKey();
                boolean matches = key.table.equals(query.get("table"))
                    && key.part.equals(query.getOrDefault("part", ""))
                    && key.key.compareTo(query.getOrDefault("from", "")) >= 0
                    && (!query.containsKey("to") || key.key.compareTo(query.get("to")) < 0);
                if (!matches || entry.getValue().value == null) continue;
                if (found.size() == limit) {
                    more = true;
                    break;
                }
                found.add(wire(key, entry.getValue()));
            }
            return Web.Answer.of(200, "rows", found, "has_more", more, "schema_version", version,
                "now_ms", Record.nowMillis());
        }
    }

    private synchronized Web.Answer feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = Record.nowMillis() + Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
        while (true) {
            List<Map.Entry<Key, Row>> changed = new ArrayList<>();
            for (Map.Entry<Key, Row> entry : rows.entrySet()) {
                if (entry.getKey().table.equals(query.get("table")) && entry.getValue().version > after) {
                    changed.add(entry);
                }
            }
            long left = until - Record.nowMillis();
            if (!changed.isEmpty() || left <= 0) {
                changed.sort((a, b) -> Long.compare(a.getValue().version, b.getValue().version));
                List<Object> found = new ArrayList<>();
                for (Map.Entry<Key, Row> entry : changed) found.add(wire(entry.getKey(), entry.getValue()));
                return Web.Answer.of(200, "rows", found, "schema_version", version, "now_ms", Record.nowMillis());
            }
            wait(left);
        }
    }
}
