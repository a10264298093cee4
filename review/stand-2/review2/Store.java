// The platform's store: rows with versions, atomic transactions, reads of pages and a feed of changes, with the limits
// that the settings name. A rule set by the case decides how a write is treated.

package review2;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

final class Store {
    static final int ROW_BYTES = 65_536;
    static final int MAX_PAGE_ROWS = 500;
    static final int MAX_BYTES = 1_000_000;

    /** How a transaction is treated: performed this much later than usual, and answered or not. */
    record Treatment(long delayMillis, boolean answered) {}

    private record Row(long version, String value) {}

    final Web web;
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private long version;

    /** Chooses the treatment of a transaction from its body. */
    volatile Function<String, Treatment> treatment = body -> new Treatment(0, true);

    /** Is told of each transaction that the store refuses because of a limit. */
    volatile java.util.function.Consumer<String> onRefused = why -> {};

    /** Is told of each row that the system has written: table and key. */
    volatile java.util.function.BiConsumer<String, String> onWritten = (table, key) -> {};

    private final long txnMillis;
    private long historyStart;
    private boolean silent;

    /** Calls that concern one of these parts are refused with 503. */
    volatile java.util.Set<String> partsDown = java.util.Set.of();

    /**
     * Discards the history of changes, as the bench does it: feeds hear nothing for a second while changes are made, then
     * those that go on from before are answered with 410.
     */
    synchronized void forgetHistory() throws InterruptedException {
        long end = steadyMillis() + 1_000;
        silent = true;
        while (steadyMillis() < end) wait(end - steadyMillis());
        silent = false;
        historyStart = version;
        notifyAll();
    }

    Store(long txnMillis) throws Exception {
        this.txnMillis = txnMillis;
        web = new Web(Web.freePort(), this::handle);
        web.start();
    }

    static long steadyMillis() {
        return System.nanoTime() / 1_000_000;
    }

    private static String keyOf(String table, String part, String key) {
        return table + "\u0001" + part + "\u0001" + key;
    }

    /** Writes a row as the operator or the platform does; null removes it. */
    synchronized void put(String table, String key, Object value) {
        version++;
        String text = value == null ? null : Base64.getEncoder().encodeToString(Json.write(value).getBytes());
        rows.put(keyOf(table, "", key), new Row(version, text));
        notifyAll();
    }

    private Web.Answer handle(Web.Request request) throws Exception {
        switch (request.path()) {
            case "/-/rows-tx" -> {
                if (isDown(partOf(Json.object(request.body())))) return new Web.Answer(503, "");
                Treatment how = treatment.apply(request.body());
                if (how == null) return new Web.Answer(503, "");
                Thread.sleep(txnMillis + how.delayMillis);
                Web.Answer answer = transact(Json.object(request.body()));
                return how.answered ? answer : null;
            }
            case "/-/rows-get" -> {
                if (isDown(request.query().getOrDefault("part", ""))) return new Web.Answer(503, "");
                Thread.sleep(1);
                return read(request.query());
            }
            case "/-/rows-feed" -> {
                return feed(request.query());
            }
            default -> {
                return new Web.Answer(404, "{}");
            }
        }
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> list(Map<String, Object> body, String name) {
        Object value = body.get(name);
        return value == null ? List.of() : (List<Map<String, Object>>) value;
    }

    private static String keyOf(Map<String, Object> row) {
        Object part = row.get("part");
        return keyOf((String) row.get("table"), part == null ? "" : (String) part, (String) row.get("key"));
    }

    private boolean isDown(String part) {
        return partsDown.contains(part);
    }

    /** All entries of a transaction are in one part. */
    private static String partOf(Map<String, Object> body) {
        for (String name : List.of("expected", "writes", "remove")) {
            for (Map<String, Object> row : list(body, name)) return row.get("part") == null ? "" : (String) row.get("part");
        }
        return "";
    }

    private Web.Answer refuse(String why) {
        onRefused.accept(why);
        return new Web.Answer(400, Json.write(Json.map("error", why)));
    }

    private synchronized Web.Answer transact(Map<String, Object> body) {
        List<Map<String, Object>> expected = list(body, "expected");
        List<Map<String, Object>> writes = list(body, "writes");
        List<Map<String, Object>> removed = list(body, "remove");
        if (expected.size() + writes.size() + removed.size() > 100) return refuse("more than 100 entries");
        long bytes = 0;
        for (Map<String, Object> write : writes) {
            int size = Base64.getDecoder().decode((String) write.get("value")).length;
            bytes += size;
            if (size > ROW_BYTES) return refuse("a value of " + size + " bytes in table " + write.get("table"));
        }
        if (bytes > MAX_BYTES) return refuse("more than 1 MB");
        List<Object> conflicts = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> condition : expected) {
            Row row = rows.get(keyOf(condition));
            long present = row == null || row.value == null ? 0 : row.version;
            if (present != Json.number(condition.get("schema_version"), 0)) holds = false;
            if (present != 0) conflicts.add(rowJson(keyOf(condition)));
        }
        if (!holds) return new Web.Answer(412, Json.write(answerBody(conflicts, false, version)));
        version++;
        for (Map<String, Object> write : writes) rows.put(keyOf(write), new Row(version, (String) write.get("value")));
        for (Map<String, Object> row : removed) rows.put(keyOf(row), new Row(version, null));
        for (Map<String, Object> write : writes) onWritten.accept((String) write.get("table"), (String) write.get("key"));
        notifyAll();
        return new Web.Answer(200, Json.write(answerBody(List.of(), false, version)));
    }

    private synchronized Web.Answer read(Map<String, String> query) {
        String prefix = keyOf(query.get("table"), query.getOrDefault("part", ""), "");
        int limit = Math.min(MAX_PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
        List<Object> found = new ArrayList<>();
        boolean more = false;
        int bytes = 0;
        for (String key : rows.tailMap(prefix + query.getOrDefault("from", "")).keySet()) {
            if (!key.startsWith(prefix)) break;
            Row row = rows.get(key);
            if (row.value == null) continue;
            if (found.size() == limit || (bytes > 0 && bytes + row.value.length() > MAX_BYTES)) {
                more = true;
                break;
            }
            bytes += row.value.length();
            found.add(rowJson(key));
        }
        return new Web.Answer(200, Json.write(answerBody(found, more, version)));
    }

    private synchronized Web.Answer feed(Map<String, String> query) throws InterruptedException {
        String prefix = query.get("table") + "\u0001";
        long after = Long.parseLong(query.get("after"));
        long end = steadyMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            if (silent) {
                wait();
                continue;
            }
            if (after < historyStart) return new Web.Answer(410, "");
            long from = after;
            List<Object> found = rows.tailMap(prefix).entrySet().stream()
                .takeWhile(entry -> entry.getKey().startsWith(prefix))
                .filter(entry -> entry.getValue().version > from)
                .sorted((a, b) -> Long.compare(a.getValue().version, b.getValue().version))
                .map(entry -> (Object) rowJson(entry.getKey()))
                .toList();
            long left = end - steadyMillis();
            if (!found.isEmpty() || left <= 0) return new Web.Answer(200, Json.write(answerBody(found, false, version)));
            wait(left);
        }
    }

    private Map<String, Object> rowJson(String key) {
        String[] parts = key.split("\u0001", -1);
        Row row = rows.get(key);
        Map<String, Object> json =
            Json.map("table", parts[0], "part", parts[1], "key", parts[2], "schema_version", row.version);
        if (row.value == null) json.put("deleted", true);
        else json.put("value", row.value);
        return json;
    }

    private static Map<String, Object> answerBody(List<Object> rows, boolean more, long version) {
        return Json.map("rows", rows, "has_more", more, "schema_version", version, "now_ms", steadyMillis());
    }

    /** The content of a row of the system, or null. */
    synchronized String value(String table, String part, String key) {
        Row row = rows.get(keyOf(table, part, key));
        return row == null || row.value == null ? null : new String(Base64.getDecoder().decode(row.value));
    }
}
