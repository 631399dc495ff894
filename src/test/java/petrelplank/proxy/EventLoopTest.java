package petrelplank.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class EventLoopTest {
    private long clock = 1_000_000;
    private final EventLoop loop = new EventLoop(() -> clock);
    private final List<String> ran = new ArrayList<>();

    /** A drain or a purge has to apply to requests that were queued before it. */
    @Test
    void urgentTasksRunBeforeThoseThatWait() {
        loop.post(() -> {
            ran.add("first");
            loop.postUrgent(() -> ran.add("urgent later"));
        });
        loop.post(() -> ran.add("second"));
        loop.postUrgent(() -> ran.add("urgent"));
        loop.turn();
        loop.turn();
        assertEquals(List.of("urgent", "first", "urgent later", "second"), ran);
    }

    @Test
    void timersFireInOrderOnceDueUnlessCancelled() {
        loop.at(clock + 20, () -> ran.add("later"));
        loop.at(clock + 10, () -> ran.add("sooner"));
        loop.at(clock + 10, () -> ran.add("cancelled")).cancel();
        loop.turn();
        assertEquals(List.of(), ran);
        clock += 20;
        loop.turn();
        assertEquals(List.of("sooner", "later"), ran);
    }

    @Test
    void clockThatRunsBackwardsStandsStillAndAFailedTaskIsSurvived() {
        long before = loop.now();
        clock -= 500;
        assertEquals(before, loop.now());
        loop.post(() -> {
            throw new IllegalStateException("thrown by the test");
        });
        loop.post(() -> ran.add("next"));
        loop.turn();
        assertEquals(List.of("next"), ran);
    }

    /** A task may be posted at any moment while the loop prepares to park; none may be missed. */
    @Test
    @Timeout(60)
    void everyPostRunsThoughTheLoopIsAboutToPark() throws InterruptedException {
        EventLoop real = new EventLoop(() -> System.nanoTime() / 1000);
        Thread events = new Thread(real, "events");
        events.start();
        int rounds = 20_000;
        for (int i = 0; i < rounds; i++) {
            CountDownLatch done = new CountDownLatch(2);
            real.post(() -> real.at(real.now() + 20, done::countDown));
            real.postUrgent(done::countDown);
            done.await();
        }
        real.stop();
        events.join();
    }
}
