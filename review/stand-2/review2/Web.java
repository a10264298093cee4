// An HTTP server for the stand-ins. A handler that returns null leaves the request without an answer.

package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

final class Web {
    record Request(String method, String path, Map<String, String> query, String body, HttpExchange exchange) {
        String header(String name) {
            return exchange.getRequestHeaders().getFirst(name);
        }
    }

    record Answer(int status, String body) {}

    interface Handler {
        Answer handle(Request request) throws Exception;
    }

    /** All handlers run here; long polls block their thread. */
    private static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    final int port;
    private final Handler handler;
    private HttpServer server;

    Web(int port, Handler handler) {
        this.port = port;
        this.handler = handler;
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    synchronized void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 1024);
        server.setExecutor(THREADS);
        server.createContext("/", this::serve);
        server.start();
    }

    /** Closes all connections and stops listening. */
    synchronized void stop() {
        if (server != null) server.stop(0);
        server = null;
    }

    synchronized boolean isOpen() {
        return server != null;
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (InputStream in = exchange.getRequestBody()) {
            String body = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String part : raw.split("&")) {
                    int equals = part.indexOf('=');
                    query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
            Request request =
                new Request(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body, exchange);
            Answer answer = handler.handle(request);
            if (answer == null) return;
            byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status, bytes.length == 0 ? -1 : bytes.length);
            if (bytes.length > 0) exchange.getResponseBody().write(bytes);
            exchange.close();
        } catch (Exception e) {
            exchange.close();
            if (!(e instanceof IOException)) e.printStackTrace();
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
