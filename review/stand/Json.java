// A small JSON reader and writer for the stand-ins. Objects are maps, arrays are lists, whole numbers are Long.

package review;

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
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> parseObject(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** Builds an object from alternating names and values. */
    static Map<String, Object> object(Object... namesAndValues) {
        Map<String, Object> result = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            result.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return result;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                writeText((String) entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            out.append('[');
            for (int i = 0; i < list.size(); i++) {
                if (i > 0) out.append(',');
                write(list.get(i), out);
            }
            out.append(']');
        } else if (value instanceof String s) {
            writeText(s, out);
        } else {
            out.append(value);
        }
    }

    private static void writeText(String s, StringBuilder out) {
        out.append('"');
        for (char c : s.toCharArray()) {
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < 0x20) out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        out.append('"');
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(at);
        if (c == '{') return map();
        if (c == '[') return list();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> number(word);
        };
    }

    private static Object number(String word) {
        if (word.indexOf('.') >= 0 || word.indexOf('e') >= 0 || word.indexOf('E') >= 0) return Double.valueOf(word);
        return Long.valueOf(word);
    }

    private Map<String, Object> map() {
        Map<String, Object> result = new LinkedHashMap<>();
        at++;
        skipSpace();
        while (text.charAt(at) != '}') {
            skipSpace();
            String name = string();
            skipSpace();
            at++;
            result.put(name, value());
            skipSpace();
            if (text.charAt(at) == ',') at++;
            skipSpace();
        }
        at++;
        return result;
    }

    private List<Object> list() {
        List<Object> result = new ArrayList<>();
        at++;
        skipSpace();
        while (text.charAt(at) != ']') {
            result.add(value());
            skipSpace();
            if (text.charAt(at) == ',') at++;
            skipSpace();
        }
        at++;
        return result;
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                char escaped = text.charAt(at++);
                switch (escaped) {
                    case 'n' -> result.append('\n');
                    case 't' -> result.append('\t');
                    case 'r' -> result.append('\r');
                    case 'b' -> result.append('\b');
                    case 'f' -> result.append('\f');
                    case 'u' -> {
                        result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                    }
                    default -> result.append(escaped);
                }
            } else {
                result.append(c);
            }
        }
        at++;
        return result.toString();
    }

    private void skipSpace() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }
}
