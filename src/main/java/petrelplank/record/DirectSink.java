package petrelplank.record;

import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes events in the caller's thread: for emulated proxies, whose clock stands still meanwhile. */
public final class DirectSink implements EventSink {
    private final String proxy;
    private final long incarnation;
    private final RecordFileWriter output;
    private long nextNumber;

    /**
     * Creates a sink; its first file is made with the first event.
     *
     * @param settings where and how to write
     * @param proxy the proxy's name
     * @param incarnation the random number of this incarnation
     */
    public DirectSink(RecordSettings settings, String proxy, long incarnation) {
        this.proxy = proxy;
        this.incarnation = incarnation;
        this.output = new RecordFileWriter(settings, proxy, incarnation);
    }

    @Override
    public void record(long unixUs, Event event) {
        try {
            output.append(new Entry(proxy, incarnation, nextNumber++, unixUs, event));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        try {
            output.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
