package petrelplank.record;

import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Writes events synchronously in the caller's thread. Used for emulated proxies: their simulated clock does not advance
 * while a file is written.
 */
public final class DirectSink implements EventSink {
    private final String proxy;
    private final long incarnation;
    private final RecordFileWriter output;
    private long nextNumber;

    /**
     * Creates a sink. The first file is created when the first event is recorded.
     *
     * @param settings where and how the files are written
     * @param proxy the proxy's name
     * @param incarnation the random number that identifies this incarnation
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
