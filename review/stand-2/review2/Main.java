// Runs one case: Main CASE RECORD_FILE. TROUBLE=0 in the environment leaves the disruption out.

package review2;

import java.nio.file.Path;

public final class Main {
    public static void main(String[] arguments) throws Exception {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "1000");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[1]));
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(Integer.getInteger("limit", 118) * 1_000L);
            } catch (InterruptedException e) {
                return;
            }
            record.line("not over in time: exit 2");
            System.exit(2);
        });
        limit.setDaemon(true);
        limit.start();
        int result;
        try {
            result = switch (arguments[0]) {
                case "large-progress" -> LargeProgress.run(record, trouble);
                case "cancelled-in-transit" -> CancelledInTransit.run(record, trouble);
                case "expired-jobs" -> ExpiredJobs.run(record, trouble);
                case "unfounded-failure" -> UnfoundedFailure.run(record, trouble);
                case "late-start" -> LateStart.run(record, trouble);
                default -> 2;
            };
        } catch (Exception e) {
            e.printStackTrace();
            result = 2;
        }
        record.line("exit %d", result);
        System.exit(result);
    }
}
