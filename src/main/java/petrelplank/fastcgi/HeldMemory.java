package petrelplank.fastcgi;

import java.util.concurrent.atomic.AtomicReference;

/** Memory that a complete request holds until the proxy has forgotten it. Thread-safe. */
final class HeldMemory {
    /** Null once the memory is released. */
    private final AtomicReference<Runnable> onRelease;

    HeldMemory(Runnable onRelease) {
        this.onRelease = new AtomicReference<>(onRelease);
    }

    /** Gives the memory back; calls after the first have no effect. */
    void release() {
        Runnable release = onRelease.getAndSet(null);
        if (release != null) {
            release.run();
        }
    }
}
