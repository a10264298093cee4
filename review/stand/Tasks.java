// Timers of the stand-ins.

package review;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

final class Tasks {
    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(8, action -> {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        return thread;
    });

    private Tasks() {}

    static void after(long millis, Runnable action) {
        TIMER.schedule(logged(action), millis, TimeUnit.MILLISECONDS);
    }

    static void every(long millis, Runnable action) {
        TIMER.scheduleAtFixedRate(logged(action), millis, millis, TimeUnit.MILLISECONDS);
    }

    private static Runnable logged(Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (RuntimeException e) {
                e.printStackTrace();
            }
        };
    }
}
