// A requester. Each call is a request on a connection of its own.

package review2;

import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

final class Caller {
    /** The status is 0 if there was no answer in time. */
    record Answer(int status, String body) {}

    static final String HOST = "shop.example";

    static byte[] request(String method, String path, String body, long deadlineMillis, boolean close) {
        String content = body == null ? "" : body;
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Gypsumturn-Deadline-Ms: "
            + deadlineMillis + "\r\n" + (close ? "Connection: close\r\n" : "")
            + (body == null ? "" : "Content-Type: application/json\r\n")
            + "Content-Length: " + content.length() + "\r\n\r\n";
        return (head + content).getBytes(StandardCharsets.US_ASCII);
    }

    /** Sends a request and waits for its answer, for {@code patienceMillis} at most; then the connection is closed. */
    static Answer call(int port, String method, String path, String body, long patienceMillis) {
        return call(port, method, path, body, patienceMillis, patienceMillis);
    }

    /** As above, but the requester leaves earlier than its time budget says. */
    static Answer call(int port, String method, String path, String body, long deadlineMillis, long patienceMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), (int) patienceMillis);
            socket.setSoTimeout((int) patienceMillis);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(request(method, path, body, deadlineMillis, true));
            return readAnswer(socket.getInputStream());
        } catch (Exception e) {
            return new Answer(0, "");
        }
    }

    static Answer readAnswer(InputStream in) throws Exception {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            int c = in.read();
            if (c < 0) return new Answer(0, "");
            head.write(c);
        }
        String text = head.toString(StandardCharsets.US_ASCII);
        int length = 0;
        for (String line : text.split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) length = Integer.parseInt(line.substring(15).trim());
        }
        return new Answer(Integer.parseInt(text.split(" ")[1]), new String(in.readNBytes(length)));
    }
}
