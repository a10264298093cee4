// A requester sends two requests on one connection without waiting for the first answer, as HTTP/1.1 allows. It asks
// for the state of a job that it has handed in, and of one that does not exist.

package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

final class Pipelined {
    private static final String HOST = "print.example";
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final String NO_JOB = "0123456789abcdef";
    private static final int ROUNDS = 50;

    private record Answer(int status, String body) {}

    static void run(Platform platform) throws InterruptedException, IOException {
        platform.addExecutors("plans", 3);
        platform.configure(2, List.of(Platform.route(HOST, "/plans/", "plans", 0)));
        platform.addNodes(3);
        Caller caller = new Caller(platform.nodes, platform.record);
        platform.awaitReady(caller, 30_000);
        Thread.sleep(3_000);

        String job = Json.write(Json.object("spec", "plan", "phases",
            List.of(platform.step(JOB, 0, 3, 2_000, 2_048, 60_000))));
        Caller.Reply reply = caller.request("POST", HOST, "/plans/" + JOB, job);
        if (reply == null || reply.status() != 200) platform.couldNotRun("the job was not accepted");
        Thread.sleep(6_000);

        List<String> broken = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            Node node = platform.nodes.get(round % platform.nodes.size());
            List<Answer> answers = ask(node, List.of(NO_JOB, JOB), platform.trouble);
            Answer none = answers.get(0);
            Answer known = answers.get(1);
            platform.record.add("GET %s at %s: %d %s", NO_JOB, node.name, none.status, none.body);
            platform.record.add("GET %s at %s: %d %s", JOB, node.name, known.status, known.body);
            if (known.status == 410) broken.add("GET for the accepted job " + JOB + " was answered 410 at " + node.name);
            if (none.status == 200) {
                broken.add("job " + NO_JOB + ", which nobody handed in, was shown as " + none.body + " at " + node.name);
            }
            Thread.sleep(50);
        }
        platform.finish("LOST", broken);
    }

    /** Asks for the states of [ids] on one connection: at once if [pipelined], otherwise one after the other. */
    private static List<Answer> ask(Node node, List<String> ids, boolean pipelined) throws IOException {
        String[] address = node.caller.split(":");
        try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
            socket.setSoTimeout(5_000);
            socket.setTcpNoDelay(true);
            BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            List<String> requests = ids.stream().map(id -> "GET /plans/" + id + " HTTP/1.1\r\nHost: " + HOST
                + "\r\nX-Gypsumturn-Deadline-Ms: 3000\r\n\r\n").toList();
            List<Answer> answers = new ArrayList<>();
            if (pipelined) socket.getOutputStream().write(String.join("", requests).getBytes(StandardCharsets.US_ASCII));
            for (String request : requests) {
                if (!pipelined) socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                answers.add(read(in));
            }
            return answers;
        }
    }

    private static Answer read(BufferedReader in) throws IOException {
        int status = Integer.parseInt(in.readLine().split(" ")[1]);
        int length = 0;
        for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
            if (line.toLowerCase().startsWith("content-length:")) length = Integer.parseInt(line.substring(15).trim());
        }
        char[] body = new char[length];
        int done = 0;
        while (done < length) done += in.read(body, done, length - done);
        return new Answer(status, new String(body));
    }
}
