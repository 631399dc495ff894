package petrelplank.record;

import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes events at once, in the caller's thread: for emulated fronts, whose time stands still meanwhile. */
public final class DirectSink implements EventSink {
    private final String front;
    private final long life;
    private final RecordFileWriter log;
    private long next;

    /**
     * Writes from the first event on.
     *
     * @param settings where and how
     * @param front the front's name
     * @param life this life's random number
     */
    public DirectSink(RecordSettings settings, String front, long life) {
        this.front = front;
        this.life = life;
        this.log = new RecordFileWriter(settings, front, life);
    }

    @Override
    public void record(long unixUs, Event event) {
        try {
            log.append(new Entry(front, life, next++, unixUs, event));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        try {
            log.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
