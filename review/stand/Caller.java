// A requester. It hands jobs in and asks for their states; after no answer, a 502 or a 504 it asks the next node again.

package review;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

final class Caller {
    static {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private static final long TIME_BUDGET_MILLIS = 3_000;
    private final HttpClient client =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();
    private final List<Node> nodes;
    private final Record record;
    private int next;

    Caller(List<Node> nodes, Record record) {
        this.nodes = nodes;
        this.record = record;
    }

    record Reply(int status, String body) {}

    /** Sends one request to [node] and returns its answer; null without one. */
    Reply send(Node node, String method, String host, String path, String body, long budgetMillis)
        throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + node.caller + path))
            .timeout(Duration.ofMillis(budgetMillis))
            .header("Host", host)
            .header("Content-Type", "application/json")
            .header("X-Gypsumturn-Deadline-Ms", "" + budgetMillis)
            .method(method, body == null ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofString(body))
            .build();
        Reply reply = null;
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            reply = new Reply(response.statusCode(), response.body());
        } catch (java.io.IOException e) {
            // No answer.
        }
        record.add("%s %s at %s: %s", method, path, node.name,
            reply == null ? "no answer" : reply.status + " " + reply.body);
        return reply;
    }

    /** Sends a request to one node after the other until it is answered, in five attempts at most. */
    Reply request(String method, String host, String path, String body) throws InterruptedException {
        Reply reply = null;
        for (int attempt = 0; attempt < 5; attempt++) {
            Node node = nodes.get(next++ % nodes.size());
            reply = send(node, method, host, path, body, TIME_BUDGET_MILLIS);
            boolean again = reply == null || reply.status == 502 || reply.status == 503 || reply.status == 504
                || reply.status == 429;
            if (!again) return reply;
            Thread.sleep(200);
        }
        return reply;
    }
}
