// A plain HTTP/1.1 server with one thread for each open exchange. A handler that returns null never answers.

package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

final class Web {
    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "1000");
    }

    record Request(String method, String path, Map<String, String> query, String body, Headers headers) {}

    interface Headers {
        String get(String name);
    }

    record Answer(int status, Object body) {
        static Answer of(int status, Object... namesAndValues) {
            return new Answer(status, Json.object(namesAndValues));
        }
    }

    interface Handler {
        Answer handle(Request request) throws InterruptedException;
    }

    private final HttpServer server;

    /** Listens on a free port of [host]. */
    Web(String host, Handler handler) {
        try {
            server = HttpServer.create(new InetSocketAddress(host, 0), 512);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        server.setExecutor(Executors.newCachedThreadPool(action -> {
            Thread thread = new Thread(action);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> serve(exchange, handler));
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    private static void serve(HttpExchange exchange, Handler handler) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        if (text != null) {
            for (String pair : text.split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        Answer answer;
        try {
            Request request = new Request(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body,
                name -> exchange.getRequestHeaders().getFirst(name));
            answer = handler.handle(request);
        } catch (InterruptedException e) {
            return;
        } catch (RuntimeException e) {
            e.printStackTrace();
            answer = Answer.of(500);
        }
        if (answer == null) return;
        byte[] bytes = Json.write(answer.body()).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status(), bytes.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
        }
    }
}
