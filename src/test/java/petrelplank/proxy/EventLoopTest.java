package petrelplank.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class EventLoopTest {
    private long clockUs = 1_000_000;
    private final EventLoop loop = new EventLoop(() -> clockUs);
    private final List<String> executed = new ArrayList<>();

    /** A drain or a purge has to apply to requests that were queued before it. */
    @Test
    void urgentTasksRunBeforeQueuedOrdinaryTasks() {
        loop.post(() -> {
            executed.add("first");
            loop.postUrgent(() -> executed.add("urgent later"));
        });
        loop.post(() -> executed.add("second"));
        loop.postUrgent(() -> executed.add("urgent"));
        loop.runOnce();
        loop.runOnce();
        assertEquals(List.of("urgent", "first", "urgent later", "second"), executed);
    }

    @Test
    void dueTimersFireInOrderUnlessCancelled() {
        loop.schedule(clockUs + 20, () -> executed.add("later"));
        loop.schedule(clockUs + 10, () -> executed.add("sooner"));
        loop.schedule(clockUs + 10, () -> executed.add("cancelled")).cancel();
        loop.runOnce();
        assertEquals(List.of(), executed);
        clockUs += 20;
        loop.runOnce();
        assertEquals(List.of("sooner", "later"), executed);
    }

    @Test
    void nowNeverRunsBackwardsAndTheLoopSurvivesAFailedTask() {
        long before = loop.nowUs();
        clockUs -= 500;
        assertEquals(before, loop.nowUs());
        loop.post(() -> {
            throw new IllegalStateException("thrown by the test");
        });
        loop.post(() -> executed.add("next"));
        loop.runOnce();
        assertEquals(List.of("next"), executed);
    }

    /** A task may be posted at any moment while the loop prepares to park; none may be missed. */
    @Test
    @Timeout(60)
    void everyPostedTaskRunsEvenIfTheLoopIsAboutToPark() throws InterruptedException {
        EventLoop realTimeLoop = new EventLoop(() -> System.nanoTime() / 1000);
        Thread eventThread = new Thread(realTimeLoop, "events");
        eventThread.start();
        int rounds = 20_000;
        for (int i = 0; i < rounds; i++) {
            CountDownLatch done = new CountDownLatch(2);
            realTimeLoop.post(() -> realTimeLoop.schedule(realTimeLoop.nowUs() + 20, done::countDown));
            realTimeLoop.postUrgent(done::countDown);
            done.await();
        }
        realTimeLoop.stop();
        eventThread.join();
    }
}
