// A requester sends two requests on one connection, the second before the answer to the first: a job, and a question for
// the count of a queue that has never existed.

package review2;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

final class Pipelined {
    private static final int JOBS = 20;

    static int run(Record record, boolean trouble) throws Exception {
        Deployment site = new Deployment(record, 8);
        Work work = new Work(site, record);
        for (int i = 0; i < 6; i++) work.addWorker("worker-" + i, i < 4 ? "r1-1" : "r1-2");
        site.startNodes(3);
        if (!site.awaitReady(30_000)) return 2;
        List<String> rejected = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", 0x2000 + i);
            work.declare(id, Work.QUICK);
            byte[] post = Caller.request("POST", Deployment.PREFIX + id, work.bodyOf(id, null), 3_000, false);
            byte[] get = Caller.request("GET", "/never-existed/", null, 3_000, false);
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", site.nodes.get(i % 3).callerPort), 1_000);
                socket.setSoTimeout(3_000);
                socket.setTcpNoDelay(true);
                InputStream in = socket.getInputStream();
                Caller.Answer first;
                if (trouble) {
                    byte[] both = new byte[post.length + get.length];
                    System.arraycopy(post, 0, both, 0, post.length);
                    System.arraycopy(get, 0, both, post.length, get.length);
                    socket.getOutputStream().write(both);
                    first = Caller.readAnswer(in);
                } else {
                    socket.getOutputStream().write(post);
                    first = Caller.readAnswer(in);
                    socket.getOutputStream().write(get);
                }
                Caller.Answer second = Caller.readAnswer(in);
                record.line("POST %s%s: %d %s; GET /never-existed/: %d %s", Deployment.PREFIX, id, first.status(),
                    first.body(), second.status(), second.body());
                if (List.of(404, 429, 503).contains(first.status())) rejected.add(id);
            }
            Thread.sleep(200);
        }
        Thread.sleep(5_000);
        long started = rejected.stream().filter(id -> record.events.stream().anyMatch(
            event -> event.what().equals("start") && event.task().startsWith(id + "."))).count();
        record.line("REFUSED: %d of %d jobs were rejected, and %d of these were started", rejected.size(), JOBS, started);
        return started > 0 ? 1 : 0;
    }
}
