package petrelplank.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class EventLoopTest {
    private long clock = 1_000_000;
    private final EventLoop loop = new EventLoop(() -> clock);
    private final List<String> ran = new ArrayList<>();

    /** A drain or a purge that was told binds requests that were queued before it. */
    @Test
    void whatTheCoordinatorToldRunsBeforeWhatWaits() {
        loop.post(() -> {
            ran.add("first");
            loop.postUrgent(() -> ran.add("told later"));
        });
        loop.post(() -> ran.add("second"));
        loop.postUrgent(() -> ran.add("told"));
        loop.turn();
        loop.turn();
        assertEquals(List.of("told", "first", "told later", "second"), ran);
    }

    @Test
    void timersFireInOrderOnceDueUnlessTakenBack() {
        loop.at(clock + 20, () -> ran.add("later"));
        loop.at(clock + 10, () -> ran.add("sooner"));
        loop.at(clock + 10, () -> ran.add("taken back")).cancel();
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
            throw new IllegalStateException("on purpose, for the test");
        });
        loop.post(() -> ran.add("next"));
        loop.turn();
        assertEquals(List.of("next"), ran);
    }

    /** No post may be slept through, whichever moment of the way to sleep it meets. */
    @Test
    @Timeout(60)
    void everyPostIsRunThoughPostersMeetTheLoopOnItsWayToSleep() throws InterruptedException {
        EventLoop real = new EventLoop(() -> System.nanoTime() / 1000);
        Thread events = new Thread(real, "events");
        events.start();
        int rounds = 20_000;
        for (int i = 0; i < rounds; i++) {
            java.util.concurrent.CountDownLatch done = new java.util.concurrent.CountDownLatch(2);
            real.post(() -> real.at(real.now() + 20, done::countDown));
            real.postUrgent(done::countDown);
            done.await();
        }
        real.stop();
        events.join();
    }

    /** Rounded to 0, a purge's age limit would stand for the class's own limit. */
    @Test
    void ageLimitIsRoundedDownButNeverToNothing() {
        assertEquals(0, AttemptDispatcher.maxAgeMs(0));
        assertEquals(1, AttemptDispatcher.maxAgeMs(1));
        assertEquals(1, AttemptDispatcher.maxAgeMs(1999));
        assertEquals(2, AttemptDispatcher.maxAgeMs(2000));
    }
}
