// A small JSON reader and writer. Objects become maps, arrays become lists, whole numbers become Long.

package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.skipSpace();
        if (json.at != text.length()) throw new IllegalArgumentException("text after the JSON value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** A map of alternating keys and values. */
    static Map<String, Object> map(Object... keysAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) map.put((String) keysAndValues[i], keysAndValues[i + 1]);
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    static long number(Object value, long otherwise) {
        return value instanceof Number n ? n.longValue() : otherwise;
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            char separator = '{';
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ',';
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            char separator = '[';
            for (Object item : list) {
                out.append(separator);
                write(item, out);
                separator = ',';
            }
            out.append(list.isEmpty() ? "[]" : "]");
        } else if (value instanceof String string) {
            out.append('"');
            for (int i = 0; i < string.length(); i++) {
                char c = string.charAt(i);
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private void skipSpace() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }

    private char next() {
        skipSpace();
        if (at >= text.length()) throw new IllegalArgumentException("the JSON text ends early");
        return text.charAt(at);
    }

    private Object value() {
        char c = next();
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            if (next() == '}') {
                at++;
                return map;
            }
            while (true) {
                next();
                String key = string();
                expect(':');
                map.put(key, value());
                if (next() == ',') at++;
                else break;
            }
            expect('}');
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            if (next() == ']') {
                at++;
                return list;
            }
            while (true) {
                list.add(value());
                if (next() == ',') at++;
                else break;
            }
            expect(']');
            return list;
        }
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        };
    }

    private void expect(char wanted) {
        if (next() != wanted) throw new IllegalArgumentException("'" + wanted + "' is missing at " + at);
        at++;
    }

    private String string() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (true) {
            char c = text.charAt(at++);
            if (c == '"') return out.toString();
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
    }
}
